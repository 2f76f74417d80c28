//! A batch in the store and this runner's work on it.

use super::{
    progress::Progress,
    run_handle::RunHandle,
    waiting_results::WaitingResults, //
};
use crate::{
    base::Millis,
    batch::{Claim, Head, Item, Log, Partial, Sample},
    policy::{liveness::ClaimWrite, model_share::BatchDemand, step_mode::StepMode}, //
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Weak}, //
};

/// A claim in the store.
#[derive(Clone, Debug)]
pub(super) struct HeldClaim {
    pub(super) claim: Claim,
    pub(super) revision: u64,
    /// When this runner saw this revision.
    pub(super) seen_at: Millis,
    /// The last time that its holder, rather than a second runner, wrote it.
    pub(super) write: ClaimWrite,
}

/// The state of a bundle that this runner has claimed or runs without a claim.
#[derive(Debug)]
pub(super) enum BundleState {
    /// The claim is being written.
    Claiming,
    /// Its items are being read.
    Fetching,
    /// The partial texts that earlier runs saved are being read.
    Resuming,
    /// The runs of its items have started.
    Running,
}

/// Items that were read together.
pub(super) struct Chunk {
    pub(super) items: Arc<Vec<Item>>,
    /// The memory that they take, in bytes.
    memory: usize,
}

impl Chunk {
    pub(super) fn new(items: Vec<Item>) -> Self {
        Self {
            memory: items.iter().map(Item::memory).sum(),
            items: Arc::new(items),
        }
    }
}

/// What the claims of a bundle and its place in the start order take at most, in bytes.
const BUNDLE_MEMORY: usize = 256;

/// What a batch takes beside its head, its bundles and its chunks, in bytes.
const BATCH_MEMORY: usize = 2 * 1024;

/// What a chunk takes about while it is being read, in bytes.
const READ_MEMORY: usize = 128 * 1024;

/// A batch that is in the store.
pub(super) struct OpenBatch {
    /// Whether an append of results is in flight.
    pub(super) appending: bool,
    /// The held bundles whose second run this runner found not worth it.
    pub(super) declined: BTreeSet<u16>,
    /// What the batch adds to its model's demand.
    pub(super) demand: BatchDemand,
    /// The items that were read, by chunk number.
    pub(super) chunks: HashMap<u16, Chunk>,
    /// The newest known claim on each bundle, by bundle index.
    pub(super) claims: BTreeMap<u16, HeldClaim>,
    /// The chunks that are being read.
    pub(super) fetching_chunks: Vec<u16>,
    /// The bundles whose long texts are being handed over.
    pub(super) handing: BTreeSet<u16>,
    pub(super) head: Arc<Head>,
    pub(super) log: Log,
    /// The store's revision of `log`; 0 before the log was seen.
    pub(super) log_revision: u64,
    /// Partial texts that earlier runs saved, by item index.
    pub(super) partials: HashMap<u16, Partial>,
    /// The progress of the item runs, by item index; only kept for handovers.
    pub(super) progress: HashMap<u16, Weak<Progress>>,
    /// The bundles that this runner has claimed or runs, by bundle index.
    pub(super) own_bundles: BTreeMap<u16, BundleState>,
    /// Each bundle's position in the order in which bundles should start.
    start_order: Vec<u16>,
    /// When this runner last released its claim on a bundle that it did not run, by bundle
    /// index.
    pub(super) releases: BTreeMap<u16, Millis>,
    /// Results that are not in the log yet.
    pub(super) results: WaitingResults,
    /// The item runs in progress, by item index.
    pub(super) running: HashMap<u16, RunHandle>,
    /// Runs that nobody needs any more, to be drained or cut.
    pub(super) stopped: Vec<RunHandle>,
    /// When this runner first saw the batch.
    pub(super) seen_at: Millis,
    /// How the batch's waiting bundles start, as last computed.
    pub(super) mode: StepMode,
}

