//! Rows and transactions as the platform's store writes them.

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

#[derive(Serialize)]
pub(super) struct WireKey<'a> {
    pub(super) key: &'a str,
    pub(super) part: &'a str,
    pub(super) table: &'a str,
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
    /// Base64.
    #[serde(default)]
    pub(super) value: String,
    pub(super) ver: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireListing {
    #[serde(default)]
    pub(super) has_more: bool,
    /// The store's steady clock.
    #[serde(default)]
    pub(super) now_ms: f64,
    #[serde(default)]
    pub(super) parts: Vec<String>,
    #[serde(default)]
    pub(super) records: Vec<WireRow>,
    #[serde(default)]
    pub(super) ver: u64,
}

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

/// The row's value; empty when it can't be read, which no reader of a row takes
/// for one of its own. One such row by another writer must not hide all others
/// of a listing.
fn decode_value(wire: &WireRow) -> Bytes {
    match BASE64_STANDARD.decode(&wire.value) {
        Ok(value) => value.into(),
        Err(error) => {
            metrics::counter!("redwing_values_unreadable_total").increment(1);
            tracing::debug!(key = wire.key, %error, "a row's value can't be read");
            Bytes::new()
        }
    }
}
