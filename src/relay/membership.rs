//! Finds an instance that feeds this one, or takes the place of a root.

use super::{
    handle::{Parent, Relay, Role},
    message::{Reply, Want},
    root_slots::RootSlots, //
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
const ROOT_CHECK_INTERVAL: Millis = Millis(5_000);

/// The wait before one that learns nothing itself is waited for again.
const DISCONNECTED_RETRY_DELAY: Millis = Millis(20);

/// The time between two looks of the holder of a place whether the store answers it.
const SLOT_CHECK_INTERVAL: Millis = Millis(500);

/// The wait before a feeder is looked for again, and what is added by chance.
const JOIN_RETRY_DELAY: Millis = Millis(100);
const JOIN_RETRY_JITTER: Millis = Millis(100);

/// Instances that start together try to become roots over this time: most of them find
/// the places taken then.
const ELECTION_JITTER: Millis = Millis(200);

/// How long a possible feeder has to answer, beyond the time that it holds the question.
const JOIN_TIMEOUT_MARGIN: Millis = Millis(400);

/// How long one that learns nothing itself is waited for.
const DISCONNECTED_JOIN_HOLD: Millis = Millis(500);

/// The most instances that are asked one below the other.
const MAX_JOIN_DEPTH: usize = 6;

/// A process that is told of the store's return by others asks the store itself this
/// interval, and a little later by chance.
const CHILD_PROBE_INTERVAL: Millis = Millis(800);
const CHILD_PROBE_JITTER: Millis = Millis(400);

/// What came of a question whether one feeds this process.
enum JoinOutcome {
    Joined(Parent),
    /// It learns nothing itself at present.
    Disconnected,
    Declined,
}

impl Relay {
    /// Has this process fed, or makes it a root, until the program drains: one that leaves
    /// must not take the place of a root.
    pub async fn maintain_role(self: Arc<Self>, context: Context) {
        tokio::select! {
            () = self.run_role() => {}
            () = context.reached(Phase::Draining) => {}
        }
    }

    async fn run_role(&self) {
        let mut slots = RootSlots::default();
        loop {
            match self.role() {
                Role::Standalone => {
                    let wait = self.find_parent(&mut slots).await;
                    tokio::time::sleep(wait.as_duration()).await;
                }
                // Its place is its own again once the store answers it.
                Role::Child(parent) if slots.is_held_by(self.identity.address) => tokio::select! {
                    () = self.parent_left(&parent) => {}
                    () = tokio::time::sleep(SLOT_CHECK_INTERVAL.as_duration()) => {
                        if slots.read(self).await.is_ok() && slots.is_held_by(self.identity.address) {
                            self.become_root();
                        }
                    }
                },
                Role::Child(parent) => self.parent_left(&parent).await,
                Role::Root => tokio::select! {
                    () = self.demoted() => {}
                    () = tokio::time::sleep(ROOT_CHECK_INTERVAL.as_duration()) => self.check_root(&mut slots).await,
                },
            }
        }
    }

    /// Looks once for a feeder; returns the wait before the next look.
    async fn find_parent(&self, slots: &mut RootSlots) -> Millis {
        let mut reached = slots.read(self).await.is_ok();
        if reached && slots.has_free() && !slots.is_held_by(self.identity.address) {
            tokio::time::sleep(self.jitter(ELECTION_JITTER).as_duration()).await;
            reached = slots.read(self).await.is_ok();
            if reached && slots.has_free() && slots.claim(self).await {
                self.become_root();
                return Millis(0);
            }
        }
        if reached && slots.is_held_by(self.identity.address) {
            self.become_root();
            return Millis(0);
        }
        match self.join_any_parent(slots).await {
            // Roots that wait for each other's word would feed each other in a circle once
            // the store is back, and hear nothing for a while.
            JoinOutcome::Joined(_)
                if slots.is_held_by(self.identity.address) && slots.read(self).await.is_ok() =>
            {
                self.become_root();
                return Millis(0);
            }
            JoinOutcome::Joined(parent) => {
                self.become_child(parent, slots);
                return Millis(0);
            }
            // It was waited for.
            JoinOutcome::Disconnected => return DISCONNECTED_RETRY_DELAY,
            JoinOutcome::Declined => {}
        }
        if reached && slots.claim(self).await {
            self.become_root();
            return Millis(0);
        }
        JOIN_RETRY_DELAY + self.jitter(JOIN_RETRY_JITTER)
    }

    /// A root looks whether another has taken its place.
    async fn check_root(&self, slots: &mut RootSlots) {
        if slots.read(self).await.is_ok() && !slots.is_held_by(self.identity.address) {
            tracing::info!("another instance is root in its place");
            self.set_role(Role::Standalone);
        }
    }

    fn become_root(&self) {
        tracing::info!(group = self.identity.group, "asks the store for others");
        self.store.probe_often();
        self.start_retaining_rows();
        self.set_role(Role::Root);
        self.role_decided.send_replace(true);
    }

    fn become_child(&self, parent: Parent, slots: &RootSlots) {
        tracing::info!(feeder = %parent.address, "fed by another instance");
        // Others wait for the holder of a place to tell that the store is back.
        match slots.is_held_by(self.identity.address) {
            true => self.store.probe_often(),
            false => {
                let interval = CHILD_PROBE_INTERVAL + self.jitter(CHILD_PROBE_JITTER);
                self.store.probe_seldom(interval);
            }
        }
        self.set_role(Role::Child(parent));
        self.role_decided.send_replace(true);
        // Whoever feeds others learns of changes: the store may be back for all.
        self.store.probe_now();
    }

    /// A time below `most`, another one for each instance and moment.
    fn jitter(&self, max: Millis) -> Millis {
        let now = self.clock.now().0.to_le_bytes();
        let hash = stable_hash(&[self.identity.instance.as_bytes(), &now]);
        Millis(hash % max.0)
    }

    /// Asks the roots, and those that they feed, until one feeds this process.
    async fn join_any_parent(&self, slots: &RootSlots) -> JoinOutcome {
        let holders = slots.holders();
        let others = holders.filter(|holder| *holder != self.identity.address);
        let candidates = self.by_preference(&others.collect::<Vec<SocketAddr>>());
        let mut lost = Vec::new();
        for address in candidates {
            match self.join(address, Millis(0), MAX_JOIN_DEPTH).await {
                JoinOutcome::Disconnected => lost.push(address),
                joined @ JoinOutcome::Joined(_) => return joined,
                JoinOutcome::Declined => {}
            }
        }
        match lost.first() {
            Some(first) => {
                self.join(*first, DISCONNECTED_JOIN_HOLD, MAX_JOIN_DEPTH)
                    .await
            }
            None => JoinOutcome::Declined,
        }
    }

    fn by_preference(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.feeders()
            .order(&self.identity.instance, addresses, now)
    }

    /// Asks the instance at `address`, or one that it feeds, to feed this process.
    async fn join(&self, address: SocketAddr, hold: Millis, depth: usize) -> JoinOutcome {
        let peer = Peer::open(address, self.clock);
        let reply = self
            .ask(&peer, Want::Join, hold, hold + JOIN_TIMEOUT_MARGIN)
            .await;
        let now = self.clock.now();
        match reply {
            Some(_) => self.feeders().reach(address),
            None => self.feeders().miss(address, now),
        }
        match reply {
            Some(Reply::Joined) => JoinOutcome::Joined(Parent { address, peer }),
            Some(Reply::Lost) => JoinOutcome::Disconnected,
            Some(Reply::Full(fed)) if depth > 0 => {
                let below = self.by_preference(&fed);
                let below = below.into_iter().find(|fed| *fed != self.identity.address);
                match below {
                    Some(below) => Box::pin(self.join(below, hold, depth - 1)).await,
                    None => JoinOutcome::Declined,
                }
            }
            Some(Reply::Forgotten | Reply::Full(_) | Reply::Page(_)) | None => {
                JoinOutcome::Declined
            }
        }
    }
}