impl OpenBatch {
    /// A batch that was just seen.
    pub(super) fn new(head: Head, now: Millis) -> Self {
        let mut start_order = vec![0; head.bundles.len()];
        for (rank, bundle) in head.bundle_order().into_iter().enumerate() {
            start_order[usize::from(bundle)] = rank as u16;
        }
        Self {
            appending: false,
            declined: BTreeSet::new(),
            demand: BatchDemand {
                items: head.items.len(),
                step: head.step,
                tokens: head.expected_tokens(),
            },
            chunks: HashMap::new(),
            claims: BTreeMap::new(),
            fetching_chunks: Vec::new(),
            handing: BTreeSet::new(),
            head: Arc::new(head),
            log: Log::default(),
            log_revision: 0,
            partials: HashMap::new(),
            progress: HashMap::new(),
            own_bundles: BTreeMap::new(),
            start_order,
            releases: BTreeMap::new(),
            results: WaitingResults::default(),
            running: HashMap::new(),
            stopped: Vec::new(),
            seen_at: now,
            mode: StepMode::Whole,
        }
    }

    /// The memory that the batch takes at most without its items, in bytes.
    pub(super) fn memory(&self) -> usize {
        Self::memory_of(&self.head)
    }

    /// The memory that a batch with this head takes at most without its items, in bytes.
    pub(super) fn memory_of(head: &Head) -> usize {
        head.memory() + head.bundles.len() * BUNDLE_MEMORY + BATCH_MEMORY
    }

    /// The memory that the batch's items take, also those that are being read, in bytes.
    pub(super) fn chunk_memory(&self) -> usize {
        let chunks = self.chunks.values().map(|chunk| chunk.memory);
        chunks.sum::<usize>() + self.fetching_chunks.len() * READ_MEMORY
    }

    /// Drops the items that no bundle of this runner waits for.
    pub(super) fn drop_chunks(&mut self) {
        let starting = self
            .own_bundles
            .iter()
            .filter(|(_, state)| !matches!(state, BundleState::Running));
        let items = starting.flat_map(|(bundle, _)| self.waiting(*bundle));
        let chunks = items.map(|index| self.head.items[usize::from(index)].chunk);
        let needed: BTreeSet<u16> = chunks.collect();
        self.chunks.retain(|chunk, _| needed.contains(chunk));
    }

    /// Whether no more results are needed.
    pub(super) fn is_over(&self) -> bool {
        self.log.ended || self.log.listed().len() >= self.head.items.len()
    }

    /// The items of `bundle` without a result in the log or in memory.
    pub(super) fn unfinished(&self, bundle: u16) -> Vec<u16> {
        let Some(bundle) = self.head.bundles.get(usize::from(bundle)) else {
            return Vec::new();
        };
        let open = |index: &&u16| !self.has_result(**index);
        bundle.items.iter().filter(open).copied().collect()
    }

    /// The unfinished items of `bundle` that this runner does not run.
    pub(super) fn waiting(&self, bundle: u16) -> Vec<u16> {
        let mut items = self.unfinished(bundle);
        items.retain(|index| !self.running.contains_key(index));
        items
    }

    /// Whether the items of `bundle` that this runner would run are in memory.
    pub(super) fn has_items(&self, bundle: u16) -> bool {
        let items = self.waiting(bundle);
        let mut chunks = items
            .iter()
            .map(|index| self.head.items[usize::from(*index)].chunk);
        chunks.all(|chunk| self.chunks.contains_key(&chunk))
    }

    /// Whether the item at `index` has a result, in the log or in memory.
    fn has_result(&self, index: u16) -> bool {
        self.log.contains(index) || self.results.contains(index)
    }

    /// Keeps the result of the item at `index` until it is listed, and stops the item's run.
    /// Returns false, and changes nothing, if the item has a result already or the batch is
    /// over.
    pub(super) fn add_result(&mut self, index: u16, sample: Sample) -> bool {
        if self.is_over() || self.log.contains(index) || !self.results.add(index, sample) {
            return false;
        }
        let run = self.running.remove_entry(&index);
        self.stop_runs(run.into_iter().collect());
        true
    }

