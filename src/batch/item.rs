//! Batches and their items as trainers submit them.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// The request that has an item's generated text scored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scorer {
    pub body: Bytes,
    pub host: String,
    /// The id of the request.
    pub id: String,
    pub path: String,
}

/// One generation request of a batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    pub body: Bytes,
    /// The trainer's estimate of the output tokens; 0 when there is none.
    pub expected: u32,
    /// The name of the item's group; items of one group share their prompt.
    pub group: String,
    /// The trainer's headers for the request to the engine.
    pub headers: Vec<(String, String)>,
    /// Unique within the batch; also the id of the request to the engine.
    pub id: String,
    /// The path of the request to the engine.
    pub path: String,
    /// `None` for an item whose text is not scored.
    pub scorer: Option<Scorer>,
}

/// What an allocation takes beside its content, in bytes.
pub(super) const ALLOCATION: usize = 16;

impl Item {
    /// The memory that it takes, in bytes.
    pub fn memory(&self) -> usize {
        let text = |text: &str| text.len() + ALLOCATION;
        let headers = self.headers.iter();
        let headers =
            headers.map(|(name, value)| size_of::<(String, String)>() + text(name) + text(value));
        let scorer = self.scorer.as_ref().map_or(0, |scorer| {
            text(&scorer.host) + text(&scorer.id) + text(&scorer.path) + scorer.body.len()
        });
        let texts = text(&self.group) + text(&self.id) + text(&self.path);
        size_of::<Self>() + texts + headers.sum::<usize>() + scorer + self.body.len()
    }
}

/// A batch as submitted by a trainer, without its items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// The host that the submission was addressed to.
    pub host: String,
    /// The name under which the batch is stored; see [`super::stored_name`].
    pub id: String,
    /// The oldest weight version that may generate the items' tokens.
    pub least_version: u64,
    pub model: String,
    /// How many groups the trainer waits for; 0 for all.
    pub needed: u16,
    /// The path that the submission was addressed to.
    pub path: String,
    /// How urgent the items are; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The trainer's step that the batch is for.
    pub step: u64,
    /// The workspace that owns the batch.
    pub workspace: Option<String>,
}
