//! A batch as this runner sees it.

use crate::{
    base::Millis,
    batch::{Claim, Head, Item, Log, Partial, Sample},
    policy::{liveness::Sign, model_share::Asked, step_order::Turn}, //
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc, //
};
use tokio::task::AbortHandle;

/// A claim as the store holds it.
#[derive(Clone, Debug)]
pub(super) struct HeldClaim {
    pub(super) claim: Claim,
    pub(super) revision: u64,
    /// When this runner saw it.
    pub(super) seen_at: Millis,
    /// When its holder wrote it.
    pub(super) write: Sign,
}

/// A bundle that this runner has taken.
#[derive(Debug)]
pub(super) enum BundleState {
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
    pub(super) demand: Asked,
    pub(super) chunks: HashMap<u16, Arc<Vec<Item>>>,
    pub(super) claims: BTreeMap<u16, HeldClaim>,
    pub(super) fetching_chunks: Vec<u16>,
    pub(super) head: Arc<Head>,
    pub(super) log: Log,
    pub(super) log_revision: u64,
    /// What earlier runs have left of items, by index.
    pub(super) partials: HashMap<u16, Partial>,
    pub(super) own_bundles: BTreeMap<u16, BundleState>,
    /// Each bundle's place in the order in which bundles should begin.
    start_order: Vec<u16>,
    /// Bundles that this runner took and that a runner had before.
    pub(super) reclaimed: BTreeSet<u16>,
    /// Results that are not listed yet.
    pub(super) results: Vec<(u16, Sample)>,
    pub(super) running: HashMap<u16, AbortHandle>,
    pub(super) seen_at: Millis,
    /// How its waiting bundles begin, as this runner last worked it out.
    pub(super) mode: Turn,
}

impl OpenBatch {
    /// A batch that was just seen.
    pub(super) fn new(head: Head, now: Millis) -> Self {
        let mut start_order = vec![0; head.bundles.len()];
        for (rank, bundle) in head.order().into_iter().enumerate() {
            start_order[usize::from(bundle)] = rank as u16;
        }
        Self {
            appending: false,
            demand: Asked {
                items: head.items.len(),
                step: head.step,
                tokens: head.tokens(),
            },
            chunks: HashMap::new(),
            claims: BTreeMap::new(),
            fetching_chunks: Vec::new(),
            head: Arc::new(head),
            log: Log::default(),
            log_revision: 0,
            partials: HashMap::new(),
            own_bundles: BTreeMap::new(),
            start_order,
            reclaimed: BTreeSet::new(),
            results: Vec::new(),
            running: HashMap::new(),
            seen_at: now,
            mode: Turn::Whole,
        }
    }

    /// Whether nothing more has to be listed.
    pub(super) fn is_over(&self) -> bool {
        self.log.ended || self.log.listed.len() >= self.head.items.len()
    }

    /// The items of `bundle` that have no result yet, here or in the store.
    pub(super) fn unfinished(&self, bundle: u16) -> Vec<u16> {
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
        self.start_order
            .get(usize::from(bundle))
            .copied()
            .unwrap_or(bundle)
    }

    /// Groups that are claimed and whose items are not all here.
    pub(super) fn fetching_bundles(&self) -> Vec<u16> {
        let fetching = self
            .own_bundles
            .iter()
            .filter(|(_, state)| matches!(state, BundleState::Fetching));
        fetching.map(|(bundle, _)| *bundle).collect()
    }

    /// Items of bundles that this runner has taken and that have no result yet.
    pub(super) fn load(&self) -> usize {
        let bundles = self.own_bundles.keys();
        bundles.map(|bundle| self.unfinished(*bundle).len()).sum()
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
            .own_bundles
            .keys()
            .filter(|bundle| self.unfinished(**bundle).is_empty())
            .copied()
            .collect();
        for bundle in done {
            self.own_bundles.remove(&bundle);
        }
    }

    /// Ends all that this runner does for the batch.
    pub(super) fn stop(&mut self) {
        self.running.drain().for_each(|(_, run)| run.abort());
        self.own_bundles.clear();
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
            let held = HeldClaim {
                write: self.last_write(bundle, &claim, revision, now),
                claim,
                revision,
                seen_at: now,
            };
            self.claims.insert(bundle, held);
        }
    }

    /// When the holder of `claim` wrote it. A second runner that joins writes the row
    /// as well, which is no sign of life of its holder.
    fn last_write(&self, bundle: u16, claim: &Claim, revision: u64, now: Millis) -> Sign {
        let token = claim.token;
        if claim.second.is_none() {
            return Sign {
                at: now,
                revision,
                token,
            };
        }
        let same = self.is_claimed_by(bundle, &claim.holder, token);
        let before = self.claims.get(&bundle).filter(|_| same);
        let unknown = Sign {
            at: now,
            revision: 0,
            token,
        };
        before.map_or(unknown, |held| held.write)
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
        self.own_bundles.retain(|bundle, state| {
            let waits = !matches!(state, BundleState::Running);
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
