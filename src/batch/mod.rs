//! Batches of items that are submitted at once, run later, and whose results
//! are kept in one ordered log.
//!
//! A batch is one part of the store: its head and log in [`WORK`], with the
//! claims of those who run its groups, its items in [`BODIES`] and its results
//! in [`RESULTS`]. Head, items and results never change once written; the log
//! row is the only one that all writers contend for.

mod claim;
mod head;
mod item;
mod layout;
mod log;
mod name;
mod page;
mod partial;
mod sample;
mod writes;

pub use self::{
    claim::{Claim, Heartbeat},
    head::{Bundle, Head, ItemRef},
    item::{Item, Scorer, Submission},
    layout::{
        BODIES,
        PARTIALS,
        RESULTS,
        WORK,
        WorkKey,
        batch_part,
        heartbeat_part,
        is_heartbeat_part,
        partial_key, //
    },
    log::Log,
    name::stored_name,
    page::{Page, read_page},
    partial::Partial,
    sample::{Sample, SampleState},
    writes::{AcceptTransactions, accept_transactions, append_transaction, chunk_key}, //
};

/// Encodes a value that the store keeps.
///
/// Our own types always encode: the codec fails only on unsized sequences and
/// on a full buffer, and neither occurs here.
pub fn encode<T: serde::Serialize>(value: &T) -> bytes::Bytes {
    match postcard::to_stdvec(value) {
        Ok(bytes) => bytes.into(),
        Err(error) => {
            tracing::error!(%error, "a value of ours can't be encoded");
            bytes::Bytes::new()
        }
    }
}

/// Decodes a value that the store kept; a damaged one is logged and left out.
pub fn decode<T: serde::de::DeserializeOwned>(what: &str, bytes: &[u8]) -> Option<T> {
    match postcard::from_bytes(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(what, %error, bytes = bytes.len(), "a kept value is not understood");
            None
        }
    }
}
