//! The JSON bodies of the store's calls and answers.

use super::server_entry::shortened;
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
    Serialize,
    de::IgnoredAny, //
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

/// The most characters of an invalid row that are logged.
const MAX_LOGGED_CHARS: usize = 200;

/// Decodes an answer of the store. A row that can't be decoded, which another writer may have
/// left, does not fail the whole answer: it has no value then, or is left out if it has no valid
/// key or revision.
///
/// # Errors
///
/// [`serde_json::Error`] if another part of the answer is invalid.
pub(super) fn read_listing(body: &[u8]) -> Result<WireListing, serde_json::Error> {
    serde_json::from_slice(body).or_else(|error| read_rows_singly(body).ok_or(error))
}

/// Decodes an answer, each of its rows by itself; `None` if another part is invalid.
fn read_rows_singly(body: &[u8]) -> Option<WireListing> {
    let mut rows: &[u8] = b"[]";
    let mut others = b"{".to_vec();
    let mut rest = strip(body, b'{')?;
    loop {
        let (name, after) = split_value(rest)?;
        let (value, after) = split_value(strip(after, b':')?)?;
        if name.trim_ascii() == br#""records""# {
            rows = value;
        } else {
            if others.len() > 1 {
                others.push(b',');
            }
            others.extend_from_slice(name);
            others.push(b':');
            others.extend_from_slice(value);
        }
        match after.trim_ascii_start().split_first()? {
            (b',', after) => rest = after,
            (b'}', _) => break,
            _ => return None,
        }
    }
    others.push(b'}');
    let listing: WireListing = serde_json::from_slice(&others).ok()?;
    let records = split_array(rows)?.into_iter().filter_map(read_row);
    Some(WireListing {
        records: records.collect(),
        ..listing
    })
}

/// Decodes a row; one without a valid value has an empty one, which readers reject.
fn read_row(bytes: &[u8]) -> Option<WireRow> {
    let error = match serde_json::from_slice(bytes) {
        Ok(row) => return Some(row),
        Err(error) => error,
    };
    metrics::counter!("redwing_values_unreadable_total").increment(1);
    let shown = String::from_utf8_lossy(bytes);
    let row: String = shown.chars().take(MAX_LOGGED_CHARS).collect();
    let error = shortened(&error);
    tracing::warn!(row, error, "row could not be decoded");
    let name: WireRowName = serde_json::from_slice(bytes).ok()?;
    Some(WireRow {
        deleted: name.deleted,
        key: name.key,
        part: name.part,
        value: String::new(),
        ver: name.ver,
    })
}

/// The elements of a JSON array, not decoded.
fn split_array(array: &[u8]) -> Option<Vec<&[u8]>> {
    let mut elements = Vec::new();
    let mut rest = strip(array, b'[')?;
    if strip(rest, b']').is_some() {
        return Some(elements);
    }
    loop {
        let (element, after) = split_value(rest)?;
        elements.push(element);
        match after.trim_ascii_start().split_first()? {
            (b',', after) => rest = after,
            (b']', _) => return Some(elements),
            _ => return None,
        }
    }
}

/// Splits `bytes` after the JSON value at their beginning, which is not decoded.
fn split_value(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let mut values = serde_json::Deserializer::from_slice(bytes).into_iter::<IgnoredAny>();
    values.next()?.ok()?;
    bytes.split_at_checked(values.byte_offset())
}

/// What follows `first`, if that is the first byte after white space.
fn strip(bytes: &[u8], first: u8) -> Option<&[u8]> {
    match bytes.trim_ascii_start().split_first() {
        Some((found, rest)) if *found == first => Some(rest),
        _ => None,
    }
}

/// A key or part as the value of a query parameter. Encodes the bytes that may not stand in a
/// URI, and those that have a meaning in a query.
pub(super) fn query_value(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        let is_kept = byte.is_ascii_alphanumeric() || b"-._~/:@!$'()*,;=?".contains(&byte);
        match is_kept {
            true => encoded.push(char::from(byte)),
            false => encoded.extend(['%', hex_digit(byte >> 4), hex_digit(byte & 15)]),
        }
    }
    encoded
}

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16)
        .unwrap_or('0')
        .to_ascii_uppercase()
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
