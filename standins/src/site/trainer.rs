//! Batches as a trainer submits them, and results as it reads them.

use crate::client::FullResponse;
use base64::{
    Engine as _,
    prelude::BASE64_STANDARD, //
};

/// A batch of groups of items. Each item's body tells the stand-in engine how many events to
/// send for it.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The number of events of each item, by group.
    pub groups: Vec<Vec<u64>>,
    /// Whether each item tells its expected length, 10 tokens for each event.
    pub hinted: bool,
    pub id: String,
    /// The prefix of the items' ids; groups may come again in a later batch.
    pub item_prefix: String,
    /// The lowest weight version that may generate the items' results.
    pub least_version: u64,
    pub model: String,
    /// The prefix of the path that the batch is submitted under, which selects its route.
    pub prefix: String,
    /// Whether each item has a scorer.
    pub scored: bool,
    /// The number of the training step.
    pub step: u64,
}

impl Batch {
    /// A scored batch of `groups` groups of `size` items with `events` events each.
    pub fn new(id: &str, groups: usize, size: usize, events: u64) -> Self {
        Self {
            groups: vec![vec![events; size]; groups],
            hinted: false,
            id: id.to_owned(),
            item_prefix: id.to_owned(),
            least_version: 1,
            model: "m0".to_owned(),
            prefix: "/roll/".to_owned(),
            scored: true,
            step: 0,
        }
    }

    /// The ids of all items, group by group.
    pub fn item_ids(&self) -> Vec<String> {
        let sizes = self.groups.iter().map(Vec::len);
        let numbered = sizes.enumerate();
        numbered
            .flat_map(|(group, size)| (0..size).map(move |item| (group, item)))
            .map(|(group, item)| self.item_id(group, item))
            .collect()
    }

    /// The id of the item at position `item` of a group.
    pub fn item_id(&self, group: usize, item: usize) -> String {
        format!("{}x{group}x{item}", self.item_prefix)
    }

    /// The complete text that an engine generates for the item with this id.
    pub fn expected_text(&self, item: &str) -> String {
        let mut numbers = item.rsplit('x').map(|part| part.parse().unwrap_or(0));
        let index: usize = numbers.next().unwrap_or(0);
        let group: usize = numbers.next().unwrap_or(0);
        let events = self.groups[group][index];
        let lines: Vec<String> = (0..events).map(|event| format!("{item}-{event}")).collect();
        lines.join("\n")
    }

    /// The JSON body of the batch's submission.
    pub fn body(&self) -> String {
        let mut items = Vec::new();
        for (group, events) in self.groups.iter().enumerate() {
            for (index, events) in events.iter().enumerate() {
                let id = self.item_id(group, index);
                let mut item = serde_json::json!({
                    "id": id,
                    "path": format!("/roll/run/{index}"),
                    "headers": {"X-Model": self.model, "X-Token-Usage": "10,100"},
                    "body": BASE64_STANDARD.encode(events.to_string()),
                    "tokens": 110,
                    "group": format!("g{group}"),
                });
                if self.hinted {
                    item["headers"]["X-Length-Hint"] = (events * 10).to_string().into();
                }
                if self.scored {
                    item["scorer"] = serde_json::json!({
                        "id": format!("score-{id}"),
                        "host": "site.example",
                        "path": "/score/judge",
                        "body": BASE64_STANDARD.encode("judge"),
                    });
                }
                items.push(item);
            }
        }
        serde_json::json!({
            "step": self.step,
            "model": self.model,
            "minVersion": self.least_version,
            "groupTarget": self.groups.len(),
            "items": items,
        })
        .to_string()
    }
}

/// The result of one item as a trainer reads it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ItemResult {
    pub id: String,
    pub score: Option<String>,
    /// `succeeded` or `terminated`.
    pub state: String,
    pub text: String,
    /// The weight versions that generated the text.
    pub versions: Vec<u64>,
}

/// A page of results.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResultPage {
    /// The position at which the next page begins.
    pub next: usize,
    pub results: Vec<ItemResult>,
    /// The number of items in the batch.
    pub total: usize,
}

impl ResultPage {
    /// Parses a page from an answer's JSON body.
    pub fn read(answer: &FullResponse) -> Self {
        let json = answer.json();
        let results = json["results"].as_array().cloned().unwrap_or_default();
        let number = |name: &str| json[name].as_u64().unwrap_or(0) as usize;
        Self {
            next: number("nextPageToken"),
            results: results.iter().map(item_result).collect(),
            total: number("totalCount"),
        }
    }
}

fn item_result(json: &serde_json::Value) -> ItemResult {
    let text = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
    let versions = json["versions"].as_array().cloned().unwrap_or_default();
    ItemResult {
        id: text("id"),
        score: json["score"].as_str().map(str::to_owned),
        state: text("state"),
        text: text("text"),
        versions: versions
            .iter()
            .filter_map(serde_json::Value::as_u64)
            .collect(),
    }
}
