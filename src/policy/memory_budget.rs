//! Decides what a gateway may hold in memory for its callers.
//!
//! Load pattern: many callers send bodies of up to 32 MB to a gateway that has 120 MB, or
//! don't read their answers. A process above its memory limit is killed with everything that
//! it holds.

use crate::base::Millis;
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeldKind {
    /// A response that is being written to its caller.
    Answer,
    /// A request body that has arrived and is being forwarded or stored.
    Body,
    /// A request on a connection that carries several at a time: its head, and its part of the
    /// connection's window.
    Head,
    /// A page of a batch's results, being read or being written to its trainer.
    Page,
    /// A request body that is arriving.
    Upload,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Answer,
        Self::Body,
        Self::Head,
        Self::Page,
        Self::Upload,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Body => "body",
            Self::Head => "head",
            Self::Page => "page",
            Self::Upload => "upload",
        }
    }
}

/// Identifies one hold of a budget.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HoldId(u64);

/// What memory is asked for.
#[derive(Clone, Copy, Debug)]
pub struct MemoryRequest<'a> {
    pub bytes: usize,
    pub kind: HeldKind,
    /// The workspace that the memory is held for; empty for callers without one, who count as
    /// one workspace.
    pub workspace: &'a str,
}

/// Why memory is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Too much is held at present.
    Full,
    /// The workspace holds its share, and others ask for memory.
    Share,
    /// It would not fit into the empty budget either.
    TooLarge,
}

/// Refused memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryRefusal {
    pub reason: RefusalReason,
    /// How long it will take, at the present rate, until the memory is free.
    pub wait: Millis,
}

/// A hold that is to be cut, as its client makes no progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowHold {
    pub bytes: usize,
    pub id: HoldId,
    pub kind: HeldKind,
    /// The bytes that were moved since the hold began.
    pub taken: u64,
}

/// The memory that is held for callers, and its limit.
///
/// # Invariants
///
/// `held` is the sum over all holds, and each share's `held` is the sum over the holds of its
/// workspace.
#[derive(Debug)]
pub struct MemoryBudget {
    drained: DrainRate,
    held: usize,
    holds: BTreeMap<HoldId, Hold>,
    next: u64,
    shares: HashMap<String, Share>,
    /// When memory was last refused because too much was held, and how much, in bytes.
    shortage: Option<(Millis, usize)>,
    size: usize,
}

#[derive(Debug)]
struct Hold {
    bytes: usize,
    /// Its client is being cut.
    cut: bool,
    kind: HeldKind,
    /// The client's progress, for what is arriving or being read.
    progress: Progress,
    workspace: String,
}

/// How much a client has moved: what its connection has taken in all, or what has arrived of a
/// body.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// When it last moved something.
    at: Millis,
    /// What it had moved when the hold began.
    first: u64,
    latest: u64,
}

#[derive(Debug, Default)]
struct Share {
    /// When the workspace last asked for memory that doesn't come from the reserve, or was
    /// refused.
    asked: Option<Millis>,
    held: usize,
}

/// Bytes freed, as a sum that decays with [`DRAIN_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct DrainRate {
    at: Millis,
    bytes: f64,
}

/// Bodies of at most this many bytes may use the reserve.
pub const SMALL_BODY: usize = 64 * 1024;

/// How long a client may move nothing before it can be cut.
pub const STALL_TIME: Millis = Millis(2_000);

/// The least that counts as progress of a body, in bytes. A client that sends single bytes
/// would never be cut otherwise.
const LEAST_ARRIVED: u64 = 2 * 1024;

/// What the program itself needs, in bytes: connections, tables and code.
const PROGRAM_BYTES: usize = 48 * 1024 * 1024;

/// The least share of the memory limit that is a budget, as a divisor: a gateway with a limit
/// near [`PROGRAM_BYTES`] still serves small requests.
const LEAST_SHARE: usize = 8;

/// The share of the budget that is reserved for small bodies, as a divisor.
const RESERVE_SHARE: usize = 8;

/// How long a workspace counts as asking for memory. Callers that were refused return within
/// [`MAX_WAIT`], twice as late at most.
const ASK_TIME: Millis = Millis(2_000);

/// How long a refusal counts as a shortage, for which stalled clients are cut.
const SHORTAGE_TIME: Millis = Millis(1_000);

