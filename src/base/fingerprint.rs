//! What was input, whoever's attempt it is.

use super::stable_hash;
use std::fmt;

/// Names a request by its content.
///
/// Attempts and retries have ids of their own; requests that ask the same of the
/// same service for the same caller have one fingerprint, in every process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u64);

/// What a request's fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    pub body: &'a [u8],
    /// What the caller proves its identity with; empty where it has none.
    pub credential: &'a [u8],
    pub host: &'a str,
    /// The name that its retries keep: an item's. Empty for a call, whose returns
    /// have new names. Items of one group ask the same and run as requests of
    /// their own.
    pub id: &'a str,
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(input: FingerprintInput<'_>) -> Self {
        Self(stable_hash(&[
            input.method.as_bytes(),
            input.host.as_bytes(),
            input.path.as_bytes(),
            input.credential,
            input.id.as_bytes(),
            input.body,
        ]))
    }

    /// Reads what [`fmt::Display`] wrote.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
