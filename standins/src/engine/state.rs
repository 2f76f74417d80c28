//! All that a stand-in engine holds.

use super::{
    Faults,
    Tuning,
    cache::Cache, //
};
use crate::truth;
use redwingpond::{
    base::{Fence, WeightVersion},
    wire::{EngineState, Finish, ModelState}, //
};
use std::collections::{
    BTreeMap,
    HashSet,
    VecDeque, //
};
use tokio::sync::mpsc;

/// What a sequence's stream carries.
#[derive(Debug)]
pub(super) enum StreamItem {
    Finished(Finish),
    Token(String),
}

/// One generation in the engine.
pub(super) struct Sequence {
    pub(super) length: u32,
    pub(super) max_tokens: u32,
    pub(super) model: String,
    /// The index of the next token.
    pub(super) next: u32,
    pub(super) out: mpsc::Sender<StreamItem>,
    pub(super) priority: u8,
    pub(super) prompt: String,
    /// When its prompt will have been taken in, in microseconds.
    pub(super) ready_at: u64,
    pub(super) seed: u64,
    pub(super) muted: bool,
}

/// A model in the engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Model {
    pub(super) loading: bool,
    pub(super) loads: u64,
    /// The version that makes tokens now; `None` for mixed weights.
    pub(super) version: Option<u64>,
}

/// An engine from one boot to the next.
pub(super) struct State {
    pub(super) boot: u64,
    pub(super) cache: Cache,
    pub(super) faults: Faults,
    pub(super) fence: Fence,
    /// Load reports of late: time, running, waiting.
    pub(super) load_reports: VecDeque<(u64, usize, usize)>,
    pub(super) models: BTreeMap<String, Model>,
    pub(super) tokens_produced: u64,
    pub(super) running: Vec<Sequence>,
    /// The prompts and seeds that were ever asked for.
    pub(super) seen: HashSet<(String, u64)>,
    pub(super) waiting: Vec<Sequence>,
}

impl State {
    /// An engine just booted, which holds nothing but `base` at version 0.
    pub(super) fn new(tuning: &Tuning, boot: u64) -> Self {
        let base = Model {
            loading: false,
            loads: 1,
            version: Some(0),
        };
        Self {
            boot,
            cache: Cache::new(tuning.cache_blocks),
            faults: Faults::default(),
            fence: 0,
            load_reports: VecDeque::new(),
            models: BTreeMap::from([("base".to_owned(), base)]),
            tokens_produced: 0,
            running: Vec::new(),
            seen: HashSet::new(),
            waiting: Vec::new(),
        }
    }

    /// The state as the engine tells it.
    pub(super) fn wire_state(&self, tuning: &Tuning) -> EngineState {
        let models = self.models.iter().map(|(name, model)| {
            let version = model.version.filter(|_| !model.loading);
            let state = ModelState {
                loads: model.loads,
                version: version.map(WeightVersion),
            };
            (name.clone(), state)
        });
        EngineState {
            boot: self.boot,
            fence: tuning.checks_fence.then_some(self.fence),
            models: models.collect(),
        }
    }

    /// Moves waiting sequences into the batch, the most urgent first.
    pub(super) fn admit(&mut self, max_batch: usize) {
        while self.running.len() < max_batch {
            let first = self.waiting.iter().enumerate();
            let Some((at, _)) = first.min_by_key(|(at, one)| (one.priority, *at)) else {
                return;
            };
            let sequence = self.waiting.remove(at);
            self.running.push(sequence);
        }
    }

    /// Makes one token for each sequence of the batch that can go on.
    pub(super) fn decode_step(&mut self, now_us: u64) {
        let models = &self.models;
        let mut tokens_produced = 0;
        self.running.retain_mut(|sequence| {
            if sequence.out.is_closed() {
                return false;
            }
            let model = models.get(&sequence.model).copied().unwrap_or_default();
            if sequence.muted || model.loading || sequence.ready_at > now_us {
                return true;
            }
            let unfinished = sequence.produce_token(model.version.unwrap_or(truth::MIXED_WEIGHTS));
            tokens_produced += 1;
            unfinished
        });
        self.tokens_produced += tokens_produced;
    }
}

impl Sequence {
    /// Makes the next token; false when it was the last or nobody listens.
    fn produce_token(&mut self, version: u64) -> bool {
        if self.next < self.length {
            let text = truth::token(&self.prompt, self.seed, self.next, version);
            match self.out.try_send(StreamItem::Token(text)) {
                Ok(()) => self.next += 1,
                Err(mpsc::error::TrySendError::Full(_)) => return true,
                Err(mpsc::error::TrySendError::Closed(_)) => return false,
            }
        }
        if self.next < self.length {
            return true;
        }
        let finish = match self.length < self.max_tokens {
            true => Finish::Stop,
            false => Finish::Length,
        };
        self.out.try_send(StreamItem::Finished(finish)).is_err() && !self.out.is_closed()
    }
}
