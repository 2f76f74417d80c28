//! Answers trainers' calls about batches: submission, results, bodies of items, end.

use super::reply;
use crate::{
    base::{Clock, Millis},
    batch::{
        BODIES,
        BatchWrites,
        Head,
        Item,
        Log,
        RESULTS,
        WORK,
        WorkKey,
        batch_part,
        chunk_key,
        decode,
        encode,
        is_heartbeat_part,
        read_page,
        stored_name, //
    },
    duty::{Answer, Hold, Memory, Shutdown},
    platform::{MAX_READ_ROWS, Store, SubmissionError, read_submission, write_page},
    policy::memory_budget::{HeldKind, MemoryRefusal, MemoryRequest, RefusalReason},
    store::{Key, StoreError, Transaction, TransactionOutcome},
    view::Site, //
};
use bytes::Bytes;
use hyper::StatusCode;
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError}, //
};
use tokio::sync::{
    Semaphore,
    SemaphorePermit, //
};

/// Answers calls about batches by reading and writing the store.
pub(super) struct Batches {
    /// When this gateway accepted its latest batches.
    accepted: Mutex<VecDeque<Millis>>,
    clock: Clock,
    /// Cached heads of batches, by stored name. A head never changes.
    cached_heads: Mutex<CachedHeads>,
    /// The budget for pages that are read.
    memory: Arc<Memory>,
    /// The turns of those that read pages and items from the store.
    reads: Semaphore,
    shutdown: Arc<Shutdown>,
    site: Arc<Site>,
    store: Store,
}

/// The maximum number of cached heads; beyond it, the head of the batch that was accepted
/// first is evicted. The head of 100 items takes about 4 KB.
const MAX_CACHED_HEADS: usize = 256;

/// The most batches in the store: each takes memory at every runner until it is removed. Ten
/// trainers that submit a step every 4 s have 450 of them.
const MAX_BATCHES: usize = 1_000;

/// A gateway that accepted fewer batches than this within [`COUNT_TIME`] doesn't count those in
/// the store.
const UNCOUNTED_BATCHES: usize = 16;

/// The time in which a gateway counts the batches that it accepted: they stay in the store for
/// about that long.
const COUNT_TIME: Millis = Millis(180_000);

/// The `Retry-After` of a refusal because too many batches are in the store.
const RETRY_AFTER_MANY_BATCHES: Millis = Millis(1_000);

/// The share of the memory limit that cached heads may take, as a divisor.
const HEADS_SHARE: usize = 32;

/// How often the store is polled for results that a trainer waits for. A trainer that
/// runs two steps at a time has less than half a second to spare on each. One call
/// costs the store 4 ms, and the store serves 2,000 calls a second.
const RESULTS_POLL_INTERVAL: Millis = Millis(50);

/// The memory reserved for a page or an item while it is read from the store, in bytes. Its
/// real size counts once it is known.
const PAGE_BYTES: usize = 64 * 1024;

/// How long a reader waits for its turn at least, and how often it looks.
const READ_TURN_TIMEOUT: Millis = Millis(1_000);
const READ_TURN_INTERVAL: Millis = Millis(20);

/// The delay before a failed call to the store is repeated.
const STORE_RETRY_DELAY: Millis = Millis(40);

/// The maximum number of attempts at a write of a submission, as long as none of them can
/// have taken effect. Then the trainer is refused, and its next attempt goes to another
/// gateway.
const MAX_SUBMIT_ATTEMPTS: u32 = 3;

/// The `Retry-After` of a refusal because the store failed or holds a damaged value.
const RETRY_AFTER_STORE_FAILED: Millis = Millis(400);

/// How long a submission may take, if its own deadline is not earlier.
const SUBMIT_TIMEOUT: Millis = Millis(4_000);

/// [`SUBMIT_TIMEOUT`] during an outage: another gateway may still reach the store.
const SUBMIT_TIMEOUT_IN_OUTAGE: Millis = Millis(800);

