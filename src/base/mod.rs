//! Types that all other layers use: time, ids, verdicts and failures.

mod account;
mod cause;
mod clock;
mod failure;
mod fingerprint;
mod incarnation;
mod millis;
mod priority;
mod request_id;
mod span;
mod tokens;
mod verdict;
mod weight_version;

pub use self::{
    account::{Account, Event},
    cause::Cause,
    clock::Clock,
    failure::Failure,
    fingerprint::{Fingerprint, FingerprintInput},
    incarnation::Incarnation,
    millis::Millis,
    priority::Priority,
    request_id::{Issuer, RequestId, RequestIdError},
    span::Span,
    tokens::Tokens,
    verdict::Verdict,
    weight_version::WeightVersion, //
};

/// A fencing token: each new holder of a lease has a higher one than the holders before it.
pub type Fence = u64;

/// Hashes `parts` to 64 bits. The result is the same in every process and every release.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