/// The time over which the rate of freed memory is averaged.
const DRAIN_TIME: Millis = Millis(1_000);

/// The limits of the wait after a refusal. A body that never fits gets the shorter one, as it
/// has to go to another gateway.
const MIN_WAIT: Millis = Millis(20);
const MAX_WAIT: Millis = Millis(1_000);

/// Descriptors that are not for callers' connections: backend servers, the store, listeners.
const OTHER_DESCRIPTORS: usize = 200;

/// The least number of callers' connections.
const LEAST_CONNECTIONS: usize = 16;

/// What one connection can take at most beside what the budget counts, in bytes: its tasks, a
/// head in its read buffer, and unread bytes in the kernel's.
const CONNECTION_BYTES: usize = 48 * 1024;

/// The share of the memory limit that servers' answers may take, as a divisor, and the most that
/// they may take, in bytes.
const ANSWERS_SHARE: usize = 5;
const MAX_ANSWERS: usize = 24 * 1024 * 1024;

/// What one read of a page takes at most, in bytes: the store's answer, its rows and the page.
const READ_BYTES: usize = 2 * 1024 * 1024;

/// The share of the memory limit that such reads may take, as a divisor, and their least number.
const READS_SHARE: usize = 6;
const LEAST_READS: usize = 2;

/// The share of the memory limit that callers' connections may take, as a divisor.
const CONNECTIONS_SHARE: usize = 5;

/// The budget of a process with this memory limit, both in bytes.
pub fn budget_size(limit: usize) -> usize {
    let rest = limit.saturating_sub(PROGRAM_BYTES);
    rest.min(limit / 2).max(limit / LEAST_SHARE)
}

/// The number of callers' connections that a process with this many descriptors accepts.
pub fn max_connections(descriptors: usize) -> usize {
    let rest = descriptors.saturating_sub(OTHER_DESCRIPTORS);
    (rest / 4 * 3).max(LEAST_CONNECTIONS)
}

/// The bytes that servers' answers may take until callers have read them, in a process with this
/// memory limit, in bytes.
pub fn answers_size(limit: usize) -> usize {
    (limit / ANSWERS_SHARE).min(MAX_ANSWERS)
}

/// How many pages may be read from the store at a time, in a process with this memory limit, in
/// bytes.
pub fn max_reads(limit: usize) -> usize {
    (limit / READS_SHARE / READ_BYTES).max(LEAST_READS)
}

/// The number of callers' connections that fit into a process with this memory limit, in bytes.
pub fn connections_in_memory(limit: usize) -> usize {
    (limit / CONNECTIONS_SHARE / CONNECTION_BYTES).max(LEAST_CONNECTIONS)
}

/// The `Retry-After` of one of many refused callers: between `wait` and twice as long, by
/// `hash`, so that they don't return at the same moment.
pub fn spread_wait(wait: Millis, hash: u64) -> Millis {
    wait + Millis(hash % (wait.0 + 1))
}

impl MemoryBudget {
    /// An unused budget of `size` bytes.
    pub fn new(size: usize) -> Self {
        Self {
            drained: DrainRate::default(),
            held: 0,
            holds: BTreeMap::new(),
            next: 0,
            shares: HashMap::new(),
            shortage: None,
            size,
        }
    }

    /// The size in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// The bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The bytes held for `kind`.
    pub fn held_for(&self, kind: HeldKind) -> usize {
        let holds = self.holds.values().filter(|hold| hold.kind == kind);
        holds.map(|hold| hold.bytes).sum()
    }

    /// Holds the memory that is asked for, if it fits.
    pub fn reserve(
        &mut self,
        request: MemoryRequest<'_>,
        now: Millis,
    ) -> Result<HoldId, MemoryRefusal> {
        self.check(request.workspace, request.bytes, request.bytes, now)?;
        Ok(self.hold(request, 0, now))
    }

