//! Finds an instance that feeds this one, or takes the place of a root.

use super::{
    handle::{Parent, Relay, Role},
    message::{Reply, Want}, //
};
use crate::{
    base::{Millis, stable_hash},
    batch::{decode, encode},
    net::Peer,
    policy::relay::{ROOTS, first_place},
    store::{Key, Outcome, StoreError, Transaction}, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// The table of roots: a part for each group, a row for each place.
///
/// A row is a hint where to ask. Two instances that take themselves for the same root do
/// no harm: both read the store.
const ROOTS_TABLE: &str = "roots";

/// What a place's row holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Holder {
    address: SocketAddr,
    instance: String,
}

/// A place and who holds it.
#[derive(Clone, Debug)]
struct Place {
    holder: Option<Holder>,
    number: usize,
    /// 0 for one that was never taken.
    revision: u64,
}

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
    /// Has this process fed, or makes it a root, for good.
    pub async fn keep(self: Arc<Self>) {
        let mut known = Vec::new();
        loop {
            match self.role() {
                Role::Alone => {
                    let wait = self.find(&mut known).await;
                    tokio::time::sleep(wait.as_duration()).await;
                }
                // Its place is its own again once the store answers it.
                Role::Child(parent) if self.holds(&known) => tokio::select! {
                    () = self.left(&parent) => {}
                    () = tokio::time::sleep(HOLDER_CHECK.as_duration()) => {
                        if self.read_places(&mut known).await.is_ok() && self.holds(&known) {
                            self.become_root();
                        }
                    }
                },
                Role::Child(parent) => self.left(&parent).await,
                Role::Root => tokio::select! {
                    () = self.deposed() => {}
                    () = tokio::time::sleep(ROOT_CHECK.as_duration()) => self.check(&mut known).await,
                },
            }
        }
    }

    /// Looks once for a feeder; returns the wait before the next look.
    async fn find(&self, known: &mut Vec<Place>) -> Millis {
        let mut reached = self.read_places(known).await.is_ok();
        if reached && Self::has_free(known) && !self.holds(known) {
            // The store is asked meanwhile.
            self.settled.send_replace(true);
            tokio::time::sleep(self.spread(ELECTION_SPREAD).as_duration()).await;
            reached = self.read_places(known).await.is_ok();
            if reached && Self::has_free(known) && self.take_place(known).await {
                self.become_root();
                return Millis(0);
            }
        }
        if reached && self.holds(known) {
            self.become_root();
            return Millis(0);
        }
        match self.join_any(known).await {
            Join::Joined(parent) => {
                self.become_child(parent, known);
                return Millis(0);
            }
            // It was waited for.
            Join::Lost => {
                self.settled.send_replace(true);
                return LOST_AGAIN;
            }
            Join::No => {}
        }
        if reached && self.take_place(known).await {
            self.become_root();
            return Millis(0);
        }
        self.settled.send_replace(true);
        AGAIN + self.spread(AGAIN_SPREAD)
    }

    /// A root looks whether another has taken its place.
    async fn check(&self, known: &mut Vec<Place>) {
        if self.read_places(known).await.is_ok() && !self.holds(known) {
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

    fn become_child(&self, parent: Parent, known: &[Place]) {
        tracing::info!(feeder = %parent.address, "fed by another instance");
        // Others wait for the holder of a place to tell that the store is back.
        match self.holds(known) {
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

    /// Whether a place was never taken.
    fn has_free(places: &[Place]) -> bool {
        places.iter().any(|place| place.holder.is_none())
    }

    /// A time below `most`, another one for each instance and moment.
    fn spread(&self, most: Millis) -> Millis {
        let now = self.clock.now().0.to_le_bytes();
        let hash = stable_hash(&[self.seat.instance.as_bytes(), &now]);
        Millis(hash % most.0)
    }

    fn holds(&self, places: &[Place]) -> bool {
        let mine = |holder: &Holder| holder.address == self.seat.address;
        let mut holders = places.iter().filter_map(|place| place.holder.as_ref());
        holders.any(mine)
    }

    /// Reads who holds the places; what was `known` stays when the store does not tell.
    async fn read_places(&self, known: &mut Vec<Place>) -> Result<(), StoreError> {
        if self.store.is_away() {
            return Err(StoreError::Away);
        }
        let group = &self.seat.group;
        let listing = self.store.rows(ROOTS_TABLE, group, "", ROOTS).await?;
        let place = |number: usize| {
            let row = listing
                .rows
                .iter()
                .find(|row| row.key == number.to_string());
            let holder = row.and_then(|row| decode("root", row.value.as_ref()?));
            Place {
                holder,
                number,
                revision: row.map_or(0, |row| row.revision),
            }
        };
        *known = (0..ROOTS).map(place).collect();
        Ok(())
    }

    /// Asks the roots, and those that they feed, until one feeds this process.
    async fn join_any(&self, places: &[Place]) -> Join {
        let holders = places.iter().filter_map(|place| place.holder.as_ref());
        let others = holders.filter(|holder| holder.address != self.seat.address);
        let addresses: Vec<SocketAddr> = others.map(|holder| holder.address).collect();
        let order = self.order(&addresses);
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
            Some(_) => self.feeders().reach(address),
            None => self.feeders().miss(address, now),
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

    /// Takes a place that nobody holds, or whose holder is gone.
    async fn take_place(&self, places: &[Place]) -> bool {
        let now = self.clock.now();
        let is_free = |place: &Place| match &place.holder {
            None => true,
            Some(holder) => self.feeders().is_gone(holder.address, now),
        };
        let first = first_place(&self.seat.instance);
        let in_turn = (0..places.len()).map(|turn| &places[(first + turn) % places.len()]);
        let Some(place) = in_turn.into_iter().find(|place| is_free(place)) else {
            return false;
        };
        let key = Key::new(ROOTS_TABLE, &self.seat.group, place.number.to_string());
        let holder = Holder {
            address: self.seat.address,
            instance: self.seat.instance.clone(),
        };
        let before = place.holder.as_ref().map(|holder| &holder.instance);
        let transaction = Transaction {
            expect: vec![(key.clone(), place.revision)],
            remove: Vec::new(),
            set: vec![(key, encode(&holder))],
        };
        let taken = self.store.transact(&transaction).await;
        let taken = matches!(taken, Ok(Outcome::Done { .. }));
        if taken {
            tracing::info!(number = place.number, ?before, "takes the place of a root");
        }
        taken
    }
}
