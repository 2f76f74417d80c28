//! A stand-in engine's state: models, sequences and prefix cache.

use super::{
    Faults,
    Tuning,
    cache::Cache, //
};
use crate::truth;
use redwingpond::{
    base::{Fence, WeightVersion},
    wire::{EngineState, FinishReason, ModelState}, //
};
use std::collections::{
    BTreeMap,
    HashSet,
    VecDeque, //
};
use tokio::sync::mpsc;

/// An item of a sequence's stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    Finished(FinishReason),
    Token(String),
}

/// One generation, waiting or in the batch.
pub(super) struct Sequence {
    /// The number of tokens in the whole generation.
    pub(super) length: u32,
    pub(super) max_tokens: u32,
    pub(super) model: String,
    /// The index of the next token.
    pub(super) next: u32,
    pub(super) out: mpsc::Sender<StreamItem>,
    /// The smallest number enters the batch first.
    pub(super) priority: u8,
    pub(super) prompt: String,
    /// When the prefill of its prompt ends, in microseconds.
    pub(super) ready_at: u64,
    pub(super) seed: u64,
    /// Set by `Faults::mute`: no more tokens are sent, and the stream stays open.
    pub(super) muted: bool,
}

/// A model that is loaded or being loaded.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Model {
    pub(super) loading: bool,
    /// Loads begun since the boot.
    pub(super) loads: u64,
    /// The version that generates tokens; `None` before the first load has ended, and for the
    /// mixed weights that a failed load leaves.
    pub(super) version: Option<u64>,
}

/// The state of an engine; a crash replaces all of it but `seen`.
pub(super) struct State {
    /// The time of the boot in milliseconds, which tells boots apart.
    pub(super) boot: u64,
    pub(super) cache: Cache,
    pub(super) faults: Faults,
    /// The highest fence of any order.
    pub(super) fence: Fence,
    /// The latest load reports: time in milliseconds, running and waiting sequences.
    pub(super) load_reports: VecDeque<(u64, usize, usize)>,
    pub(super) models: BTreeMap<String, Model>,
    pub(super) tokens_produced: u64,
    /// The sequences in the batch.
    pub(super) running: Vec<Sequence>,
    /// The prompts and seeds of all requests, also from before a crash.
    pub(super) seen: HashSet<(String, u64)>,
    pub(super) waiting: Vec<Sequence>,
}

impl State {
    /// The state after a boot: only the model `base`, at version 0.
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

    /// The state as `GET /v1/state` reports it.
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

    /// Moves waiting sequences into the batch, the smallest priority number first,
    /// and in order of arrival within it.
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

    /// Generates one token for each sequence of the batch that isn't blocked.
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
    /// Sends the next token, and after the last one the finish reason. Returns false
    /// when the sequence leaves the batch: it has ended or its stream was closed.
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
            true => FinishReason::Stop,
            false => FinishReason::Length,
        };
        self.out.try_send(StreamItem::Finished(finish)).is_err() && !self.out.is_closed()
    }
}
