//! A crash as the store keeps it.

use crate::{
    base::{Fingerprint, Millis},
    batch::{decode, encode},
    routing::Life,
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
    pub(super) life: Life,
    pub(super) request: Fingerprint,
}

/// The row that lets one instance try a request in quarantine, after `ended`
/// servers ended under it.
pub(super) fn trial_key(request: Fingerprint, ended: usize) -> Key {
    Key::new(CRASHES, "", format!("{request}/{TRIAL}/{ended}"))
}

/// Whether `key` names a trial.
pub(super) fn is_trial(key: &str) -> bool {
    key.split('/').nth(1) == Some(TRIAL)
}

const TRIAL: &str = "trial";

/// What the row holds beside its key.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Value {
    /// By the store's clock.
    at: Millis,
}

impl Crash {
    /// The row's key: request, start of the server's life, its id.
    pub(super) fn key(&self) -> Key {
        let Life { born, id } = &self.life;
        let key = format!("{}/{}/{id}", self.request, born.0);
        Key::new(CRASHES, "", key)
    }

    /// The crash that a row's key names.
    pub(super) fn parse(key: &str) -> Option<Self> {
        let mut parts = key.splitn(3, '/');
        let request = Fingerprint::parse(parts.next()?)?;
        let born = Millis(parts.next()?.parse().ok()?);
        let life = Life::new(parts.next()?, born);
        Some(Self { life, request })
    }
}

/// The row's value for a crash at `at`.
pub(super) fn value_at(at: Millis) -> Bytes {
    encode(&Value { at })
}

/// When the crash was, by its row's value.
pub(super) fn read_at(value: &[u8]) -> Option<Millis> {
    decode::<Value>("crash", value).map(|value| value.at)
}