    /// Raises a hold to `bytes` if that fits. There must be room for the old and the new bytes
    /// together, as the content is copied. A refused hold stays as it is.
    pub fn grow(&mut self, id: HoldId, bytes: usize, now: Millis) -> Result<(), MemoryRefusal> {
        let Some(hold) = self.holds.get(&id) else {
            return Ok(());
        };
        let (old, workspace) = (hold.bytes, hold.workspace.clone());
        self.check(&workspace, bytes, bytes, now)?;
        self.held = self.held - old + bytes;
        let share = self.shares.entry(workspace).or_default();
        share.held = share.held - old + bytes;
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.bytes = bytes;
        }
        Ok(())
    }

    /// Holds memory that is in use already, whether it fits or not: answers that are ready are
    /// delivered. `taken` is what the reader's connection has taken in all.
    pub fn hold(&mut self, request: MemoryRequest<'_>, taken: u64, now: Millis) -> HoldId {
        let id = HoldId(self.next);
        self.next += 1;
        self.held += request.bytes;
        let workspace = request.workspace.to_owned();
        self.shares.entry(workspace.clone()).or_default().held += request.bytes;
        let hold = Hold {
            bytes: request.bytes,
            cut: false,
            kind: request.kind,
            progress: Progress {
                at: now,
                first: taken,
                latest: taken,
            },
            workspace,
        };
        self.holds.insert(id, hold);
        id
    }

    /// The body of a hold has arrived whole: from now on its client is not waited for.
    pub fn set_arrived(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.kind = HeldKind::Body;
        }
    }

    /// Records that a request is refused as there is no room for anything.
    pub fn refuse_full(&mut self, now: Millis) -> MemoryRefusal {
        let missing = self.held.saturating_sub(self.size);
        self.shortage = Some((now, 0));
        MemoryRefusal {
            reason: RefusalReason::Full,
            wait: self.drained.time_for(missing, now),
        }
    }

    /// Whether anything may be added at present.
    pub fn has_room(&self) -> bool {
        self.held <= self.size
    }

    /// Ends a hold.
    pub fn release(&mut self, id: HoldId, now: Millis) {
        let Some(hold) = self.holds.remove(&id) else {
            return;
        };
        self.held -= hold.bytes;
        if let Some(share) = self.shares.get_mut(&hold.workspace) {
            share.held -= hold.bytes;
        }
        self.drained.add(hold.bytes, now);
    }

    /// Records what the client of a hold has moved in all.
    pub fn record_taken(&mut self, id: HoldId, taken: u64, now: Millis) {
        if let Some(hold) = self.holds.get_mut(&id)
            && taken >= hold.progress.latest + hold.least_progress()
        {
            hold.progress.at = now;
            hold.progress.latest = taken;
        }
    }

    /// Records that the client of a hold has nothing to move.
    pub fn record_pause(&mut self, id: HoldId, now: Millis) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.progress.at = now;
        }
    }

    /// The holds to be cut now. While memory is short, the largest ones whose clients moved
    /// nothing for [`STALL_TIME`] are cut, and no more of them than needed: bodies that stopped
    /// arriving, and answers that are not read if most of the memory holds answers.
    pub fn cut_slow(&mut self, now: Millis) -> Vec<SlowHold> {
        let answers = self.held_for(HeldKind::Answer) + self.held_for(HeldKind::Page);
        let mostly_answers = answers * 2 >= self.held;
        let cut = self.holds.values().filter(|hold| hold.cut);
        let leaving: usize = cut.map(|hold| hold.bytes).sum();
        let shortage = self
            .shortage
            .filter(|(at, _)| now.since(*at) < SHORTAGE_TIME);
        let wanted = shortage.map_or(0, |(_, bytes)| bytes);
        let excess = (self.held - leaving + wanted).saturating_sub(self.room(usize::MAX));
        self.cut_stalled(excess, now, |hold| hold.waits_for_client(mostly_answers))
    }

    /// The largest answers whose readers moved nothing for [`STALL_TIME`], of `wanted` bytes
    /// together: other answers wait for their room.
    pub fn cut_readers(&mut self, wanted: usize, now: Millis) -> Vec<SlowHold> {
        let cut = self.holds.values().filter(|hold| hold.cut);
        let leaving: usize = cut.map(|hold| hold.bytes).sum();
        self.cut_stalled(wanted.saturating_sub(leaving), now, |hold| {
            hold.kind == HeldKind::Answer
        })
    }

    /// Cuts the largest of the `chosen` holds whose clients moved nothing for [`STALL_TIME`], of
    /// `excess` bytes together.
    fn cut_stalled(
        &mut self,
        mut excess: usize,
        now: Millis,
        chosen: impl Fn(&Hold) -> bool,
    ) -> Vec<SlowHold> {
        let mut stalled: Vec<_> = self
            .holds
            .iter_mut()
            .filter(|(_, hold)| chosen(hold) && !hold.cut)
            .filter(|(_, hold)| now.since(hold.progress.at) >= STALL_TIME)
            .collect();
        stalled.sort_by_key(|(_, hold)| (std::cmp::Reverse(hold.bytes), hold.progress.at));
        let mut slow = Vec::new();
        for (id, hold) in stalled {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(hold.bytes);
            hold.cut = true;
            slow.push(SlowHold {
                bytes: hold.bytes,
                id: *id,
                kind: hold.kind,
                taken: hold.progress.latest - hold.progress.first,
            });
        }
        slow
    }

    /// The budget for a body of `bytes`: only small ones may use the reserve.
    fn room(&self, bytes: usize) -> usize {
        match bytes <= SMALL_BODY {
            true => self.size,
            false => self.size - self.size / RESERVE_SHARE,
        }
    }

    /// What a workspace may hold while others ask for memory, for a body of `bytes`.
    fn share_room(&self, bytes: usize) -> usize {
        match bytes <= SMALL_BODY {
            true => self.size / 2 + self.size / RESERVE_SHARE / 2,
            false => self.size / 2,
        }
    }

    /// Checks whether `more` bytes fit, for a body of `bytes` in all.
    fn check(
        &mut self,
        workspace: &str,
        bytes: usize,
        more: usize,
        now: Millis,
    ) -> Result<(), MemoryRefusal> {
        let room = self.room(bytes);
        if bytes > room {
            return Err(MemoryRefusal {
                reason: RefusalReason::TooLarge,
                wait: MIN_WAIT,
            });
        }
        let others_ask = self.shares.iter().any(|(name, share)| {
            let recent = share.asked.is_some_and(|at| now.since(at) < ASK_TIME);
            name != workspace && recent
        });
        let share_room = match others_ask {
            true => self.share_room(bytes),
            false => room,
        };
        let own = self.shares.get(workspace).map_or(0, |share| share.held);
        let missing_here = (self.held + more).saturating_sub(room);
        let missing_share = (own + more).saturating_sub(share_room);
        let missing = missing_here.max(missing_share);
        if bytes > SMALL_BODY || missing > 0 {
            let share = self.shares.entry(workspace.to_owned()).or_default();
            share.asked = Some(now);
        }
        let reason = match (missing_here, missing_share) {
            (0, 0) => return Ok(()),
            (0, _) => RefusalReason::Share,
            _ => RefusalReason::Full,
        };
        if reason == RefusalReason::Full {
            self.shortage = Some((now, more));
        }
        Err(MemoryRefusal {
            reason,
            wait: self.drained.time_for(missing, now),
        })
    }
}

