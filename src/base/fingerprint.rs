//! Identifies requests by their content, independent of attempts and retries.

use super::stable_hash;
use std::fmt;

/// The hash of a request's content.
///
/// Each attempt and each retry has its own request id. Requests of the same caller with the
/// same method, host, path and body have the same fingerprint, in every process; items of a
/// batch are told apart by their ids as well.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u64);

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    pub body: &'a [u8],
    /// Tells callers apart: the workspace's name, or else the `Authorization` header. Empty
    /// if the request has neither.
    pub caller: &'a [u8],
    pub host: &'a str,
    /// The id of a batch item, which stays the same over its retries. It tells the items
    /// of a group apart, which have the same content but run as separate requests. Empty
    /// for a call, because a call that its client repeats gets a new id.
    pub id: &'a str,
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(input: FingerprintInput<'_>) -> Self {
        Self(stable_hash(&[
            input.method.as_bytes(),
            input.host.as_bytes(),
            input.path.as_bytes(),
            input.caller,
            input.id.as_bytes(),
            input.body,
        ]))
    }

    /// Parses the text that [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
