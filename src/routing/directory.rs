//! The announced backend servers, including those kept through an outage of the store.

use super::Server;
use crate::base::Millis;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc, //
};

/// The announced servers, by id.
///
/// Announcements expire while the store is unreachable, and live servers renew them within
/// about two seconds of its recovery. Until then a server whose announcement has expired
/// stays in use. Without this grace period, one outage of the store would leave all callers
/// without servers.
#[derive(Debug, Default)]
pub struct Directory {
    /// The sequence number of the incarnation announced last.
    last_sequence: u64,
    /// The last outage of the store.
    outage: Option<Outage>,
    servers: HashMap<String, Entry>,
}

/// A time in which the store did not answer this process.
#[derive(Clone, Copy, Debug)]
struct Outage {
    began: Millis,
    /// `None` while the store is unreachable.
    ended: Option<Millis>,
}

/// An announced server.
#[derive(Debug)]
struct Entry {
    /// Whether the announcement disappeared during an outage or its grace period.
    lapsed: bool,
    /// The position of the incarnation in the order of first announcements.
    sequence: u64,
    server: Arc<Server>,
}

/// How long after the store's recovery a live server's announcement may still be missing.
/// The platform's documentation says about two seconds.
pub const RECOVERY_GRACE: Millis = Millis(2_200);

impl Directory {
    /// Adds or updates an announced server.
    pub fn put(&mut self, server: Server) {
        let known = self.servers.get(&server.incarnation.id);
        let known = known.filter(|entry| entry.server.incarnation == server.incarnation);
        let sequence = match known {
            Some(entry) => entry.sequence,
            None => {
                self.last_sequence += 1;
                self.last_sequence
            }
        };
        let entry = Entry {
            lapsed: false,
            sequence,
            server: Arc::new(server),
        };
        self.servers
            .insert(entry.server.incarnation.id.clone(), entry);
    }

    /// Removes the server called `id`, whose announcement has disappeared. In an outage and its
    /// grace period the server is kept and marked as lapsed.
    pub fn remove(&mut self, id: &str, now: Millis) {
        if !self.in_grace(now) {
            self.servers.remove(id);
            return;
        }
        if let Some(entry) = self.servers.get_mut(id) {
            entry.lapsed = true;
        }
    }

    /// Records that the store has stopped answering this process.
    pub fn store_lost(&mut self, now: Millis) {
        self.outage = Some(Outage {
            began: now,
            ended: None,
        });
    }

    /// Records that the store answers again.
    pub fn store_regained(&mut self, now: Millis) {
        if let Some(outage) = &mut self.outage {
            outage.ended = Some(now);
        }
    }

    /// When the current outage of the store began; `None` while it answers.
    pub fn outage_start(&self) -> Option<Millis> {
        let outage = self.outage?;
        outage.ended.is_none().then_some(outage.began)
    }

    /// Removes the lapsed servers once the grace period is over; returns their ids.
    pub fn remove_lapsed(&mut self, now: Millis) -> Vec<String> {
        if self.in_grace(now) {
            return Vec::new();
        }
        let expired: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, entry)| entry.lapsed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.servers.remove(id);
        }
        expired
    }

    /// The server called `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.servers.get(id).map(|entry| &entry.server)
    }

    /// The server of `service` at `address`. Of several, those whose announcement has not
    /// lapsed come first, then those that accept requests, then the incarnation announced last:
    /// a crashed server stays announced for some seconds beside its next incarnation, which
    /// refuses requests addressed to the crashed one. Entries of other services at the
    /// address are ignored, as another writer's entry must not hide the server.
    pub fn server_at(&self, address: SocketAddr, service: &str) -> Option<&Arc<Server>> {
        let matches =
            |server: &Server| (server.address, server.service.as_str()) == (address, service);
        let entries = self.servers.values();
        let candidates = entries.filter(|entry| matches(&entry.server));
        let newest =
            candidates.max_by_key(|entry| (!entry.lapsed, !entry.server.draining, entry.sequence));
        newest.map(|entry| &entry.server)
    }

    /// The servers of `service` that accept new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Server>> {
        self.servers
            .values()
            .map(|entry| &entry.server)
            .filter(move |server| server.service == service && !server.draining)
    }

    /// Whether the store is unreachable, or has recovered less than the grace period ago.
    fn in_grace(&self, now: Millis) -> bool {
        match self.outage {
            None => false,
            Some(Outage { ended: None, .. }) => true,
            Some(Outage {
                ended: Some(ended), ..
            }) => now.since(ended) < RECOVERY_GRACE,
        }
    }
}
