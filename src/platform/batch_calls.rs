//! Decodes the batches that trainers submit, and encodes the pages of results that they
//! read.

use super::ingress::is_client_path;
use crate::{
    base::Millis,
    batch::{
        Head,
        HeadBuilder,
        Item,
        Page,
        SampleState,
        Scorer,
        Submission, //
    },
};
use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    de::{Error, SeqAccess, Visitor}, //
};
use serde_json::value::RawValue;
use snafu::{
    OptionExt,
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
    #[snafu(display("item `{item}` is larger than the store's rows"))]
    LargeItem { item: String },
    #[snafu(display("the batch has more items than fit into a row of the store"))]
    LargeHead,
    #[snafu(display("item `{item}`: no request may be sent to the path `{path}`"))]
    Path { item: String, path: String },
    #[snafu(display("item `{item}` stands in the batch twice"))]
    Repeated { item: String },
    #[snafu(display("the batch is not understood: {source}"))]
    Syntax { source: serde_json::Error },
}

impl SubmissionError {
    /// Whether the batch could be accepted if it were smaller.
    pub fn is_too_large(&self) -> bool {
        matches!(self, Self::LargeHead | Self::LargeItem { .. })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireBatch<'a> {
    #[serde(default)]
    group_target: u64,
    #[serde(borrow, deserialize_with = "item_texts")]
    items: Vec<&'a RawValue>,
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

/// The longest text of an item, in bytes: more doesn't fit into a row of the store, and headers
/// take many times the bytes of their text in memory.
const MAX_ITEM_TEXT: usize = 128 * 1024;

/// A submitted batch, whose items are decoded one at a time.
pub struct SubmissionText<'a> {
    /// The batch without its items.
    pub about: Submission,
    items: Vec<&'a RawValue>,
}

/// Decodes a batch with the stored name `id` that was sent to `host` and `path`, except for its
/// items. Its priority and workspace are left for the caller to set.
///
/// # Errors
///
/// [`SubmissionError`] when the body is invalid.
pub fn read_submission<'a>(
    id: &str,
    host: &str,
    path: &str,
    body: &'a [u8],
) -> Result<SubmissionText<'a>, SubmissionError> {
    let wire: WireBatch<'a> = serde_json::from_slice(body).context(SyntaxSnafu)?;
    let most = MAX_ITEMS;
    ensure!((1..=most).contains(&wire.items.len()), CountSnafu { most });
    let about = Submission {
        host: host.to_owned(),
        id: id.to_owned(),
        least_version: wire.min_version,
        model: wire.model,
        // No batch has more groups than fit into 16 bits: a larger target means all of them.
        needed: u16::try_from(wire.group_target).unwrap_or(0),
        path: path.to_owned(),
        priority: None,
        step: wire.step,
        workspace: None,
    };
    Ok(SubmissionText {
        about,
        items: wire.items,
    })
}

impl SubmissionText<'_> {
    /// The number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Decodes the item at this position.
    ///
    /// # Errors
    ///
    /// [`SubmissionError`] when it is invalid or too large.
    pub fn item(&self, position: usize) -> Result<Item, SubmissionError> {
        let text = self.items[position].get();
        let name = || format!("at position {position}");
        ensure!(text.len() <= MAX_ITEM_TEXT, LargeItemSnafu { item: name() });
        item(serde_json::from_str(text).context(SyntaxSnafu)?)
    }

    /// Builds the head of the batch, accepted at `accepted` by the store's clock, from all
    /// items.
    ///
    /// # Errors
    ///
    /// [`SubmissionError`] when an item is invalid, or the batch doesn't fit the store.
    pub fn head(&self, accepted: Millis) -> Result<Head, SubmissionError> {
        let mut head = HeadBuilder::new(&self.about, accepted);
        let mut seen = HashSet::new();
        for position in 0..self.len() {
            let item = self.item(position)?;
            ensure!(head.fits_row(&item), LargeItemSnafu { item: item.id });
            ensure!(head.push(&item), LargeHeadSnafu);
            let repeated = seen.contains(&item.id);
            ensure!(!repeated, RepeatedSnafu { item: item.id });
            seen.insert(item.id);
        }
        head.finish().context(LargeHeadSnafu)
    }
}

/// Reads the texts of at most [`MAX_ITEMS`] items, and one more.
fn item_texts<'de, D: Deserializer<'de>>(decoder: D) -> Result<Vec<&'de RawValue>, D::Error> {
    struct Texts;

    impl<'de> Visitor<'de> for Texts {
        type Value = Vec<&'de RawValue>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("a list of items")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
            let mut texts = Vec::new();
            while let Some(text) = items.next_element()? {
                if texts.len() > MAX_ITEMS {
                    return Err(A::Error::custom(format!("more than {MAX_ITEMS} items")));
                }
                texts.push(text);
            }
            Ok(texts)
        }
    }

    decoder.deserialize_seq(Texts)
}

fn item(wire: WireItem) -> Result<Item, SubmissionError> {
    let item = &wire.id;
    let scorer_path = wire.scorer.iter().map(|scorer| &scorer.path);
    for path in scorer_path.chain([&wire.path]) {
        ensure!(is_client_path(path), PathSnafu { item, path });
    }
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
