//! What is fixed of a batch once it is accepted.

use super::{
    Item,
    Submission, //
};
use crate::base::Millis;
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::HashMap;

/// Where an item is found, and what is needed to plan it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemRef {
    /// The row of [`super::BODIES`] that holds it.
    pub chunk: u16,
    /// The trainer's estimate of its output tokens; 0 when it gave none.
    pub expected: u32,
    pub id: String,
}

/// Items of one group that one runner takes together, by their index in the
/// batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bundle {
    /// The group's place in the submission.
    pub group: u16,
    pub items: Vec<u16>,
}

/// A batch without its items' bodies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// By the store's clock.
    pub accepted: Millis,
    pub bundles: Vec<Bundle>,
    pub host: String,
    pub items: Vec<ItemRef>,
    pub least_version: u64,
    pub model: String,
    /// The groups that its trainer waits for; 0 for all.
    pub needed: u16,
    pub path: String,
    /// How urgent its items are; 0 is the most urgent.
    pub priority: Option<u32>,
    pub step: u64,
    /// The workspace that it belongs to; a key that is taken away changes nothing.
    pub workspace: Option<String>,
}

/// The most bytes of items in one row: the store takes 64 KiB, and the encoding
/// of a chunk adds a little to its items.
const MAX_CHUNK_BYTES: usize = 40 * 1024;

impl Head {
    /// The head of `submission`, and its items dealt into chunks in their order.
    pub fn of(submission: &Submission, accepted: Millis) -> (Self, Vec<Vec<Item>>) {
        let mut chunks: Vec<Vec<Item>> = Vec::new();
        let mut remaining_bytes = 0;
        let mut items = Vec::new();
        for item in &submission.items {
            let size = estimated_size(item);
            if size > remaining_bytes || chunks.is_empty() {
                chunks.push(Vec::new());
                remaining_bytes = MAX_CHUNK_BYTES;
            }
            remaining_bytes = remaining_bytes.saturating_sub(size);
            items.push(ItemRef {
                chunk: (chunks.len() - 1) as u16,
                expected: item.expected,
                id: item.id.clone(),
            });
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(item.clone());
            }
        }

        let head = Self {
            accepted,
            bundles: bundles_of(&submission.items),
            host: submission.host.clone(),
            items,
            least_version: submission.least_version,
            model: submission.model.clone(),
            needed: submission.needed,
            path: submission.path.clone(),
            priority: submission.priority,
            step: submission.step,
            workspace: submission.workspace.clone(),
        };
        (head, chunks)
    }

    /// The bundles' numbers, those first whose longest item is expected to be
    /// the longest. A group counts when its last item is there, so the long ones
    /// have to begin first.
    pub fn bundle_order(&self) -> Vec<u16> {
        let longest = |bundle: &Bundle| {
            let items = bundle.items.iter();
            let expected = items.map(|index| self.items[usize::from(*index)].expected);
            expected.max().unwrap_or(0)
        };
        let mut order: Vec<u16> = (0..self.bundles.len() as u16).collect();
        order.sort_by_key(|bundle| std::cmp::Reverse(longest(&self.bundles[usize::from(*bundle)])));
        order
    }

    /// Whether more groups than its trainer waits for stand before that of `bundle`.
    /// The trainer takes any groups, but those that were left over from an earlier
    /// step come first and are waited for.
    pub fn is_surplus(&self, bundle: &Bundle) -> bool {
        self.needed > 0 && bundle.group >= self.needed
    }

    /// The output tokens that its trainer expects; 0 when it gave no estimates.
    pub fn expected_tokens(&self) -> u64 {
        let expected = self.items.iter().map(|item| u64::from(item.expected));
        expected.sum()
    }

    /// The index of the item called `id`.
    pub fn index_of(&self, id: &str) -> Option<u16> {
        let found = self.items.iter().position(|item| item.id == id);
        found.map(|index| index as u16)
    }
}

/// The most items in a bundle. Groups of 16 on engines with 6 slots ran in
/// three turns on one engine while others were idle; reading a shared prompt
/// of 1,000 tokens once more takes 5 ms.
const MAX_BUNDLE_ITEMS: usize = 4;

/// The groups in the order of their first items, dealt into bundles of equal
/// size.
fn bundles_of(items: &[Item]) -> Vec<Bundle> {
    let groups = groups_of(items).into_iter().enumerate();
    let bundles = groups.flat_map(|(number, group)| {
        let count = group.len().div_ceil(MAX_BUNDLE_ITEMS).max(1);
        let size = group.len().div_ceil(count).max(1);
        let bundle = |items: &[u16]| Bundle {
            group: number as u16,
            items: items.to_vec(),
        };
        group.chunks(size).map(bundle).collect::<Vec<_>>()
    });
    bundles.collect()
}

fn groups_of(items: &[Item]) -> Vec<Vec<u16>> {
    let mut groups: Vec<Vec<u16>> = Vec::new();
    let mut places: HashMap<&str, usize> = HashMap::new();
    for (index, item) in items.iter().enumerate() {
        let place = *places.entry(&item.group).or_insert_with(|| {
            groups.push(Vec::new());
            groups.len() - 1
        });
        groups[place].push(index as u16);
    }
    groups
}

fn estimated_size(item: &Item) -> usize {
    let headers = item
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 4);
    let scorer = item.scorer.as_ref().map_or(0, |scorer| {
        scorer.body.len() + scorer.host.len() + scorer.id.len() + scorer.path.len() + 8
    });
    let texts = item.id.len() + item.path.len() + item.group.len();
    item.body.len() + texts + headers.sum::<usize>() + scorer + 32
}
