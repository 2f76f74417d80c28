//! Keeps the site up to date from the store.

use super::Site;
use crate::{
    base::Millis,
    platform::{
        CONFIG_KEY,
        EntryError,
        NAMED_VERSION,
        OPERATOR_TABLE,
        SERVERS_TABLE,
        read_config,
        read_named,
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

/// Batches of changes that may wait for the keeper; the follower waits then.
const FEED_CAPACITY: usize = 16;

/// How often lapsed servers are looked at.
const LAPSE_CHECK_INTERVAL: Millis = Millis(200);

/// The operators' table changes seldom and has to be in force within seconds.
const OPERATOR_BATCH_DELAY: Millis = Millis(5);

/// The longest wait after a call for the operators' table that failed. Hundreds of
/// processes together can ask for more than the store takes; a configuration that is
/// turned away some times in a row was in force two seconds late.
const OPERATOR_MAX_BACKOFF: Millis = Millis(100);

/// How long the store holds a call for the servers' changes. A feed that fell silent is
/// noticed after this and 0.6 s; a server that leaves takes requests for 2 s.
const SERVERS_HOLD: Millis = Millis(1_000);

/// Servers announce changes of state and weights; a moment's delay gathers
/// those of a release or of a step's weights into one call.
const SERVERS_BATCH_DELAY: Millis = Millis(100);

/// Follows the operators' and the servers' tables for good.
pub async fn sync_site(site: Arc<Site>, relay: Arc<Relay>) {
    let (operators, mut operator_feed) = mpsc::channel(FEED_CAPACITY);
    let (servers, mut server_feed) = mpsc::channel(FEED_CAPACITY);
    let operator_table = FollowOptions {
        backoff: OPERATOR_MAX_BACKOFF,
        hold: DEFAULT_HOLD,
        batch_delay: OPERATOR_BATCH_DELAY,
        has_parts: false,
        table: OPERATOR_TABLE,
    };
    let server_table = FollowOptions {
        backoff: MAX_BACKOFF,
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
                let gone = site.directory().settle(site.now());
                for server in gone {
                    tracing::info!(server, "server gone: still missing after the store's return");
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
            Err(error) => tracing::error!(%error, "a configuration is left out"),
        }
    } else if key.starts_with(NAMED_VERSION)
        && let Some(named) = read_named(&value)
    {
        site.set_named_version(named.model, named.version);
    }
}

/// The servers' rows that name no server.
///
/// Other writers may write there too. Each such row is told of once, however
/// often it is written, until it names a server or is gone.
#[derive(Default)]
struct InvalidEntries(HashSet<String>);

impl InvalidEntries {
    fn record(&mut self, key: &str, error: &EntryError) {
        metrics::counter!("redwing_entries_left_out_total").increment(1);
        if self.0.insert(key.to_owned()) {
            tracing::warn!(server = key, %error, "an entry names no server");
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
                    site.directory().remove(&key, now);
                    return;
                }
            };
            invalid.0.remove(&key);
            let mut directory = site.directory();
            let (life, draining) = (&server.life, server.draining);
            let before = directory.get(&key);
            if before.is_none_or(|before| (&before.life, before.draining) != (life, draining)) {
                let (service, born) = (&server.service, life.born.0);
                tracing::info!(server = key, service, born, draining, "server seen");
            }
            directory.put(server);
        }
        Change::Removed { key, .. } => {
            tracing::info!(server = key, "server's announcement gone");
            invalid.0.remove(&key);
            site.directory().remove(&key, now);
        }
    }
}
