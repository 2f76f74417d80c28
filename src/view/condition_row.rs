//! Rows of conditions and of instances' calls in the store.

use crate::{
    base::Millis,
    batch::{decode, encode},
    policy::{
        conditions::{Report, ServerState},
        demand::InstanceDemand, //
    },
    routing::ServerIncarnation,
    store::Key, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// The table of conditions. Its rows are written unconditionally: the last write wins.
pub(super) const CONDITIONS: &str = "conditions";

const SERVER_PREFIX: &str = "server/";

const CALLS_PREFIX: &str = "calls/";

/// The longest name of an observer, in bytes: an instance's name is part of a key, which has at
/// most as many.
const MAX_OBSERVER_BYTES: usize = 200;

/// What a row is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Subject {
    Instance(String),
    Server(ServerIncarnation),
}

/// The value of a row about a server.
#[derive(Debug, Deserialize, Serialize)]
struct ServerValue {
    /// When the server was observed, by the store's clock.
    at: Millis,
    observer: String,
    /// `None` if the server answered.
    state: Option<ServerState>,
}

/// The value of a row about an instance.
#[derive(Debug, Deserialize, Serialize)]
struct CallsValue {
    /// When the row was written, by the store's clock.
    at: Millis,
    demand: InstanceDemand,
}

impl Subject {
    /// The row's key.
    pub(super) fn key(&self) -> Key {
        let key = match self {
            Self::Instance(instance) => format!("{CALLS_PREFIX}{instance}"),
            Self::Server(server) => format!("{SERVER_PREFIX}{}/{}", server.id, server.started_at.0),
        };
        Key::new(CONDITIONS, "", key)
    }

    /// Parses a row's key.
    pub(super) fn parse(key: &str) -> Option<Self> {
        if let Some(instance) = key.strip_prefix(CALLS_PREFIX) {
            return Some(Self::Instance(instance.to_owned()));
        }
        let (id, started_at) = key.strip_prefix(SERVER_PREFIX)?.rsplit_once('/')?;
        let started_at = Millis(started_at.parse().ok()?);
        Some(Self::Server(ServerIncarnation::new(id, started_at)))
    }
}

/// Encodes a report; `at` is its time by the store's clock.
pub(super) fn encode_report(report: &Report, at: Millis) -> Bytes {
    encode(&ServerValue {
        at,
        observer: report.observer.clone(),
        state: report.state,
    })
}

/// Decodes the report in the row `key`, with its time by the store's clock; `None` if it is
/// invalid.
pub(super) fn decode_report(key: &str, value: &[u8]) -> Option<Report> {
    let value = decode::<ServerValue>(key, value)?;
    let observer_bytes = value.observer.len();
    if observer_bytes > MAX_OBSERVER_BYTES {
        metrics::counter!("redwing_values_unreadable_total").increment(1);
        tracing::warn!(
            key,
            observer_bytes,
            "condition ignored: no instance has its observer's name"
        );
        return None;
    }
    Some(Report {
        at: value.at,
        observer: value.observer,
        state: value.state,
    })
}

/// Encodes an instance's calls as of `at`, by the store's clock.
pub(super) fn encode_calls(demand: InstanceDemand, at: Millis) -> Bytes {
    encode(&CallsValue { at, demand })
}

/// Decodes the calls of an instance in the row `key`, and when they were written, by the store's
/// clock; `None` if the value is invalid.
pub(super) fn decode_calls(key: &str, value: &[u8]) -> Option<(Millis, InstanceDemand)> {
    let value = decode::<CallsValue>(key, value)?;
    Some((value.at, value.demand))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A server's id may contain the separator of the key's parts.
    #[test]
    fn keys_are_parsed_as_written() {
        for subject in [
            Subject::Instance("gateway-1/a".to_owned()),
            Subject::Server(ServerIncarnation::new("plain/1", Millis(7))),
        ] {
            assert_eq!(Subject::parse(&subject.key().key), Some(subject));
        }
        for invalid in ["server/plain", "server/plain/x", "other/a"] {
            assert_eq!(Subject::parse(invalid), None, "{invalid}");
        }
    }

    /// The sizes from which `docs/CAPACITY.md` works out the cost of the exchange.
    #[test]
    fn rows_are_as_small_as_the_capacity_page_says() {
        let at = Millis(1_790_000_000_000);
        let report = Report {
            at,
            observer: "gateway-north-0123".to_owned(),
            state: Some(ServerState::Unresponsive),
        };
        assert_eq!(encode_report(&report, at).len(), 27);
        let service = |workspaces: usize| crate::policy::conditions::ServiceDemand {
            running: 200,
            waiting: 200,
            workspaces: (0..workspaces)
                .map(|number| (format!("workspace-{number:02}"), 100))
                .collect(),
        };
        let calls = |workspaces| {
            let demand = InstanceDemand {
                services: [("search".to_owned(), service(workspaces))].into(),
                valid: Millis(90_000),
            };
            encode_calls(demand, at).len()
        };
        assert_eq!((calls(0), calls(8)), (22, 134));
    }
}
