//! Keeps a program's [`Site`] up to date with the store.

use super::Site;
use crate::{
    base::Millis,
    platform::{
        AnnouncementError,
        CONFIG_KEY,
        NAMED_VERSION_PREFIX,
        OPERATOR_TABLE,
        SERVERS_TABLE,
        read_config,
        read_named_version,
        read_server, //
    },
    relay::{DEFAULT_HOLD, FollowEvent, FollowOptions, MAX_BACKOFF, Relay, follow},
    store::Change, //
};
use std::{
    collections::HashSet,
    sync::Arc, //
};
use tokio::sync::mpsc;

/// How many batches of changes may be queued; a follower waits while the queue is full.
const FEED_CAPACITY: usize = 16;

/// How often servers whose announcements lapsed in an outage are checked for removal.
const LAPSE_CHECK_INTERVAL: Millis = Millis(200);

/// The delay after a batch of changes of the operators' table. It is short, as that table
/// changes rarely and its changes must take effect within seconds.
const OPERATOR_BATCH_DELAY: Millis = Millis(5);

/// The longest delay after a failed call for the operators' table. Hundreds of processes
/// together can exceed what the store accepts. With a longer delay, some rejected calls
/// in a row made a configuration take effect two seconds late.
const MAX_OPERATOR_BACKOFF: Millis = Millis(100);

/// How long the store holds a call for changes of servers. A feed that stopped
/// delivering is detected 0.6 s after this, in time for a server that is shutting down:
/// it accepts requests for 2 s.
const SERVERS_HOLD: Millis = Millis(1_000);

/// The delay after a batch of changes of servers, so that the announcements of a release, or
/// of a step's new weights, arrive in few batches.
const SERVERS_BATCH_DELAY: Millis = Millis(100);

/// Applies the changes of the operators' and the servers' tables to `site`, until the
/// program ends.
pub async fn sync_site(site: Arc<Site>, relay: Arc<Relay>) {
    let (operators, mut operator_feed) = mpsc::channel(FEED_CAPACITY);
    let (servers, mut server_feed) = mpsc::channel(FEED_CAPACITY);
    let operator_table = FollowOptions {
        max_backoff: MAX_OPERATOR_BACKOFF,
        hold: DEFAULT_HOLD,
        batch_delay: OPERATOR_BATCH_DELAY,
        has_parts: false,
        table: OPERATOR_TABLE,
    };
    let server_table = FollowOptions {
        max_backoff: MAX_BACKOFF,
        hold: SERVERS_HOLD,
        batch_delay: SERVERS_BATCH_DELAY,
        has_parts: false,
        table: SERVERS_TABLE,
    };
    tokio::spawn(follow(relay.clone(), operator_table, operators));
    tokio::spawn(follow(relay, server_table, servers));

    let mut invalid = InvalidEntries::default();
    let mut lapse_check = tokio::time::interval(LAPSE_CHECK_INTERVAL.as_duration());
    loop {
        tokio::select! {
            Some(event) = operator_feed.recv() => {
                if let FollowEvent::Changes { changes, .. } = event {
                    for change in changes {
                        apply_operator_change(&site, change);
                    }
                }
            }
            Some(event) = server_feed.recv() => apply_server_event(&site, &mut invalid, event),
            _ = lapse_check.tick() => {
                let gone = site.directory().remove_lapsed(site.now());
                for server in gone {
                    site.forget_announced(&server);
                    tracing::info!(server, "server removed: not announced after the outage");
                }
            }
            else => return,
        }
    }
}

fn apply_operator_change(site: &Site, change: Change) {
    let Change::Put { key, value, .. } = change else {
        return;
    };
    if key == CONFIG_KEY {
        match read_config(&value) {
            Ok(config) => site.apply_config(config),
            Err(error) => tracing::error!(%error, "invalid configuration ignored"),
        }
    } else if key.starts_with(NAMED_VERSION_PREFIX)
        && let Some(named) = read_named_version(&value)
    {
        site.set_named_version(named.model, named.version);
    }
}

/// Keys of rows in the servers' table that are not valid server entries.
///
/// Other programs may write to that table. Each such row is logged once, however often
/// it is written, until it becomes valid or is removed.
#[derive(Default)]
struct InvalidEntries(HashSet<String>);

impl InvalidEntries {
    fn record(&mut self, key: &str, error: &AnnouncementError) {
        metrics::counter!("redwing_entries_left_out_total").increment(1);
        if self.0.insert(key.to_owned()) {
            tracing::warn!(server = key, %error, "invalid server entry ignored");
        }
    }
}

fn apply_server_event(site: &Site, invalid: &mut InvalidEntries, event: FollowEvent) {
    let now = site.now();
    match event {
        FollowEvent::Changes { changes, listed } => {
            if listed {
                site.set_servers_listed();
            }
            for change in changes {
                apply_server_change(site, invalid, change, now);
            }
        }
        FollowEvent::Disconnected => site.directory().store_lost(now),
        FollowEvent::Reconnected => site.directory().store_regained(now),
    }
}

fn apply_server_change(site: &Site, invalid: &mut InvalidEntries, change: Change, now: Millis) {
    match change {
        Change::Put { key, value, .. } => {
            let server = match read_server(&key, &value) {
                Ok(server) => server,
                Err(error) => {
                    invalid.record(&key, &error);
                    remove_server(site, &key, now);
                    return;
                }
            };
            invalid.0.remove(&key);
            let mut directory = site.directory();
            let (incarnation, draining) = (&server.incarnation, server.draining);
            let before = directory.get(&key);
            if before.is_none_or(|before| {
                (&before.incarnation, before.draining) != (incarnation, draining)
            }) {
                let (service, born) = (&server.service, incarnation.started_at.0);
                tracing::info!(server = key, service, born, draining, "server announced");
            }
            if before.is_none_or(|before| before.incarnation != *incarnation) {
                site.record_announced(&key, now);
            }
            directory.put(server);
        }
        Change::Removed { key, .. } => {
            tracing::info!(server = key, "server announcement removed");
            invalid.0.remove(&key);
            remove_server(site, &key, now);
        }
    }
}

/// Removes the server `id`, unless the store's outage may have ended its announcement.
fn remove_server(site: &Site, id: &str, now: Millis) {
    let mut directory = site.directory();
    directory.remove(id, now);
    if directory.get(id).is_none() {
        site.forget_announced(id);
    }
}
