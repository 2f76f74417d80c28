//! A crash as the store keeps it.

use crate::{
    base::{Fingerprint, Millis},
    batch::{decode, encode},
    routing::ServerIncarnation,
    store::Key, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// The table of crashes. Each is a row of its own that is written without a
/// condition: instances that saw the same crash write the same row.
pub(super) const CRASHES: &str = "crashes";

/// One server's end under one request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Crash {
    pub(super) life: ServerIncarnation,
    pub(super) request: Fingerprint,
}

/// The table of attempts. Each is a row in a part of its own, as hundreds of requests
/// may lose their servers at once, and nobody follows them.
const ATTEMPTS: &str = "attempts";

/// The row that lets one instance run a request under which servers have ended.
pub(super) fn attempt_key(request: Fingerprint) -> Key {
    Key::new(ATTEMPTS, request.to_string(), "attempt")
}

/// What a row holds beside its key.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Value {
    /// By the store's clock.
    at: Millis,
}

impl Crash {
    /// The row's key: request, start of the server's life, its id.
    pub(super) fn key(&self) -> Key {
        let ServerIncarnation { started_at, id } = &self.life;
        let key = format!("{}/{}/{id}", self.request, started_at.0);
        Key::new(CRASHES, "", key)
    }

    /// The crash that a row's key names.
    pub(super) fn parse(key: &str) -> Option<Self> {
        let mut parts = key.splitn(3, '/');
        let request = Fingerprint::parse(parts.next()?)?;
        let born = Millis(parts.next()?.parse().ok()?);
        let life = ServerIncarnation::new(parts.next()?, born);
        Some(Self { life, request })
    }
}

/// The value of a row that was written at `at`.
pub(super) fn value_at(at: Millis) -> Bytes {
    encode(&Value { at })
}

/// When a row was written, by its value.
pub(super) fn read_at(value: &[u8]) -> Option<Millis> {
    decode::<Value>("crash or attempt", value).map(|value| value.at)
}
