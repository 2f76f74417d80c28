//! The JSON bodies of the store's calls and answers.

use super::excerpt::excerpt;
use crate::store::{
    Key,
    Row, //
};
use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use bytes::Bytes;
use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    PercentEncode,
    utf8_percent_encode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

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
pub(super) struct WireListing<R = WireRow> {
    /// Whether more rows or parts follow these.
    #[serde(default)]
    pub(super) has_more: bool,
    /// The store's monotonic clock.
    #[serde(default)]
    pub(super) now_ms: f64,
    #[serde(default)]
    pub(super) parts: Vec<String>,
    #[serde(default = "Vec::new")]
    pub(super) records: Vec<R>,
    /// The revision of the store at the answer.
    #[serde(default)]
    pub(super) ver: u64,
}

/// The fields of a row that identify it, with a value of any type.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRowName {
    #[serde(default)]
    deleted: bool,
    key: String,
    #[serde(default)]
    part: String,
    ver: u64,
}

/// Decodes an answer of the store. A row that can't be decoded, which another writer may have
/// left, does not fail the whole answer: it has no value then, or is left out if it has no valid
/// key or revision.
///
/// # Errors
///
/// [`serde_json::Error`] if another part of the answer is invalid.
pub(super) fn read_listing(body: &[u8]) -> Result<WireListing, serde_json::Error> {
    serde_json::from_slice(body).or_else(|_| read_rows_singly(&String::from_utf8_lossy(body)))
}

/// Decodes an answer, each of its rows by itself.
fn read_rows_singly(body: &str) -> Result<WireListing, serde_json::Error> {
    let raw: WireListing<&RawValue> = serde_json::from_str(body)?;
    let records = raw.records.iter().filter_map(|row| read_row(row.get()));
    Ok(WireListing {
        has_more: raw.has_more,
        now_ms: raw.now_ms,
        parts: raw.parts,
        records: records.collect(),
        ver: raw.ver,
    })
}

/// Decodes a row; one without a valid value has an empty one, which readers reject.
fn read_row(text: &str) -> Option<WireRow> {
    let error = match serde_json::from_str(text) {
        Ok(row) => return Some(row),
        Err(error) => error,
    };
    metrics::counter!("redwing_values_unreadable_total").increment(1);
    let (row, error) = (excerpt(text), excerpt(&error));
    tracing::warn!(row, error, "row could not be decoded");
    let name: WireRowName = serde_json::from_str(text).ok()?;
    Some(WireRow {
        deleted: name.deleted,
        key: name.key,
        part: name.part,
        value: String::new(),
        ver: name.ver,
    })
}

/// The bytes of a key that are encoded in a query: all but those that may stand there and have no
/// meaning to the store.
const ENCODED_IN_QUERY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/')
    .remove(b':')
    .remove(b'@')
    .remove(b'!')
    .remove(b'$')
    .remove(b'\'')
    .remove(b'(')
    .remove(b')')
    .remove(b'*')
    .remove(b',')
    .remove(b';')
    .remove(b'=')
    .remove(b'?');

/// A key or part as the value of a query parameter.
pub(super) fn query_value(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ENCODED_IN_QUERY)
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
