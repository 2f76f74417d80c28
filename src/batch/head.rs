//! The part of a batch that never changes once the batch is accepted.

use super::{
    Item,
    Submission,
    encode,
    item::ALLOCATION, //
};
use crate::base::Millis;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
};
use std::collections::HashMap;

/// An item's location in the store, and what runners need to know to plan it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemRef {
    /// The number of the chunk (a row of [`super::BODIES`]) that contains the item.
    pub chunk: u16,
    /// The trainer's estimate of the item's output tokens; 0 when there is none.
    pub expected: u32,
    pub id: String,
}

/// Items of one group that one runner claims and runs together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bundle {
    /// The group's position in the submission.
    pub group: u16,
    /// Indices into the batch's items.
    pub items: Vec<u16>,
}

/// A batch without the content of its items.
///
/// # Invariants
///
/// The bundles of a decoded head have only indices of its items.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(remote = "Self")]
pub struct Head {
    /// When the batch was accepted, by the store's clock.
    pub accepted: Millis,
    pub bundles: Vec<Bundle>,
    /// The host that the submission was addressed to.
    pub host: String,
    pub items: Vec<ItemRef>,
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
    /// The workspace that owns the batch, also after the key used to submit it was
    /// revoked.
    pub workspace: Option<String>,
}

/// The largest `least_version` of a decoded head. No named version is as high, and what is
/// calculated with it stays within 64 bits.
const MAX_LEAST_VERSION: u64 = 1 << 53;

impl<'de> Deserialize<'de> for Head {
    fn deserialize<D: Deserializer<'de>>(decoder: D) -> Result<Self, D::Error> {
        // The derived function, which shadows the one of the trait.
        let mut head = Self::deserialize(decoder)?;
        let mut indices = head.bundles.iter().flat_map(|bundle| &bundle.items);
        if let Some(index) = indices.find(|index| usize::from(**index) >= head.items.len()) {
            let message = format!("a bundle has item {index} of {}", head.items.len());
            return Err(D::Error::custom(message));
        }
        head.least_version = head.least_version.min(MAX_LEAST_VERSION);
        Ok(head)
    }
}

impl Serialize for Head {
    fn serialize<S: Serializer>(&self, encoder: S) -> Result<S::Ok, S::Error> {
        Self::serialize(self, encoder)
    }
}

/// The maximum size of the items in one row: the store accepts values of 64 KiB, and
/// the encoding of a chunk adds a little.
const MAX_CHUNK_BYTES: usize = 40 * 1024;

/// The largest value of a row of the store, in bytes.
const MAX_ROW_BYTES: usize = 64 * 1024;

/// The largest item, in bytes: its row has a little more.
const MAX_ITEM_BYTES: usize = MAX_ROW_BYTES - 1024;

/// The least bytes of an [`ItemRef`] beside its id, and of its place in a bundle.
const LEAST_REF_BYTES: usize = 4;

impl Head {
    /// The head without its items and bundles.
    #[must_use]
    pub fn without_items(&self) -> Self {
        Self {
            accepted: self.accepted,
            bundles: Vec::new(),
            host: self.host.clone(),
            items: Vec::new(),
            least_version: self.least_version,
            model: self.model.clone(),
            needed: self.needed,
            path: self.path.clone(),
            priority: self.priority,
            step: self.step,
            workspace: self.workspace.clone(),
        }
    }

    /// The memory that it takes, in bytes.
    pub fn memory(&self) -> usize {
        let items = self.items.iter();
        let items = items.map(|item| size_of::<ItemRef>() + ALLOCATION + item.id.len());
        let bundles = self.bundles.iter();
        let bundles =
            bundles.map(|bundle| size_of::<Bundle>() + ALLOCATION + 2 * bundle.items.len());
        size_of::<Self>() + items.sum::<usize>() + bundles.sum::<usize>()
    }

    /// The bundles' indices in the order in which the bundles should start: those with
    /// the longest expected item first. A group is complete only when its last item is
    /// done, so long items have to start early.
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

