//! A batch as this runner sees it.

use crate::{
    base::Millis,
    batch::{Claim, Head, Item, Log, Partial, Sample},
    policy::{liveness::ClaimWrite, model_share::BatchDemand, step_order::StepMode}, //
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc, //
};
use tokio::task::AbortHandle;

/// A claim as the store holds it.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) claim: Claim,
    pub(super) revision: u64,
    /// When this runner saw it.
    pub(super) seen: Millis,
    /// When its holder wrote it.
    pub(super) sign: ClaimWrite,
}

/// A bundle that this runner has taken.
#[derive(Debug)]
pub(super) enum Mine {
    /// The claim is on its way to the store.
    Claiming,
    /// Its items are being read.
    Fetching,
    /// What earlier runs have left of it is being read.
    Resuming,
    Running,
}

/// A batch and what this runner does for it.
pub(super) struct OpenBatch {
    /// Whether results are on their way to the store.
    pub(super) appending: bool,
    /// What it asks for, as all runners weigh it.
    pub(super) asked: BatchDemand,
    pub(super) chunks: HashMap<u16, Arc<Vec<Item>>>,
    pub(super) claims: BTreeMap<u16, Held>,
    pub(super) fetching: Vec<u16>,
    pub(super) head: Arc<Head>,
    pub(super) log: Log,
    pub(super) log_revision: u64,
    /// What earlier runs have left of items, by index.
    pub(super) partials: HashMap<u16, Partial>,
    pub(super) mine: BTreeMap<u16, Mine>,
    /// Each bundle's place in the order in which bundles should begin.
    places: Vec<u16>,
    /// Bundles that this runner took and that a runner had before.
    pub(super) reclaimed: BTreeSet<u16>,
    /// Results that are not listed yet.
    pub(super) results: Vec<(u16, Sample)>,
    pub(super) running: HashMap<u16, AbortHandle>,
    pub(super) seen: Millis,
    /// How its waiting bundles begin, as this runner last worked it out.
    pub(super) turn: StepMode,
}

impl OpenBatch {
    /// A batch that was just seen.
    pub(super) fn new(head: Head, now: Millis) -> Self {
        let mut places = vec![0; head.bundles.len()];
        for (place, bundle) in head.order().into_iter().enumerate() {
            places[usize::from(bundle)] = place as u16;
        }
        Self {
            appending: false,
            asked: BatchDemand {
                items: head.items.len(),
                step: head.step,
                tokens: head.tokens(),
            },
            chunks: HashMap::new(),
            claims: BTreeMap::new(),
            fetching: Vec::new(),
            head: Arc::new(head),
            log: Log::default(),
            log_revision: 0,
            partials: HashMap::new(),
            mine: BTreeMap::new(),
            places,
            reclaimed: BTreeSet::new(),
            results: Vec::new(),
            running: HashMap::new(),
            seen: now,
            turn: StepMode::Whole,
        }
    }

    /// Whether nothing more has to be listed.
    pub(super) fn is_over(&self) -> bool {
        self.log.ended || self.log.listed.len() >= self.head.items.len()
    }

    /// The items of `bundle` that have no result yet, here or in the store.
    pub(super) fn left(&self, bundle: u16) -> Vec<u16> {
        let Some(bundle) = self.head.bundles.get(usize::from(bundle)) else {
            return Vec::new();
        };
        let open = |index: &&u16| !self.log.has(**index) && !self.has_result(**index);
        bundle.items.iter().filter(open).copied().collect()
    }

    fn has_result(&self, index: u16) -> bool {
        self.results.iter().any(|(done, _)| *done == index)
    }

    /// The place of `bundle` in the order in which bundles should begin.
    pub(super) fn order_of(&self, bundle: u16) -> u16 {
        self.places
            .get(usize::from(bundle))
            .copied()
            .unwrap_or(bundle)
    }

