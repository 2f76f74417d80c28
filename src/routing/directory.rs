//! The backend servers that may get requests.

use super::Server;
use crate::base::Millis;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc, //
};

/// The announced servers, by id.
///
/// Announcements lapse by themselves while the store is away, and living
/// servers are back within two seconds or so of its return. Until then a lapsed
/// server stays in use; without the grace, one outage of the store would take
/// every server from every caller.
#[derive(Debug, Default)]
pub struct Directory {
    /// Counts the lives that were ever announced.
    last_sequence: u64,
    /// When the store was last found away, and since when it is back.
    outage: Option<Outage>,
    servers: HashMap<String, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    began: Millis,
    /// `None` while the store is away.
    ended: Option<Millis>,
}

#[derive(Debug)]
struct Entry {
    /// When its announcement went while the store was away or just back.
    lapsed: bool,
    /// Its life's place in the order of first announcements.
    sequence: u64,
    server: Arc<Server>,
}

/// How long after the store's return a living server's announcement may still
/// be missing: the users' pages say about two seconds.
pub const RECOVERY_GRACE: Millis = Millis(2_200);

impl Directory {
    /// A server announced itself or changed what it says.
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

    /// The announcement of `id` is gone.
    pub fn remove(&mut self, id: &str, now: Millis) {
        if !self.in_grace(now) {
            self.servers.remove(id);
            return;
        }
        if let Some(entry) = self.servers.get_mut(id) {
            entry.lapsed = true;
        }
    }

    /// The store does not answer this process.
    pub fn store_lost(&mut self, now: Millis) {
        self.outage = Some(Outage {
            began: now,
            ended: None,
        });
    }

    /// The store answers again.
    pub fn store_regained(&mut self, now: Millis) {
        if let Some(outage) = &mut self.outage {
            outage.ended = Some(now);
        }
    }

    /// Since when the store is away; `None` while it answers.
    pub fn outage_start(&self) -> Option<Millis> {
        let outage = self.outage?;
        outage.ended.is_none().then_some(outage.began)
    }

    /// Drops lapsed servers whose grace is over; returns their ids.
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

    /// The server of `service` at `address`: one that takes work before one that
    /// leaves, and of two that take work the one announced last. A server that
    /// crashed stays announced for some seconds beside its next life, which
    /// refused what was meant for the first. An entry of another service at the
    /// same address may be a stranger's, and would hide the server.
    pub fn server_at(&self, address: SocketAddr, service: &str) -> Option<&Arc<Server>> {
        let matches =
            |server: &Server| (server.address, server.service.as_str()) == (address, service);
        let entries = self.servers.values();
        let candidates = entries.filter(|entry| matches(&entry.server));
        let newest =
            candidates.max_by_key(|entry| (!entry.lapsed, !entry.server.draining, entry.sequence));
        newest.map(|entry| &entry.server)
    }

    /// The servers of `service` that take new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Server>> {
        self.servers
            .values()
            .map(|entry| &entry.server)
            .filter(move |server| server.service == service && !server.draining)
    }

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