/// How long reads, and the end of a batch, are retried while the store fails.
const STORE_TIMEOUT: Millis = Millis(1_800);

/// [`STORE_TIMEOUT`] during an outage.
const STORE_TIMEOUT_IN_OUTAGE: Millis = Millis(400);

/// How long the store must have been unreachable for the shorter timeouts to apply.
const OUTAGE_CONFIRMED_AFTER: Millis = Millis(300);

/// The origin of a submission.
#[derive(Clone, Copy)]
pub(super) struct Submitter<'a> {
    pub(super) host: &'a str,
    pub(super) path: &'a str,
    /// The priority of the workspace, if it has one.
    pub(super) priority: Option<u32>,
    pub(super) workspace: Option<&'a str>,
}

/// Heads of batches, by stored name.
struct CachedHeads {
    /// The memory that the heads take, in bytes, and the most that they may take.
    bytes: (usize, usize),
    heads: HashMap<String, Arc<Head>>,
}

impl CachedHeads {
    fn new(most: usize) -> Self {
        Self {
            bytes: (0, most),
            heads: HashMap::new(),
        }
    }

    fn get(&self, id: &str) -> Option<&Arc<Head>> {
        self.heads.get(id)
    }

    /// Adds a head, in place of those that were accepted first.
    fn insert(&mut self, id: &str, head: &Arc<Head>) {
        let size = head.memory();
        if size > self.bytes.1 || self.heads.contains_key(id) {
            return;
        }
        self.bytes.0 += size;
        self.heads.insert(id.to_owned(), head.clone());
        while self.bytes.0 > self.bytes.1 || self.heads.len() > MAX_CACHED_HEADS {
            let oldest = self.heads.iter().min_by_key(|(_, head)| head.accepted);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            let removed = self.heads.remove(&oldest);
            self.bytes.0 -= removed.map_or(0, |head| head.memory());
        }
    }
}

/// A page or an item, and the memory that it takes until it is written.
pub(super) struct PageAnswer {
    pub(super) answer: Answer,
    pub(super) hold: Option<Hold>,
}

impl From<Answer> for PageAnswer {
    fn from(answer: Answer) -> Self {
        Self { answer, hold: None }
    }
}

impl Batches {
    /// Answers calls from `store`; pages count toward the budget of `memory`.
    pub(super) fn new(
        site: &Arc<Site>,
        store: &Store,
        memory: Arc<Memory>,
        shutdown: Arc<Shutdown>,
    ) -> Self {
        Self {
            accepted: Mutex::default(),
            clock: site.clock,
            cached_heads: Mutex::new(CachedHeads::new(memory.limit() / HEADS_SHARE)),
            reads: Semaphore::new(memory.max_reads()),
            memory,
            shutdown,
            site: site.clone(),
            store: store.clone(),
        }
    }

    /// The stored name of the batch that callers of `workspace` refer to as `id`: the
    /// workspace's own batch, or else one that belongs to no workspace.
    pub(super) async fn find(
        &self,
        workspace: Option<&str>,
        id: &str,
    ) -> Result<Option<String>, StoreError> {
        let own = workspace.and_then(|workspace| stored_name(Some(workspace), id));
        let names = own.into_iter().chain(stored_name(None, id));
        for name in names {
            if self.read_head(&name).await?.is_some() {
                return Ok(Some(name));
            }
        }
        Ok(None)
    }

