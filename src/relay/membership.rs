//! Finds this process a role: child of another instance, or root.

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

/// How often a root checks that it still holds its slot.
const ROOT_CHECK_INTERVAL: Millis = Millis(5_000);

/// The delay after a join at a peer that got no changes within the join's hold.
const DISCONNECTED_RETRY_DELAY: Millis = Millis(20);

/// How often a child that holds a root slot checks whether the store answers it again.
const SLOT_CHECK_INTERVAL: Millis = Millis(500);

/// The delay before the next search for a parent, and its random addition.
const JOIN_RETRY_DELAY: Millis = Millis(100);
const JOIN_RETRY_JITTER: Millis = Millis(100);

/// Instances that start together spread their attempts to become roots over this time, so
/// that most of them find the slots claimed.
const ELECTION_JITTER: Millis = Millis(200);

/// How long a peer may take to answer a join, beyond the hold of the request.
const JOIN_TIMEOUT_MARGIN: Millis = Millis(400);

/// How long a peer that gets no changes itself at present may hold a join until it gets some.
const DISCONNECTED_JOIN_HOLD: Millis = Millis(500);

/// How many levels below a root a join descends.
const MAX_JOIN_DEPTH: usize = 6;

/// The interval at which a child probes an unreachable store, and its random addition.
/// It is long, as the parent tells its children when the store is back.
const CHILD_PROBE_INTERVAL: Millis = Millis(800);
const CHILD_PROBE_JITTER: Millis = Millis(400);

/// The outcome of a join.
enum JoinOutcome {
    Joined(Parent),
    /// The peer doesn't get changes itself at present.
    Disconnected,
    /// The peer doesn't answer, or it is full and no instance below it has room.
    Declined,
}

impl Relay {
    /// Keeps this process a child or a root, until the program drains: an instance that
    /// stops must not claim a root slot.
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
                    let wait = self.find_role(&mut slots).await;
                    tokio::time::sleep(wait.as_duration()).await;
                }
                // A child that holds a root slot becomes root again once the store answers it.
                Role::Child(parent) if slots.is_held_by(self.identity.address) => tokio::select! {
                    () = self.parent_left(&parent) => {}
                    () = tokio::time::sleep(SLOT_CHECK_INTERVAL.as_duration()) => {
                        if slots.read(self).await.is_ok()
                            && slots.is_held_by(self.identity.address)
                        {
                            self.become_root();
                        }
                    }
                },
                Role::Child(parent) => self.parent_left(&parent).await,
                Role::Root => tokio::select! {
                    () = self.demoted() => {}
                    () = tokio::time::sleep(ROOT_CHECK_INTERVAL.as_duration()) =>
                        self.check_root(&mut slots).await,
                },
            }
        }
    }

    /// Tries once to become a child or a root; returns the delay before the next try.
    async fn find_role(&self, slots: &mut RootSlots) -> Millis {
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
            // While the store is down, holders of root slots may try to join each other. If
            // they became each other's children once the store is back, they would form a
            // cycle and get no changes for a while.
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
            // The peer held the join already, so the delay is short.
            JoinOutcome::Disconnected => return DISCONNECTED_RETRY_DELAY,
            JoinOutcome::Declined => {}
        }
        if reached && slots.claim(self).await {
            self.become_root();
            return Millis(0);
        }
        JOIN_RETRY_DELAY + self.jitter(JOIN_RETRY_JITTER)
    }

    /// Makes a root standalone if another instance has claimed its slot.
    async fn check_root(&self, slots: &mut RootSlots) {
        if slots.read(self).await.is_ok() && !slots.is_held_by(self.identity.address) {
            tracing::info!("root slot claimed by another instance");
            self.set_role(Role::Standalone);
        }
    }

    fn become_root(&self) {
        tracing::info!(group = self.identity.group, "became a root of the group");
        self.store.reset_probe_interval();
        self.start_retaining_rows();
        self.set_role(Role::Root);
        self.role_decided.send_replace(true);
    }

    fn become_child(&self, parent: Parent, slots: &RootSlots) {
        tracing::info!(feeder = %parent.address, "joined a parent");
        // Only holders of root slots probe the store often: once it is back, the other
        // children get changes from them.
        match slots.is_held_by(self.identity.address) {
            true => self.store.reset_probe_interval(),
            false => {
                let interval = CHILD_PROBE_INTERVAL + self.jitter(CHILD_PROBE_JITTER);
                self.store.set_probe_interval(interval);
            }
        }
        self.set_role(Role::Child(parent));
        self.role_decided.send_replace(true);
        // The parent gets changes, so the store may be reachable again.
        self.store.probe_now();
    }

    /// A pseudo-random time below `max` that differs by instance and moment.
    fn jitter(&self, max: Millis) -> Millis {
        let now = self.clock.now().0.to_le_bytes();
        let hash = stable_hash(&[self.identity.instance.as_bytes(), &now]);
        Millis(hash % max.0)
    }

    /// Tries to join the roots or instances below them, in order of preference.
    async fn join_any_parent(&self, slots: &RootSlots) -> JoinOutcome {
        let holders = slots.holders();
        let others = holders.filter(|holder| *holder != self.identity.address);
        let candidates = self.by_preference(&others.collect::<Vec<SocketAddr>>());
        let mut disconnected = Vec::new();
        for address in candidates {
            match self.join(address, Millis(0), MAX_JOIN_DEPTH).await {
                JoinOutcome::Disconnected => disconnected.push(address),
                joined @ JoinOutcome::Joined(_) => return joined,
                JoinOutcome::Declined => {}
            }
        }
        match disconnected.first() {
            Some(first) => {
                self.join(*first, DISCONNECTED_JOIN_HOLD, MAX_JOIN_DEPTH)
                    .await
            }
            None => JoinOutcome::Declined,
        }
    }

    /// Sorts `addresses` by this instance's preference, without parents it left recently.
    fn by_preference(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.parents()
            .order(&self.identity.instance, addresses, now)
    }

    /// Asks the instance at `address` to become the parent, or an instance below it if it
    /// is full. Descends at most `depth` levels.
    async fn join(&self, address: SocketAddr, hold: Millis, depth: usize) -> JoinOutcome {
        let peer = Peer::open(address, self.clock);
        let reply = self
            .ask(&peer, Want::Join, hold, hold + JOIN_TIMEOUT_MARGIN)
            .await;
        let now = self.clock.now();
        match reply {
            Some(_) => self.parents().record_reachable(address),
            None => self.parents().record_unreachable(address, now),
        }
        match reply {
            Some(Reply::Joined) => JoinOutcome::Joined(Parent { address, peer }),
            Some(Reply::Lost) => JoinOutcome::Disconnected,
            Some(Reply::Full(children)) if depth > 0 => {
                let below = self.by_preference(&children);
                let below = below
                    .into_iter()
                    .find(|child| *child != self.identity.address);
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
