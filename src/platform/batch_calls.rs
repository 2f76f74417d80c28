//! Decodes the batches that trainers submit, and encodes the pages of results that they
//! read.

use crate::batch::{
    Item,
    Page,
    SampleState,
    Scorer,
    Submission, //
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
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};
use std::collections::{
    BTreeMap,
    HashSet, //
};

/// Why a submitted batch is refused; the trainer gets the text.
#[derive(Debug, Snafu)]
pub enum SubmissionError {
    #[snafu(display("item `{item}`: a body is not base64: {source}"))]
    Body {
        item: String,
        source: base64::DecodeError,
    },
    #[snafu(display("the batch has no items, or more than {most}"))]
    Count { most: usize },
    #[snafu(display("item `{item}` stands in the batch twice"))]
    Repeated { item: String },
    #[snafu(display("the batch is not understood: {source}"))]
    Syntax { source: serde_json::Error },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireBatch {
    #[serde(default)]
    group_target: u64,
    items: Vec<WireItem>,
    #[serde(default)]
    min_version: u64,
    #[serde(default)]
    model: String,
    #[serde(default)]
    step: u64,
}

#[derive(Deserialize)]
struct WireItem {
    #[serde(default)]
    body: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    id: String,
    path: String,
    #[serde(default)]
    scorer: Option<WireScorer>,
}

#[derive(Deserialize)]
struct WireScorer {
    #[serde(default)]
    body: String,
    host: String,
    id: String,
    path: String,
}

/// The item's header with the trainer's estimate of the output tokens.
const LENGTH_HINT: &str = "x-length-hint";

/// The maximum number of items in a batch: indices of items have 16 bits.
const MAX_ITEMS: usize = u16::MAX as usize;

/// Decodes a batch with the stored name `id` that was sent to `host` and `path`. Its
/// priority and workspace are left for the caller to set.
///
/// # Errors
///
/// [`SubmissionError`] when the body is invalid.
pub fn read_submission(
    id: &str,
    host: &str,
    path: &str,
    body: &[u8],
) -> Result<Submission, SubmissionError> {
    let wire: WireBatch = serde_json::from_slice(body).context(SyntaxSnafu)?;
    let most = MAX_ITEMS;
    ensure!((1..=most).contains(&wire.items.len()), CountSnafu { most });
    let items: Result<Vec<Item>, SubmissionError> = wire.items.into_iter().map(item).collect();
    let items = items?;
    let mut seen = HashSet::new();
    for item in &items {
        let item = &item.id;
        ensure!(seen.insert(item), RepeatedSnafu { item });
    }
    Ok(Submission {
        host: host.to_owned(),
        id: id.to_owned(),
        items,
        least_version: wire.min_version,
        model: wire.model,
        // No batch has more groups than fit into 16 bits: a larger target means all of them.
        needed: u16::try_from(wire.group_target).unwrap_or(0),
        path: path.to_owned(),
        priority: None,
        step: wire.step,
        workspace: None,
    })
}

fn item(wire: WireItem) -> Result<Item, SubmissionError> {
    let item = &wire.id;
    let hint = wire
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case(LENGTH_HINT));
    let expected = hint.and_then(|(_, value)| value.trim().parse::<f64>().ok());
    let body = BASE64_STANDARD.decode(&wire.body);
    let body = Bytes::from(body.context(BodySnafu { item })?);
    let scorer = match wire.scorer {
        None => None,
        Some(scorer) => {
            let body = BASE64_STANDARD.decode(&scorer.body);
            Some(Scorer {
                body: Bytes::from(body.context(BodySnafu { item })?),
                host: scorer.host,
                id: scorer.id,
                path: scorer.path,
            })
        }
    };
    Ok(Item {
        body,
        expected: expected.unwrap_or(0.0).max(0.0) as u32,
        group: wire.group,
        headers: wire.headers.into_iter().collect(),
        id: wire.id,
        path: wire.path,
        scorer,
    })
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WirePage<'a> {
    /// The position after the last result of the page.
    next_page_token: usize,
    results: Vec<WireResult<'a>>,
    /// The number of items in the batch.
    total_count: usize,
}

#[derive(Serialize)]
struct WireResult<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    score: Option<&'a str>,
    state: &'static str,
    text: &'a str,
    versions: &'a [u64],
}

/// Encodes a page that starts at position `from`, of a batch of `total` items.
pub fn write_page(from: usize, total: usize, page: &Page) -> Bytes {
    let results = page.samples.iter().map(|sample| WireResult {
        id: &sample.id,
        score: sample.score.as_deref(),
        state: match sample.state {
            SampleState::Succeeded => "succeeded",
            SampleState::Terminated => "terminated",
        },
        text: &sample.text,
        versions: &sample.versions,
    });
    let wire = WirePage {
        next_page_token: from + page.samples.len(),
        results: results.collect(),
        total_count: total,
    };
    match serde_json::to_vec(&wire) {
        Ok(body) => body.into(),
        Err(error) => {
            tracing::error!(%error, "page of results could not be encoded");
            Bytes::new()
        }
    }
}