    /// Stores a submitted batch. The response says that it is accepted only once the
    /// whole batch is stored.
    pub(super) async fn submit(
        &self,
        id: &str,
        submitter: Submitter<'_>,
        body: Bytes,
        deadline: Millis,
    ) -> Answer {
        let Some(id) = &stored_name(submitter.workspace, id) else {
            return reply::status(StatusCode::BAD_REQUEST, "not an id of a batch");
        };
        let accepted = self.store.now();
        let read = read_submission(id, submitter.host, submitter.path, &body);
        let read = read.and_then(|mut text| {
            text.about.priority = submitter.priority;
            text.about.workspace = submitter.workspace.map(str::to_owned);
            let head = text.head(accepted)?;
            Ok((text, head))
        });
        let (text, head) = match read {
            Ok(read) => read,
            Err(error) => return refuse_submission(id, &error),
        };
        // A batch that was accepted before is not refused, as it runs.
        if self.has_many_batches().await && matches!(self.read_head(id).await, Ok(None)) {
            tracing::warn!(batch = id, "batch refused: too many are in the store");
            metrics::counter!("redwing_batches_refused_total", "status" => "503").increment(1);
            return reply::refusal(RETRY_AFTER_MANY_BATCHES, "too many batches are kept");
        }
        let (step, model) = (text.about.step, text.about.model.clone());
        let items = text.len();
        let mut writes = BatchWrites::new(id, head, |index| text.item(index));
        // The store's timeout is shorter only during an outage.
        let limit = match self.store_timeout() < STORE_TIMEOUT {
            true => SUBMIT_TIMEOUT_IN_OUTAGE,
            false => SUBMIT_TIMEOUT,
        };
        let deadline = deadline.min(self.clock.now() + limit);

        // Chunks alone are never run: whether they were written doesn't matter until the
        // head makes the batch exist.
        let mut in_doubt = false;
        let head = loop {
            let transaction = match writes.next_transaction() {
                Ok(Some((head, true))) => break head,
                Ok(Some((chunks, false))) => chunks,
                Ok(None) => return reply::refusal(RETRY_AFTER_STORE_FAILED, "no items"),
                Err(error) => return refuse_submission(id, &error),
            };
            if let Err(error) = self
                .write_with_retries(&transaction, deadline, &mut in_doubt)
                .await
            {
                tracing::warn!(batch = id, %error, "batch refused: its items were not stored");
                return reply::refusal(
                    RETRY_AFTER_STORE_FAILED,
                    "the store did not take the batch",
                );
            }
        };
        let mut in_doubt = false;
        match self
            .write_with_retries(&head, deadline, &mut in_doubt)
            .await
        {
            Ok(TransactionOutcome::Done { revision }) => {
                tracing::info!(batch = id, step, model, items, revision, "batch accepted");
                self.accepted().push_back(self.clock.now());
                reply::status(StatusCode::ACCEPTED, "accepted")
            }
            // An earlier submission stored the head, or an earlier attempt of this one whose
            // answer was lost.
            Ok(TransactionOutcome::Conflict { .. }) => {
                tracing::info!(batch = id, step, model, "batch was accepted before");
                reply::status(StatusCode::ACCEPTED, "accepted before")
            }
            Err(error) if in_doubt => {
                // The write may still take effect: a refusal would say that it won't.
                tracing::warn!(batch = id, step, model, %error, "batch may have been accepted");
                reply::status(StatusCode::GATEWAY_TIMEOUT, "it may have been accepted")
            }
            Err(error) => {
                tracing::warn!(batch = id, step, model, %error, "batch refused: its head was not stored");
                reply::refusal(RETRY_AFTER_STORE_FAILED, "the store did not take the batch")
            }
        }
    }

    /// Whether more batches are in the store than the runners bear. Only a gateway that accepts
    /// many counts them; if it can't, the submission goes on, and its writes decide.
    async fn has_many_batches(&self) -> bool {
        let since = self.clock.now() - COUNT_TIME;
        let recent = {
            let mut accepted = self.accepted();
            while accepted.front().is_some_and(|at| *at < since) {
                accepted.pop_front();
            }
            accepted.len()
        };
        if recent < UNCOUNTED_BATCHES {
            return false;
        }
        let Ok((parts, _)) = self.store.parts(WORK).await else {
            return false;
        };
        let batches = parts.iter().filter(|part| !is_heartbeat_part(part));
        batches.count() >= MAX_BATCHES
    }

