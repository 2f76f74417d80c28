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
    relay::{BACKOFF_MOST, Followed, Following, HOLD, Relay, follow},
    store::Change, //
};
use std::{
    collections::HashSet,
    sync::Arc, //
};
use tokio::sync::mpsc;

/// Batches of changes that may wait for the keeper; the follower waits then.
const RING: usize = 16;

/// How often lapsed servers are looked at.
const SETTLE: Millis = Millis(200);

/// The operators' table changes seldom and has to be in force within seconds.
const OPERATOR_PACE: Millis = Millis(5);

/// The longest wait after a call for the operators' table that failed. Hundreds of
/// processes together can ask for more than the store takes; a configuration that is
/// turned away some times in a row was in force two seconds late.
const OPERATOR_BACKOFF: Millis = Millis(100);

/// How long the store holds a call for the servers' changes. A feed that fell silent is
/// noticed after this and 0.6 s; a server that leaves takes requests for 2 s.
const SERVERS_HOLD: Millis = Millis(1_000);

/// Servers announce changes of state and weights; a moment's delay gathers
/// those of a release or of a step's weights into one call.
const SERVERS_PACE: Millis = Millis(100);

/// Follows the operators' and the servers' tables for good.
pub async fn keep(site: Arc<Site>, relay: Arc<Relay>) {
    let (operators, mut operator_feed) = mpsc::channel(RING);
    let (servers, mut server_feed) = mpsc::channel(RING);
    let operator_table = Following {
        backoff: OPERATOR_BACKOFF,
        hold: HOLD,
        pace: OPERATOR_PACE,
        parts: false,
        table: OPERATOR_TABLE,
    };
    let server_table = Following {
        backoff: BACKOFF_MOST,
        hold: SERVERS_HOLD,
        pace: SERVERS_PACE,
        parts: false,
        table: SERVERS_TABLE,
    };
    tokio::spawn(follow(relay.clone(), operator_table, operators));
    tokio::spawn(follow(relay, server_table, servers));

    let mut strangers = Strangers::default();
    let mut settle = tokio::time::interval(SETTLE.as_duration());
    loop {
        tokio::select! {
            Some(followed) = operator_feed.recv() => {
                if let Followed::Changes { changes, .. } = followed {
                    for change in changes {
                        operator_change(&site, change);
                    }
                }
            }
            Some(followed) = server_feed.recv() => server_news(&site, &mut strangers, followed),
            _ = settle.tick() => {
                let gone = site.directory().remove_lapsed(site.now());
                for server in gone {
                    tracing::info!(server, "server gone: still missing after the store's return");
                }
            }
            else => return,
        }
    }
}

fn operator_change(site: &Site, change: Change) {
    let Change::Put { key, value, .. } = change else {
        return;
    };
    if key == CONFIG_KEY {
        match read_config(&value) {
            Ok(config) => site.offer(config),
            Err(error) => tracing::error!(%error, "a configuration is left out"),
        }
    } else if key.starts_with(NAMED_VERSION)
        && let Some(named) = read_named(&value)
    {
        site.name(named.model, named.version);
    }
}

/// The servers' rows that name no server.
///
/// Other writers may write there too. Each such row is told of once, however
/// often it is written, until it names a server or is gone.
#[derive(Default)]
struct Strangers(HashSet<String>);

impl Strangers {
    fn note(&mut self, key: &str, error: &EntryError) {
        metrics::counter!("redwing_entries_left_out_total").increment(1);
        if self.0.insert(key.to_owned()) {
            tracing::warn!(server = key, %error, "an entry names no server");
        }
    }
}

fn server_news(site: &Site, strangers: &mut Strangers, followed: Followed) {
    let now = site.now();
    match followed {
        Followed::Changes { changes, listed } => {
            if listed {
                site.set_listed();
            }
            for change in changes {
                server_change(site, strangers, change, now);
            }
        }
        Followed::Lost => site.directory().store_lost(now),
        Followed::Regained => site.directory().store_regained(now),
    }
}

fn server_change(site: &Site, strangers: &mut Strangers, change: Change, now: Millis) {
    match change {
        Change::Put { key, value, .. } => {
            let server = match read_server(&key, &value) {
                Ok(server) => server,
                Err(error) => {
                    strangers.note(&key, &error);
                    site.directory().remove(&key, now);
                    return;
                }
            };
            strangers.0.remove(&key);
            let mut directory = site.directory();
            let (life, draining) = (&server.incarnation, server.draining);
            let before = directory.get(&key);
            if before
                .is_none_or(|before| (&before.incarnation, before.draining) != (life, draining))
            {
                let (service, born) = (&server.service, life.started_at.0);
                tracing::info!(server = key, service, born, draining, "server seen");
            }
            directory.put(server);
        }
        Change::Removed { key, .. } => {
            tracing::info!(server = key, "server's announcement gone");
            strangers.0.remove(&key);
            site.directory().remove(&key, now);
        }
    }
}