    /// The position of `bundle` in the order in which bundles should start.
    pub(super) fn order_of(&self, bundle: u16) -> u16 {
        self.start_order
            .get(usize::from(bundle))
            .copied()
            .unwrap_or(bundle)
    }

    /// This runner's bundles that wait for their items.
    pub(super) fn fetching_bundles(&self) -> Vec<u16> {
        let fetching = self
            .own_bundles
            .iter()
            .filter(|(_, state)| matches!(state, BundleState::Fetching));
        fetching.map(|(bundle, _)| *bundle).collect()
    }

    /// This runner's bundles whose runs have started.
    pub(super) fn running_bundles(&self) -> Vec<u16> {
        let running = self
            .own_bundles
            .iter()
            .filter(|(_, state)| matches!(state, BundleState::Running));
        running.map(|(bundle, _)| *bundle).collect()
    }

    /// The number of unfinished items in this runner's bundles.
    pub(super) fn load(&self) -> usize {
        let bundles = self.own_bundles.keys();
        bundles.map(|bundle| self.unfinished(*bundle).len()).sum()
    }

    /// Applies a newer log; stops the runs of items whose results it lists.
    pub(super) fn set_log(&mut self, log: Log, revision: u64) {
        if revision <= self.log_revision {
            return;
        }
        self.log = log;
        self.log_revision = revision;
        self.results.remove_listed(&self.log);
        let over = self.is_over();
        let unneeded = |index: &u16, _: &mut RunHandle| over || self.log.contains(*index);
        let unneeded: Vec<_> = self.running.extract_if(unneeded).collect();
        self.stop_runs(unneeded);
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

    /// Stops all work on the batch and discards all but what its removal needs.
    pub(super) fn stop(&mut self) {
        let runs = self.running.drain().collect();
        self.stop_runs(runs);
        self.own_bundles.clear();
        self.results.clear();
        self.chunks.clear();
        self.partials.clear();
        self.claims.clear();
        self.releases.clear();
        self.progress.clear();
        self.start_order = Vec::new();
        self.head = Arc::new(self.head.without_items());
    }

    /// Stops these runs: cuts those that are never drained, and keeps the others in `stopped`
    /// until the work loop decides.
    fn stop_runs(&mut self, runs: Vec<(u16, RunHandle)>) {
        for (_, run) in runs {
            match run.may_drain() {
                true => self.stopped.push(run),
                false => run.cut(),
            }
        }
    }

    /// Applies a newer claim. A bundle that another runner has taken over still runs
    /// here: the first complete result wins.
    pub(super) fn set_claim(&mut self, bundle: u16, claim: Claim, revision: u64, now: Millis) {
        if self.is_over() {
            return;
        }
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

    /// The last write of the claim by its holder. A second runner writes the row as well
    /// when it joins, which does not show that the holder is alive.
    fn last_write(&self, bundle: u16, claim: &Claim, revision: u64, now: Millis) -> ClaimWrite {
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
        before.map_or(unknown, |held| held.write)
    }

    /// Whether `bundle` is held by the incarnation `token` of the runner `instance`.
    pub(super) fn is_claimed_by(&self, bundle: u16, instance: &str, token: u64) -> bool {
        let held = self.claims.get(&bundle);
        held.is_some_and(|held| held.claim.holder == instance && held.claim.token == token)
    }

    /// Removes the started bundles that have unfinished items but no running ones from
    /// this runner's bundles; returns them.
    pub(super) fn release_idle(&mut self) -> Vec<u16> {
        let mut released = Vec::new();
        let running = &self.running;
        let head = &self.head;
        let (log, results) = (&self.log, &self.results);
        let is_finished = |index: &u16| log.contains(*index) || results.contains(*index);
        self.own_bundles.retain(|bundle, state| {
            let waits = !matches!(state, BundleState::Running);
            let items = head.bundles.get(usize::from(*bundle));
            let items = items.map_or(&[][..], |bundle| &bundle.items);
            let runs = items.iter().any(|index| running.contains_key(index));
            let open = items.iter().any(|index| !is_finished(index));
            let kept = waits || runs || !open;
            if !kept {
                released.push(*bundle);
            }
            kept
        });
        released
    }
}
