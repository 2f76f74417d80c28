//! A trainer's batches and what it reads of them.

use crate::client::FullResponse;
use base64::{
    Engine as _,
    prelude::BASE64_STANDARD, //
};

/// A batch to be submitted: groups of items, each with its number of events.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The events of each item, by group.
    pub groups: Vec<Vec<u64>>,
    pub id: String,
    pub least_version: u64,
    pub model: String,
    /// Whether each item has a scorer.
    pub scored: bool,
    pub step: u64,
}

impl Batch {
    /// A batch of `groups` groups of `size` items with `events` events each.
    pub fn new(id: &str, groups: usize, size: usize, events: u64) -> Self {
        Self {
            groups: vec![vec![events; size]; groups],
            id: id.to_owned(),
            least_version: 1,
            model: "m0".to_owned(),
            scored: true,
            step: 0,
        }
    }

    /// The ids of its items.
    pub fn items(&self) -> Vec<String> {
        let sizes = self.groups.iter().map(Vec::len);
        let numbered = sizes.enumerate();
        numbered
            .flat_map(|(group, size)| (0..size).map(move |item| (group, item)))
            .map(|(group, item)| self.item(group, item))
            .collect()
    }

    /// The id of an item.
    pub fn item(&self, group: usize, item: usize) -> String {
        format!("{}x{group}x{item}", self.id)
    }

    /// The whole text that its engine makes of an item.
    pub fn text(&self, item: &str) -> String {
        let mut numbers = item.rsplit('x').map(|part| part.parse().unwrap_or(0));
        let place: usize = numbers.next().unwrap_or(0);
        let group: usize = numbers.next().unwrap_or(0);
        let events = self.groups[group][place];
        let lines: Vec<String> = (0..events).map(|event| format!("{item}-{event}")).collect();
        lines.join("\n")
    }

    /// The batch as it is sent.
    pub fn body(&self) -> String {
        let mut items = Vec::new();
        for (group, events) in self.groups.iter().enumerate() {
            for (place, events) in events.iter().enumerate() {
                let id = self.item(group, place);
                let mut item = serde_json::json!({
                    "id": id,
                    "path": format!("/roll/run/{place}"),
                    "headers": {"X-Model": self.model, "X-Token-Usage": "10,100"},
                    "body": BASE64_STANDARD.encode(events.to_string()),
                    "tokens": 110,
                    "group": format!("g{group}"),
                });
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

/// One result as a trainer reads it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    pub id: String,
    pub score: Option<String>,
    pub state: String,
    pub text: String,
    pub versions: Vec<u64>,
}

/// A page of results.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ScenePage {
    pub next: usize,
    pub results: Vec<Reply>,
    pub total: usize,
}

impl ScenePage {
    /// Reads a page from an answer.
    pub fn read(answer: &FullResponse) -> Self {
        let json = answer.json();
        let results = json["results"].as_array().cloned().unwrap_or_default();
        let number = |name: &str| json[name].as_u64().unwrap_or(0) as usize;
        Self {
            next: number("nextPageToken"),
            results: results.iter().map(reply).collect(),
            total: number("totalCount"),
        }
    }
}

fn reply(json: &serde_json::Value) -> Reply {
    let text = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
    let versions = json["versions"].as_array().cloned().unwrap_or_default();
    Reply {
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
