//! Rows of crashes and claimed trials in the store.

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

/// The table of crashes. Each crash has its own row, which is written unconditionally:
/// instances that saw the same crash write the same row.
pub(super) const CRASHES: &str = "crashes";

/// The crash of a server while it ran a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Crash {
    pub(super) incarnation: ServerIncarnation,
    pub(super) request: Fingerprint,
}

/// The table of claimed trials. Each row has a part of its own: hundreds of requests may
/// lose their servers at once, and no instance follows the table.
const ATTEMPTS: &str = "attempts";

/// The key of the row with which one instance at a time claims the trial of a request in
/// quarantine.
pub(super) fn trial_key(request: Fingerprint) -> Key {
    Key::new(ATTEMPTS, request.to_string(), "attempt")
}

/// The value of a row in either table.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct RowValue {
    /// When the row was written, by the store's clock.
    at: Millis,
}

impl Crash {
    /// The row's key: the request, the server's start time, the server's id.
    pub(super) fn key(&self) -> Key {
        let ServerIncarnation { started_at, id } = &self.incarnation;
        let key = format!("{}/{}/{id}", self.request, started_at.0);
        Key::new(CRASHES, "", key)
    }

    /// Parses a row's key.
    pub(super) fn parse(key: &str) -> Option<Self> {
        let mut parts = key.splitn(3, '/');
        let request = Fingerprint::parse(parts.next()?)?;
        let started_at = Millis(parts.next()?.parse().ok()?);
        let incarnation = ServerIncarnation::new(parts.next()?, started_at);
        Some(Self {
            incarnation,
            request,
        })
    }
}

/// Encodes the value of a row that is written at `at`.
pub(super) fn value_at(at: Millis) -> Bytes {
    encode(&RowValue { at })
}

/// Decodes when a row was written; `None` if its value is invalid.
pub(super) fn written_at(value: &[u8]) -> Option<Millis> {
    decode::<RowValue>("crash or trial", value).map(|value| value.at)
}