    fn accepted(&self) -> MutexGuard<'_, VecDeque<Millis>> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Repeats a write until the store answers with its outcome. Gives up when `deadline`
    /// is near, or after [`MAX_SUBMIT_ATTEMPTS`] attempts if none can have taken effect.
    /// Sets `in_doubt` when a failed attempt may have taken effect, or may still do so.
    /// The writes of a submission are safe to repeat: they write the same rows again, or
    /// are conditional on a row that they change.
    async fn write_with_retries(
        &self,
        transaction: &Transaction,
        deadline: Millis,
        in_doubt: &mut bool,
    ) -> Result<TransactionOutcome, StoreError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let error = match self.store.transact(transaction).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => error,
            };
            *in_doubt |= !error.is_not_done();
            let out_of_attempts = !*in_doubt && attempts >= MAX_SUBMIT_ATTEMPTS;
            if out_of_attempts || self.clock.now() + STORE_RETRY_DELAY >= deadline {
                return Err(error);
            }
            tokio::time::sleep(STORE_RETRY_DELAY.as_duration()).await;
        }
    }

    /// Answers with the results from position `from` on; waits up to `wait` for the first, or until
    /// the process has begun to close.
    /// The page's memory counts for `workspace`; empty for a caller without one.
    pub(super) async fn results(
        &self,
        id: &str,
        workspace: &str,
        from: usize,
        wait: Millis,
    ) -> PageAnswer {
        let deadline = self.clock.now() + wait;
        loop {
            let read = match self.take_turn(workspace, deadline).await {
                Ok(_turn) => self.read_results(id, from).await,
                Err(refusal) => return self.refuse_page(id, refusal),
            };
            let (total, page) = match read {
                Ok(Some(found)) => found,
                Ok(None) => return unknown_batch(id).into(),
                // A waiting trainer gets the results as soon as the store recovers; one
                // that is refused asks again only half a second later.
                Err(_) if self.clock.now() < deadline && !self.shutdown.is_closing() => continue,
                Err(error) => return store_failed(id, &error).into(),
            };
            let out_of_time =
                self.clock.now() + RESULTS_POLL_INTERVAL > deadline || self.shutdown.is_closing();
            if !page.samples.is_empty() || from >= total || out_of_time {
                let (count, first) = (page.samples.len(), from);
                tracing::debug!(batch = id, first, count, total, "results read");
                let body = write_page(from, total, &page);
                return self.hold_page(id, workspace, body, reply::json);
            }
            tokio::time::sleep(RESULTS_POLL_INTERVAL.as_duration()).await;
        }
    }

    /// Waits for this reader's turn: few pages are read from the store at a time, and only while
    /// there is room for one. Refuses after `deadline`, or after [`READ_TURN_TIMEOUT`] if
    /// that is later.
    async fn take_turn(
        &self,
        workspace: &str,
        deadline: Millis,
    ) -> Result<(SemaphorePermit<'_>, Hold), MemoryRefusal> {
        let deadline = deadline.max(self.clock.now() + READ_TURN_TIMEOUT);
        loop {
            let refusal = match self.reserve_page(workspace) {
                Ok(hold) => match self.reads.try_acquire() {
                    Ok(permit) => return Ok((permit, hold)),
                    Err(_) => MemoryRefusal {
                        reason: RefusalReason::Full,
                        wait: READ_TURN_TIMEOUT,
                    },
                },
                Err(refusal) => refusal,
            };
            if self.clock.now() + READ_TURN_INTERVAL >= deadline {
                return Err(refusal);
            }
            tokio::time::sleep(READ_TURN_INTERVAL.as_duration()).await;
        }
    }

    /// Answers with `body`, if there is room for it until it is written.
    fn hold_page(
        &self,
        id: &str,
        workspace: &str,
        body: Bytes,
        answer: fn(Bytes) -> Answer,
    ) -> PageAnswer {
        let reserved = self.memory.reserve(MemoryRequest {
            bytes: body.len(),
            kind: HeldKind::Page,
            workspace,
        });
        match reserved {
            Ok(hold) => PageAnswer {
                answer: answer(body),
                hold: Some(hold),
            },
            Err(refusal) => self.refuse_page(id, refusal),
        }
    }

    /// Reads the results from position `from` on, and the batch's number of items;
    /// `None` when the batch does not exist.
    async fn read_results(
        &self,
        id: &str,
        from: usize,
    ) -> Result<Option<(usize, crate::batch::Page)>, StoreError> {
        let Some(head) = self.read_head(id).await? else {
            return Ok(None);
        };
        let part = batch_part(id);
        let first = format!("{from:06}/");
        let listing = self.with_retries(|| self.store.rows(RESULTS, &part, &first, MAX_READ_ROWS));
        let page = read_page(from, &listing.await?);
        Ok(Some((head.items.len(), page)))
    }

    /// Answers with the request body of one item.
    /// Its memory counts for `workspace`; empty for a caller without one.
    pub(super) async fn item_body(&self, id: &str, workspace: &str, item: &str) -> PageAnswer {
        let _turn = match self.take_turn(workspace, self.clock.now()).await {
            Ok(turn) => turn,
            Err(refusal) => return self.refuse_page(id, refusal),
        };
        let head = match self.read_head(id).await {
            Ok(Some(head)) => head,
            Ok(None) => return unknown_batch(id).into(),
            Err(error) => return store_failed(id, &error).into(),
        };
        let Some(index) = head.index_of(item) else {
            tracing::info!(batch = id, item, "item not found");
            return reply::status(StatusCode::NOT_FOUND, "no such item").into();
        };
        let key = Key::new(
            BODIES,
            batch_part(id),
            chunk_key(head.items[usize::from(index)].chunk),
        );
        let row = match self.with_retries(|| self.store.row(&key)).await {
            Ok(row) => row,
            Err(error) => return store_failed(id, &error).into(),
        };
        let value = row.and_then(|row| row.value);
        let items: Option<Vec<Item>> = value.and_then(|value| decode("items", &value));
        let found = items.and_then(|items| items.into_iter().find(|found| found.id == item));
        match found {
            Some(item) => self.hold_page(id, workspace, item.body, reply::bytes),
            None => {
                tracing::error!(batch = id, item, "item is missing from its chunk");
                reply::refusal(RETRY_AFTER_STORE_FAILED, "the item can't be read").into()
            }
        }
    }

    /// Ends a batch: no more of its items are run. Idempotent.
    pub(super) async fn end(&self, id: &str) -> Answer {
        let key = Key::new(WORK, batch_part(id), WorkKey::Log.to_string());
        let deadline = self.clock.now() + STORE_TIMEOUT;
        loop {
            let row = match self.with_retries(|| self.store.row(&key)).await {
                Ok(Some(row)) => row,
                Ok(None) => return unknown_batch(id),
                Err(error) => return store_failed(id, &error),
            };
            let value = row.value.unwrap_or_default();
            let Some(mut log) = decode::<Log>("log", &value) else {
                return reply::refusal(RETRY_AFTER_STORE_FAILED, "the batch can't be read");
            };
            if log.ended {
                return reply::status(StatusCode::OK, "ended");
            }
            log.ended = true;
            let transaction = Transaction {
                expect: vec![(key.clone(), row.revision)],
                remove: Vec::new(),
                set: vec![(key.clone(), encode(&log))],
            };
            match self.store.transact(&transaction).await {
                Ok(TransactionOutcome::Done { .. }) => {
                    let listed = log.listed().len();
                    tracing::info!(batch = id, listed, "batch ended by its trainer");
                    return reply::status(StatusCode::OK, "ended");
                }
                // A runner listed results in between, or an earlier attempt succeeded and
                // its answer was lost: the next read shows which.
                Ok(TransactionOutcome::Conflict { .. }) => {}
                Err(error) if self.clock.now() >= deadline => return store_failed(id, &error),
                Err(_) => tokio::time::sleep(STORE_RETRY_DELAY.as_duration()).await,
            }
        }
    }

    /// Reads a batch's head from the cache or else from the store; `None` when the batch
    /// does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store did not answer, or holds a damaged head.
    async fn read_head(&self, id: &str) -> Result<Option<Arc<Head>>, StoreError> {
        let known = self.cached_heads().get(id).cloned();
        if known.is_some() {
            return Ok(known);
        }
        let key = Key::new(WORK, batch_part(id), WorkKey::Head.to_string());
        let row = self.with_retries(|| self.store.row(&key)).await?;
        let Some(value) = row.and_then(|row| row.value) else {
            return Ok(None);
        };
        let head: Option<Head> = decode("head", &value);
        let Some(head) = head.map(Arc::new) else {
            let message = format!("the head of batch `{id}` is damaged");
            return Err(StoreError::InvalidMessage { message });
        };
        self.cached_heads().insert(id, &head);
        Ok(Some(head))
    }

    /// Reserves memory for a page that is going to be read.
    fn reserve_page(&self, workspace: &str) -> Result<Hold, MemoryRefusal> {
        self.memory.reserve(MemoryRequest {
            bytes: PAGE_BYTES,
            kind: HeldKind::Page,
            workspace,
        })
    }

    /// The response to a trainer whose page doesn't fit.
    fn refuse_page(&self, id: &str, refusal: MemoryRefusal) -> PageAnswer {
        let wait = self.memory.refuse(id, HeldKind::Page, refusal);
        reply::refusal(wait, "no memory for the page").into()
    }

    fn cached_heads(&self) -> MutexGuard<'_, CachedHeads> {
        self.cached_heads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// How long a read is retried. A gateway that has not reached the store for a while
    /// refuses early, as another gateway may reach it.
    fn store_timeout(&self) -> Millis {
        let now = self.clock.now();
        let unreachable_since = self.site.store_unreachable_since();
        match unreachable_since.is_some_and(|since| now.since(since) >= OUTAGE_CONFIRMED_AFTER) {
            true => STORE_TIMEOUT_IN_OUTAGE,
            false => STORE_TIMEOUT,
        }
    }

    /// Repeats a failing read until it succeeds or [`Self::store_timeout`] has passed.
    async fn with_retries<T, F>(&self, read: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let timeout = self.store_timeout();
        let deadline = self.clock.now() + timeout;
        loop {
            let reading = tokio::time::timeout(timeout.as_duration(), read());
            let result = reading.await.unwrap_or_else(|_| {
                let status = StatusCode::GATEWAY_TIMEOUT.as_u16();
                Err(StoreError::NotDone { status })
            });
            match result {
                Err(_) if self.clock.now() + STORE_RETRY_DELAY < deadline => {
                    tokio::time::sleep(STORE_RETRY_DELAY.as_duration()).await;
                }
                result => return result,
            }
        }
    }
}

/// The response to the submission of a batch that can't be accepted.
fn refuse_submission(id: &str, error: &SubmissionError) -> Answer {
    tracing::warn!(batch = id, %error, "batch refused: invalid submission");
    let status = match error.is_too_large() {
        true => StatusCode::PAYLOAD_TOO_LARGE,
        false => StatusCode::BAD_REQUEST,
    };
    metrics::counter!("redwing_batches_refused_total", "status" => status.as_u16().to_string())
        .increment(1);
    reply::status(status, &error.to_string())
}

/// The response to a call about batch `id` that failed because of the store.
pub(super) fn store_failed(id: &str, error: &StoreError) -> Answer {
    tracing::warn!(batch = id, %error, "request refused: the call to the store failed");
    reply::refusal(RETRY_AFTER_STORE_FAILED, "the store can't be asked")
}

/// The response to a call about a batch that does not exist.
fn unknown_batch(id: &str) -> Answer {
    tracing::info!(batch = id, "batch not found");
    reply::status(StatusCode::NOT_FOUND, "no such batch")
}