    /// Whether the trainer can do without `bundle`, because its group is not among the
    /// first [`Head::needed`] ones. The trainer accepts any `needed` groups, but those left
    /// over from an earlier step, which must be finished, come first in its submission.
    pub fn is_surplus(&self, bundle: &Bundle) -> bool {
        self.needed > 0 && bundle.group >= self.needed
    }

    /// The trainer's estimate of the batch's output tokens; 0 without estimates.
    pub fn expected_tokens(&self) -> u64 {
        let expected = self.items.iter().map(|item| u64::from(item.expected));
        expected.sum()
    }

    /// The index of the item with this id.
    pub fn index_of(&self, id: &str) -> Option<u16> {
        let found = self.items.iter().position(|item| item.id == id);
        found.map(|index| index as u16)
    }
}

/// The maximum number of items in a bundle. Groups of 16 items ran as three rounds on
/// one engine with 6 slots while other engines were idle. Processing the group's shared
/// prompt once more costs little: 5 ms for 1,000 tokens.
const MAX_BUNDLE_ITEMS: usize = 4;

/// Splits each group into bundles of about equal size.
fn bundles_of(groups: Vec<Vec<u16>>) -> Vec<Bundle> {
    let groups = groups.into_iter().enumerate();
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

/// Builds a head from its items, in their order.
pub struct HeadBuilder {
    /// The least bytes of the items' encoding so far.
    encoded: usize,
    /// The item indices of each group; groups are in the order of their first items.
    groups: Vec<Vec<u16>>,
    head: Head,
    /// The position of each group, by its name.
    positions: HashMap<String, usize>,
    /// The bytes that are left in the last chunk.
    remaining: usize,
}

impl HeadBuilder {
    /// The head of `submission`, whose items are still to be added, accepted at `accepted`.
    pub fn new(submission: &Submission, accepted: Millis) -> Self {
        let head = Head {
            accepted,
            bundles: Vec::new(),
            host: submission.host.clone(),
            items: Vec::new(),
            least_version: submission.least_version,
            model: submission.model.clone(),
            needed: submission.needed,
            path: submission.path.clone(),
            priority: submission.priority,
            step: submission.step,
            workspace: submission.workspace.clone(),
        };
        Self {
            encoded: 0,
            groups: Vec::new(),
            head,
            positions: HashMap::new(),
            remaining: 0,
        }
    }

    /// Whether `item` fits into a row of the store.
    pub fn fits_row(&self, item: &Item) -> bool {
        estimated_size(item) <= MAX_ITEM_BYTES
    }

    /// Adds an item. Returns false if the head is too large for a row of the store with it.
    pub fn push(&mut self, item: &Item) -> bool {
        let size = estimated_size(item);
        let chunk = match self.head.items.last() {
            Some(last) if size <= self.remaining => last.chunk,
            last => {
                self.remaining = MAX_CHUNK_BYTES;
                last.map_or(0, |last| last.chunk + 1)
            }
        };
        self.remaining = self.remaining.saturating_sub(size);
        let index = self.head.items.len() as u16;
        let groups = &mut self.groups;
        let position = self.positions.get(&item.group).copied();
        let position = position.unwrap_or_else(|| {
            groups.push(Vec::new());
            self.positions.insert(item.group.clone(), groups.len() - 1);
            groups.len() - 1
        });
        groups[position].push(index);
        self.head.items.push(ItemRef {
            chunk,
            expected: item.expected,
            id: item.id.clone(),
        });
        self.encoded += item.id.len() + LEAST_REF_BYTES;
        self.encoded <= MAX_ROW_BYTES
    }

    /// The head; `None` if it is too large for a row of the store.
    pub fn finish(self) -> Option<Head> {
        let head = Head {
            bundles: bundles_of(self.groups),
            ..self.head
        };
        (encode(&head).len() <= MAX_ROW_BYTES).then_some(head)
    }
}

/// An estimate of an item's encoded size.
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
