//! The JSON bodies of the store's calls and answers.

use crate::store::{
    Key,
    Row, //
};
use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// A row in a transaction: only its key for a removal, with `ver` for a condition, with
/// `value` for a write.
#[derive(Serialize)]
pub(super) struct WireKey<'a> {
    pub(super) key: &'a str,
    pub(super) part: &'a str,
    pub(super) table: &'a str,
    /// The new value in base64.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) value: Option<String>,
    /// The revision that the row must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) ver: Option<u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireTransaction<'a> {
    pub(super) expected_rev: Vec<WireKey<'a>>,
    pub(super) remove: Vec<WireKey<'a>>,
    pub(super) set_keys: Vec<WireKey<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireRow {
    #[serde(default)]
    pub(super) deleted: bool,
    pub(super) key: String,
    #[serde(default)]
    pub(super) part: String,
    /// In base64.
    #[serde(default)]
    pub(super) value: String,
    /// The revision of the row's last change.
    pub(super) ver: u64,
}

/// The answer to every call; each call sets only some of the fields.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireListing {
    /// Whether more rows or parts follow these.
    #[serde(default)]
    pub(super) has_more: bool,
    /// The store's monotonic clock.
    #[serde(default)]
    pub(super) now_ms: f64,
    #[serde(default)]
    pub(super) parts: Vec<String>,
    #[serde(default)]
    pub(super) records: Vec<WireRow>,
    /// The revision of the store at the answer.
    #[serde(default)]
    pub(super) ver: u64,
}

/// A row's key without a value or a condition.
pub(super) fn wire_key(key: &Key) -> WireKey<'_> {
    WireKey {
        key: &key.key,
        part: &key.part,
        table: key.table,
        value: None,
        ver: None,
    }
}

pub(super) fn rows(records: Vec<WireRow>) -> Vec<Row> {
    records.into_iter().map(row).collect()
}

fn row(wire: WireRow) -> Row {
    Row {
        value: (!wire.deleted).then(|| decode_value(&wire)),
        part: wire.part,
        key: wire.key,
        revision: wire.ver,
    }
}

/// Decodes a row's value. An invalid value by another writer becomes empty, so that it
/// does not fail the whole listing; readers reject an empty value.
fn decode_value(wire: &WireRow) -> Bytes {
    match BASE64_STANDARD.decode(&wire.value) {
        Ok(value) => value.into(),
        Err(error) => {
            metrics::counter!("redwing_values_unreadable_total").increment(1);
            tracing::debug!(key = wire.key, %error, "row's value is not valid base64");
            Bytes::new()
        }
    }
}