impl Hold {
    /// The least that counts as progress, in bytes.
    fn least_progress(&self) -> u64 {
        match self.kind {
            HeldKind::Upload => LEAST_ARRIVED,
            HeldKind::Answer | HeldKind::Body | HeldKind::Head | HeldKind::Page => 1,
        }
    }

    /// Whether the memory is free as soon as the client moves its bytes. Answers count only if
    /// `answers` is set.
    fn waits_for_client(&self, answers: bool) -> bool {
        match self.kind {
            HeldKind::Answer | HeldKind::Page => answers,
            HeldKind::Body | HeldKind::Head => false,
            HeldKind::Upload => true,
        }
    }
}

impl DrainRate {
    /// The decayed sum of freed bytes.
    fn bytes_at(&self, now: Millis) -> f64 {
        let age = now.since(self.at).0 as f64 / DRAIN_TIME.0 as f64;
        self.bytes * (-age).exp()
    }

    fn add(&mut self, bytes: usize, now: Millis) {
        self.bytes = self.bytes_at(now) + bytes as f64;
        self.at = now;
    }

    /// How long it takes to free this many bytes, within the limits of a wait.
    fn time_for(&self, bytes: usize, now: Millis) -> Millis {
        let rate = self.bytes_at(now) / DRAIN_TIME.0 as f64;
        let time = bytes as f64 / rate.max(1.0);
        Millis(time as u64).clamp(MIN_WAIT, MAX_WAIT)
    }
}
