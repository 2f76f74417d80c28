//! A bounded prefix cache of prompt blocks.

use redwingpond::base::stable_hash;
use serde::Serialize;
use std::collections::{
    HashMap,
    VecDeque, //
};

/// The size of a block of prompt text.
const BLOCK_BYTES: usize = 64;

/// The number of events kept for `GET /v1/events`.
const MAX_EVENTS: usize = 4_096;

/// A block added to the cache or evicted from it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CacheEvent {
    /// False for an eviction.
    pub added: bool,
    /// The time of the change in milliseconds.
    pub at: u64,
    /// The hash of the block.
    pub block: u64,
    pub sequence: u64,
}

/// The cached blocks, each known by a hash over the text up to its end. The least
/// recently used block is evicted first.
#[derive(Debug)]
pub struct Cache {
    /// The value of `uses` when each block was used last.
    blocks: HashMap<u64, u64>,
    /// In blocks.
    capacity: usize,
    pub events: VecDeque<CacheEvent>,
    pub hits: u64,
    pub misses: u64,
    /// The number of the last event.
    sequence: u64,
    /// Counts the uses of all blocks.
    uses: u64,
}

impl Cache {
    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            blocks: HashMap::new(),
            capacity,
            events: VecDeque::new(),
            hits: 0,
            misses: 0,
            sequence: 0,
            uses: 0,
        }
    }

    /// The hashes of a text's blocks; each also covers the blocks before it.
    pub fn hashes(text: &str) -> Vec<u64> {
        let mut before = 0_u64;
        text.as_bytes()
            .chunks(BLOCK_BYTES)
            .map(|block| {
                before = stable_hash(&[&before.to_le_bytes(), block]);
                before
            })
            .collect()
    }

    /// How many of `hashes` are cached, counted up to the first that is not.
    pub fn cached_prefix(&self, hashes: &[u64]) -> usize {
        let cached = hashes.iter().take_while(|h| self.blocks.contains_key(h));
        cached.count()
    }

    /// Adds blocks, or marks them as used; returns how many come after the prefix
    /// that was already cached.
    pub fn insert(&mut self, now: u64, hashes: &[u64]) -> usize {
        let cached = self.cached_prefix(hashes);
        self.hits += cached as u64;
        self.misses += (hashes.len() - cached) as u64;
        for hash in hashes {
            self.uses += 1;
            if self.blocks.insert(*hash, self.uses).is_none() {
                self.push_event(now, *hash, true);
            }
        }
        self.evict(now);
        hashes.len() - cached
    }

    /// Removes the least recently used blocks above the capacity.
    fn evict(&mut self, now: u64) {
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some(oldest) = oldest.map(|(hash, _)| *hash) else {
                return;
            };
            self.blocks.remove(&oldest);
            self.push_event(now, oldest, false);
        }
    }

    fn push_event(&mut self, at: u64, block: u64, added: bool) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push_back(CacheEvent {
            added,
            at,
            block,
            sequence,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