    /// Groups that are claimed and whose items are not all here.
    pub(super) fn fetching_bundles(&self) -> Vec<u16> {
        let fetching = self
            .mine
            .iter()
            .filter(|(_, state)| matches!(state, Mine::Fetching));
        fetching.map(|(bundle, _)| *bundle).collect()
    }

    /// Items of bundles that this runner has taken and that have no result yet.
    pub(super) fn load(&self) -> usize {
        let bundles = self.mine.keys();
        bundles.map(|bundle| self.left(*bundle).len()).sum()
    }

    /// Takes a newer log; stops the runs of items that others have listed.
    pub(super) fn set_log(&mut self, log: Log, revision: u64) {
        if revision <= self.log_revision {
            return;
        }
        self.log = log;
        self.log_revision = revision;
        let log = &self.log;
        self.results.retain(|(index, _)| !log.has(*index));
        let over = self.is_over();
        self.running.retain(|index, run| {
            let needed = !over && !self.log.has(*index);
            if !needed {
                run.abort();
            }
            needed
        });
        if over {
            self.stop();
        }
        let done: Vec<u16> = self
            .mine
            .keys()
            .filter(|bundle| self.left(**bundle).is_empty())
            .copied()
            .collect();
        for bundle in done {
            self.mine.remove(&bundle);
        }
    }

    /// Ends all that this runner does for the batch.
    pub(super) fn stop(&mut self) {
        self.running.drain().for_each(|(_, run)| run.abort());
        self.mine.clear();
        self.results.clear();
        self.chunks.clear();
        self.partials.clear();
    }

    /// Takes a newer claim; a bundle that another runner has taken over is
    /// still run here, as the first whole result wins.
    pub(super) fn set_claim(&mut self, bundle: u16, claim: Claim, revision: u64, now: Millis) {
        let newer = self
            .claims
            .get(&bundle)
            .is_none_or(|held| held.revision < revision);
        if newer {
            let held = Held {
                sign: self.sign_of(bundle, &claim, revision, now),
                claim,
                revision,
                seen: now,
            };
            self.claims.insert(bundle, held);
        }
    }

    /// When the holder of `claim` wrote it. A second runner that joins writes the row
    /// as well, which is no sign of life of its holder.
    fn sign_of(&self, bundle: u16, claim: &Claim, revision: u64, now: Millis) -> ClaimWrite {
        let token = claim.token;
        if claim.second.is_none() {
            return ClaimWrite {
                at: now,
                revision,
                token,
            };
        }
        let same = self.is_claimed_by(bundle, &claim.holder, token);
        let before = self.claims.get(&bundle).filter(|_| same);
        let unknown = ClaimWrite {
            at: now,
            revision: 0,
            token,
        };
        before.map_or(unknown, |held| held.sign)
    }

    /// Whether the runner `instance`, in its life `token`, is known to hold `bundle`.
    pub(super) fn is_claimed_by(&self, bundle: u16, instance: &str, token: u64) -> bool {
        let held = self.claims.get(&bundle);
        held.is_some_and(|held| held.claim.holder == instance && held.claim.token == token)
    }

    /// Gives up the bundles of which nothing runs and something is left; returns them.
    pub(super) fn release_idle(&mut self) -> Vec<u16> {
        let mut released = Vec::new();
        let running = &self.running;
        let head = &self.head;
        let log = &self.log;
        let results = &self.results;
        let is_made = |index: &u16| log.has(*index) || results.iter().any(|(of, _)| of == index);
        self.mine.retain(|bundle, state| {
            let waits = !matches!(state, Mine::Running);
            let items = head.bundles.get(usize::from(*bundle));
            let items = items.map_or(&[][..], |bundle| &bundle.items);
            let runs = items.iter().any(|index| running.contains_key(index));
            let open = items.iter().any(|index| !is_made(index));
            let kept = waits || runs || !open;
            if !kept {
                released.push(*bundle);
            }
            kept
        });
        released
    }
}
