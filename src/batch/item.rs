//! Items as they are submitted.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// The request that judges an item's text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scorer {
    pub body: Bytes,
    pub host: String,
    pub id: String,
    pub path: String,
}

/// One generation that a trainer wants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    pub body: Bytes,
    /// The trainer's estimate of its output tokens; 0 when it gave none.
    pub expected: u32,
    /// Items of one group share their prompt.
    pub group: String,
    pub headers: Vec<(String, String)>,
    pub id: String,
    pub path: String,
    pub scorer: Option<Scorer>,
}

/// A batch as a trainer hands it in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    pub host: String,
    pub id: String,
    pub items: Vec<Item>,
    /// The oldest weight version that may generate its tokens.
    pub least_version: u64,
    pub model: String,
    /// The groups that its trainer waits for; 0 for all.
    pub needed: u16,
    /// The path it was submitted under.
    pub path: String,
    /// How urgent its items are; 0 is the most urgent.
    pub priority: Option<u32>,
    pub step: u64,
    /// The workspace that it belongs to.
    pub workspace: Option<String>,
}
