//! Batches: items that a trainer submits together, that runners execute later, and
//! whose results are appended to one ordered log.
//!
//! All rows of a batch have the same part of the store: its head, its log and the
//! runners' claims in [`WORK`], its items in [`BODIES`] and its results in [`RESULTS`].
//! Head, items and results never change once written. The log is the only row that
//! all writers of a batch contend for.

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
    head::{Bundle, Head, HeadBuilder, ItemRef},
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
    writes::{BatchWrites, append_transaction, chunk_key}, //
};

/// Encodes a value for the store.
///
/// Encoding never fails for the types of this program: the codec fails only on
/// sequences of unknown length and on a full buffer, and neither occurs here. If it
/// fails nevertheless, the error is logged and the value is empty.
pub fn encode<T: serde::Serialize>(value: &T) -> bytes::Bytes {
    match postcard::to_stdvec(value) {
        Ok(bytes) => bytes.into(),
        Err(error) => {
            tracing::error!(%error, "value could not be encoded for the store");
            bytes::Bytes::new()
        }
    }
}

/// Decodes a value that was read from the store. A damaged value is logged as an
/// error, with `what` as its description, and gives `None`.
pub fn decode<T: serde::de::DeserializeOwned>(what: &str, bytes: &[u8]) -> Option<T> {
    match postcard::from_bytes(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(what, %error, bytes = bytes.len(), "stored value could not be decoded");
            None
        }
    }
}
