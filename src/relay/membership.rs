//! Finds an instance that feeds this one, or takes the place of a root.

use super::{
    handle::{Parent, Relay, Role},
    message::{Reply, Want},
    places::Places, //
};
use crate::{
    base::{Millis, stable_hash},
    duty::{Context, Phase},
    net::Peer, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// The time between two looks of a root whether it still is one.
const ROOT_CHECK: Millis = Millis(5_000);

/// The wait before one that learns nothing itself is waited for again.
const LOST_AGAIN: Millis = Millis(20);

/// The time between two looks of the holder of a place whether the store answers it.
const HOLDER_CHECK: Millis = Millis(500);

/// The wait before a feeder is looked for again, and what is added by chance.
const AGAIN: Millis = Millis(100);
const AGAIN_SPREAD: Millis = Millis(100);

/// Instances that start together try to become roots over this time: most of them find
/// the places taken then.
const ELECTION_SPREAD: Millis = Millis(200);

/// How long a possible feeder has to answer, beyond the time that it holds the question.
const JOIN_WITHIN: Millis = Millis(400);

/// How long one that learns nothing itself is waited for.
const JOIN_HOLD: Millis = Millis(500);

/// The most instances that are asked one below the other.
const DEPTH_MOST: usize = 6;

/// A process that is told of the store's return by others asks the store itself this
/// seldom, and a little later by chance.
const PROBE_SELDOM: Millis = Millis(800);
const PROBE_SPREAD: Millis = Millis(400);

/// What came of a question whether one feeds this process.
enum Join {
    Joined(Parent),
    /// It learns nothing itself at present.
    Lost,
    No,
}

impl Relay {
    /// Has this process fed, or makes it a root, until the program drains: one that leaves
    /// must not take the place of a root.
    pub async fn keep(self: Arc<Self>, context: Context) {
        tokio::select! {
            () = self.keep_role() => {}
            () = context.reached(Phase::Draining) => {}
        }
    }

    async fn keep_role(&self) {
        let mut places = Places::default();
        loop {
            match self.role() {
                Role::Alone => {
                    let wait = self.find(&mut places).await;
                    tokio::time::sleep(wait.as_duration()).await;
                }
                // Its place is its own again once the store answers it.
                Role::Child(parent) if places.has(self.seat.address) => tokio::select! {
                    () = self.left(&parent) => {}
                    () = tokio::time::sleep(HOLDER_CHECK.as_duration()) => {
                        if places.read(self).await.is_ok() && places.has(self.seat.address) {
                            self.become_root();
                        }
                    }
                },
                Role::Child(parent) => self.left(&parent).await,
                Role::Root => tokio::select! {
                    () = self.deposed() => {}
                    () = tokio::time::sleep(ROOT_CHECK.as_duration()) => self.check(&mut places).await,
                },
            }
        }
    }

    /// Looks once for a feeder; returns the wait before the next look.
    async fn find(&self, places: &mut Places) -> Millis {
        let mut reached = places.read(self).await.is_ok();
        if reached && places.has_free() && !places.has(self.seat.address) {
            tokio::time::sleep(self.spread(ELECTION_SPREAD).as_duration()).await;
            reached = places.read(self).await.is_ok();
            if reached && places.has_free() && places.take(self).await {
                self.become_root();
                return Millis(0);
            }
        }
        if reached && places.has(self.seat.address) {
            self.become_root();
            return Millis(0);
        }
        match self.join_any(places).await {
            // Roots that wait for each other's word would feed each other in a circle once
            // the store is back, and hear nothing for a while.
            Join::Joined(_) if places.has(self.seat.address) && places.read(self).await.is_ok() => {
                self.become_root();
                return Millis(0);
            }
            Join::Joined(parent) => {
                self.become_child(parent, places);
                return Millis(0);
            }
            // It was waited for.
            Join::Lost => return LOST_AGAIN,
            Join::No => {}
        }
        if reached && places.take(self).await {
            self.become_root();
            return Millis(0);
        }
        AGAIN + self.spread(AGAIN_SPREAD)
    }

    /// A root looks whether another has taken its place.
    async fn check(&self, places: &mut Places) {
        if places.read(self).await.is_ok() && !places.has(self.seat.address) {
            tracing::info!("another instance is root in its place");
            self.set_role(Role::Alone);
        }
    }

    fn become_root(&self) {
        tracing::info!(group = self.seat.group, "asks the store for others");
        self.store.probe_often();
        self.serve_others();
        self.set_role(Role::Root);
        self.settled.send_replace(true);
    }

    fn become_child(&self, parent: Parent, places: &Places) {
        tracing::info!(feeder = %parent.address, "fed by another instance");
        // Others wait for the holder of a place to tell that the store is back.
        match places.has(self.seat.address) {
            true => self.store.probe_often(),
            false => {
                let seldom = PROBE_SELDOM + self.spread(PROBE_SPREAD);
                self.store.probe_seldom(seldom);
            }
        }
        self.set_role(Role::Child(parent));
        self.settled.send_replace(true);
        // Whoever feeds others learns of changes: the store may be back for all.
        self.store.probe_now();
    }

    /// A time below `most`, another one for each instance and moment.
    fn spread(&self, most: Millis) -> Millis {
        let now = self.clock.now().0.to_le_bytes();
        let hash = stable_hash(&[self.seat.instance.as_bytes(), &now]);
        Millis(hash % most.0)
    }

    /// Asks the roots, and those that they feed, until one feeds this process.
    async fn join_any(&self, places: &Places) -> Join {
        let holders = places.holders();
        let others = holders.filter(|holder| *holder != self.seat.address);
        let order = self.order(&others.collect::<Vec<SocketAddr>>());
        let mut lost = Vec::new();
        for address in order {
            match self.join(address, Millis(0), DEPTH_MOST).await {
                Join::Lost => lost.push(address),
                joined @ Join::Joined(_) => return joined,
                Join::No => {}
            }
        }
        match lost.first() {
            Some(first) => self.join(*first, JOIN_HOLD, DEPTH_MOST).await,
            None => Join::No,
        }
    }

    fn order(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.feeders().order(&self.seat.instance, addresses, now)
    }

    /// Asks the instance at `address`, or one that it feeds, to feed this process.
    async fn join(&self, address: SocketAddr, hold: Millis, depth: usize) -> Join {
        let peer = Peer::open(address, self.clock);
        let reply = self.ask(&peer, Want::Join, hold, hold + JOIN_WITHIN).await;
        let now = self.clock.now();
        match reply {
            Some(_) => self.feeders().note_reachable(address),
            None => self.feeders().note_unreachable(address, now),
        }
        match reply {
            Some(Reply::Joined) => Join::Joined(Parent { address, peer }),
            Some(Reply::Lost) => Join::Lost,
            Some(Reply::Full(fed)) if depth > 0 => {
                let below = self.order(&fed);
                let below = below.into_iter().find(|fed| *fed != self.seat.address);
                match below {
                    Some(below) => Box::pin(self.join(below, hold, depth - 1)).await,
                    None => Join::No,
                }
            }
            Some(Reply::Forgotten | Reply::Full(_) | Reply::Page(_)) | None => Join::No,
        }
    }
}
