//! Batches: submission, results, items' bodies, end.

use super::reply;
use crate::{
    base::{Clock, Millis},
    batch::{
        BODIES,
        Head,
        Item,
        Log,
        RESULTS,
        Submission,
        WORK,
        WorkKey,
        accept,
        chunk_of,
        decode,
        encode,
        name_of,
        page_of,
        part_of, //
    },
    duty::Answer,
    platform::{ROWS_MOST, Store, read_submission, write_page},
    store::{Key, Outcome, StoreError, Transaction},
    view::Site, //
};
use hyper::StatusCode;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError}, //
};

/// Answers trainers from the store.
pub(super) struct Batches {
    pub(super) clock: Clock,
    /// Heads that were read: they never change.
    pub(super) heads: Mutex<HashMap<String, Arc<Head>>>,
    pub(super) site: Arc<Site>,
    pub(super) store: Store,
}

/// Heads kept in memory; a head of a hundred items is about 4 KB.
const HEADS_MOST: usize = 256;

/// How often a waiting reader's results are looked for: a trainer that keeps two
/// steps under way has less than half a second to spare on each, and one call costs
/// the store 4 ms of its 2,000 calls a second.
const POLL: Millis = Millis(50);

/// The wait before a call to the store is repeated.
const AGAIN: Millis = Millis(40);

/// How often a submission that the store turned away is tried before it is
/// refused; the trainer's next attempt goes to another gateway.
const ACCEPT_TRIES: u32 = 3;

/// When a trainer is asked to come back while the store is away.
const WAIT_STORE: Millis = Millis(400);

/// How long a trainer that names no deadline is kept waiting for its answer.
const ACCEPT_MOST: Millis = Millis(4_000);

/// The same when the store has not answered for a while: another gateway may
/// reach it.
const ACCEPT_AWAY: Millis = Millis(800);

/// How long reading and ending try the store.
const READ_MOST: Millis = Millis(1_800);

/// How long they try it when it has not answered for [`AWAY_KNOWN`].
const READ_AWAY: Millis = Millis(400);
const AWAY_KNOWN: Millis = Millis(300);

/// Where a batch comes from.
#[derive(Clone, Copy)]
pub(super) struct Submitter<'a> {
    pub(super) host: &'a str,
    pub(super) path: &'a str,
    /// The workspace's own.
    pub(super) priority: Option<u32>,
    pub(super) workspace: Option<&'a str>,
}

impl Batches {
    /// The name of the batch that the callers of `workspace` call `id`: its own, or
    /// one that belongs to nobody; `None` when there is none.
    pub(super) async fn find(
        &self,
        workspace: Option<&str>,
        id: &str,
    ) -> Result<Option<String>, StoreError> {
        let own = workspace.and_then(|workspace| name_of(Some(workspace), id));
        let names = own.into_iter().chain(name_of(None, id));
        for name in names {
            if self.head(&name).await?.is_some() {
                return Ok(Some(name));
            }
        }
        Ok(None)
    }

    /// Takes a batch: it is in the store, whole, before the answer says so.
    pub(super) async fn submit(
        &self,
        id: &str,
        from: Submitter<'_>,
        body: &[u8],
        until: Millis,
    ) -> Answer {
        let Some(id) = &name_of(from.workspace, id) else {
            return reply::status(StatusCode::BAD_REQUEST, "not an id of a batch");
        };
        let submission = match read_submission(id, from.host, from.path, body) {
            Ok(submission) => Submission {
                priority: from.priority,
                workspace: from.workspace.map(str::to_owned),
                ..submission
            },
            Err(error) => {
                tracing::warn!(batch = id, %error, "batch not understood");
                return reply::status(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let (step, model) = (submission.step, submission.model.clone());
        let items = submission.items.len();
        let writes = accept(&submission, self.store.now());
        drop(submission);
        let most = match self.patience() < READ_MOST {
            true => ACCEPT_AWAY,
            false => ACCEPT_MOST,
        };
        let until = until.min(self.clock.now() + most);

        // The head makes the batch exist; chunks alone are never run.
        let mut unknown = false;
        for chunk in &writes.chunks {
            if let Err(error) = self.write(chunk, until, &mut unknown).await {
                tracing::warn!(batch = id, %error, "batch refused: its items were not stored");
                return reply::refusal(WAIT_STORE, "the store did not take the batch");
            }
        }
        let mut unknown = false;
        match self.write(&writes.head, until, &mut unknown).await {
            Ok(Outcome::Done { revision }) => {
                tracing::info!(batch = id, step, model, items, revision, "batch accepted");
                reply::status(StatusCode::ACCEPTED, "accepted")
            }
            Ok(Outcome::Conflict { .. }) => {
                tracing::info!(batch = id, step, model, "batch accepted before");
                reply::status(StatusCode::ACCEPTED, "accepted before")
            }
            Err(error) if unknown => {
                // The write may still be done: no refusal would be true.
                tracing::warn!(batch = id, step, model, %error, "batch in doubt");
                reply::status(StatusCode::GATEWAY_TIMEOUT, "it may have been accepted")
            }
            Err(error) => {
                tracing::warn!(batch = id, step, model, %error, "batch refused");
                reply::refusal(WAIT_STORE, "the store did not take the batch")
            }
        }
    }

    /// Repeats a write until its outcome is known or its time is over; sets
    /// `unknown` when it may yet be done. All writes here may be repeated: they
    /// write the same, or are conditional on what they themselves change.
    async fn write(
        &self,
        transaction: &Transaction,
        until: Millis,
        unknown: &mut bool,
    ) -> Result<Outcome, StoreError> {
        let mut tries = 0;
        loop {
            tries += 1;
            let error = match self.store.transact(transaction).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => error,
            };
            *unknown |= !error.is_not_done();
            let enough = !*unknown && tries >= ACCEPT_TRIES;
            if enough || self.clock.now() + AGAIN >= until {
                return Err(error);
            }
            tokio::time::sleep(AGAIN.as_duration()).await;
        }
    }

    /// The results from position `from` on; waits up to `wait` for the first.
    pub(super) async fn results(&self, id: &str, from: usize, wait: Millis) -> Answer {
        let until = self.clock.now() + wait;
        loop {
            let (total, page) = match self.page(id, from).await {
                Ok(Some(found)) => found,
                Ok(None) => return unknown_batch(id),
                // A reader that waits anyway gets what comes with the store's return;
                // one that is sent away asks again half a second later.
                Err(_) if self.clock.now() < until => continue,
                Err(error) => return store_away(id, &error),
            };
            let over = self.clock.now() + POLL > until;
            if !page.samples.is_empty() || from >= total || over {
                let (count, first) = (page.samples.len(), from);
                tracing::debug!(batch = id, first, count, total, "results read");
                return reply::json(write_page(from, total, &page));
            }
            tokio::time::sleep(POLL.as_duration()).await;
        }
    }

    async fn page(
        &self,
        id: &str,
        from: usize,
    ) -> Result<Option<(usize, crate::batch::Page)>, StoreError> {
        let Some(head) = self.head(id).await? else {
            return Ok(None);
        };
        let part = part_of(id);
        let first = format!("{from:06}/");
        let listing = self.reading(|| self.store.rows(RESULTS, &part, &first, ROWS_MOST));
        let page = page_of(from, &listing.await?);
        Ok(Some((head.items.len(), page)))
    }

    /// The body of one item.
    pub(super) async fn item_body(&self, id: &str, item: &str) -> Answer {
        let head = match self.head(id).await {
            Ok(Some(head)) => head,
            Ok(None) => return unknown_batch(id),
            Err(error) => return store_away(id, &error),
        };
        let Some(index) = head.index_of(item) else {
            tracing::info!(batch = id, item, "no such item");
            return reply::status(StatusCode::NOT_FOUND, "no such item");
        };
        let key = Key::new(
            BODIES,
            part_of(id),
            chunk_of(head.items[usize::from(index)].chunk),
        );
        let row = match self.reading(|| self.store.row(&key)).await {
            Ok(row) => row,
            Err(error) => return store_away(id, &error),
        };
        let value = row.and_then(|row| row.value);
        let items: Option<Vec<Item>> = value.and_then(|value| decode("items", &value));
        let found = items.and_then(|items| items.into_iter().find(|found| found.id == item));
        match found {
            Some(item) => reply::bytes(item.body),
            None => {
                tracing::error!(batch = id, item, "an item of the head is not in its chunk");
                reply::refusal(WAIT_STORE, "the item can't be read")
            }
        }
    }

    /// Ends a batch; repeating it changes nothing.
    pub(super) async fn end(&self, id: &str) -> Answer {
        let key = Key::new(WORK, part_of(id), WorkKey::Log.to_string());
        let until = self.clock.now() + READ_MOST;
        loop {
            let row = match self.reading(|| self.store.row(&key)).await {
                Ok(Some(row)) => row,
                Ok(None) => return unknown_batch(id),
                Err(error) => return store_away(id, &error),
            };
            let value = row.value.unwrap_or_default();
            let Some(mut log) = decode::<Log>("log", &value) else {
                return reply::refusal(WAIT_STORE, "the batch can't be read");
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
                Ok(Outcome::Done { .. }) => {
                    let listed = log.listed.len();
                    tracing::info!(batch = id, listed, "batch ended by its trainer");
                    return reply::status(StatusCode::OK, "ended");
                }
                // Someone listed results in between, or the answer is lost:
                // reading again tells.
                Ok(Outcome::Conflict { .. }) => {}
                Err(error) if self.clock.now() >= until => return store_away(id, &error),
                Err(_) => tokio::time::sleep(AGAIN.as_duration()).await,
            }
        }
    }

    async fn head(&self, id: &str) -> Result<Option<Arc<Head>>, StoreError> {
        let known = self.heads().get(id).cloned();
        if known.is_some() {
            return Ok(known);
        }
        let key = Key::new(WORK, part_of(id), WorkKey::Head.to_string());
        let row = self.reading(|| self.store.row(&key)).await?;
        let value = row.and_then(|row| row.value);
        let head: Option<Head> = value.and_then(|value| decode("head", &value));
        let Some(head) = head.map(Arc::new) else {
            return Ok(None);
        };
        let mut heads = self.heads();
        if heads.len() >= HEADS_MOST
            && let Some(oldest) = heads.iter().min_by_key(|(_, head)| head.accepted)
        {
            let oldest = oldest.0.clone();
            heads.remove(&oldest);
        }
        heads.insert(id.to_owned(), head.clone());
        Ok(Some(head))
    }

    fn heads(&self) -> std::sync::MutexGuard<'_, HashMap<String, Arc<Head>>> {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long the store is tried: a gateway that has not reached it for a
    /// while says so soon, as another gateway may reach it.
    fn patience(&self) -> Millis {
        let now = self.clock.now();
        let away = self.site.store_unreachable_since();
        match away.is_some_and(|since| now.since(since) >= AWAY_KNOWN) {
            true => READ_AWAY,
            false => READ_MOST,
        }
    }

    /// Repeats a read a few times while the store does not answer.
    async fn reading<T, F>(&self, read: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let patience = self.patience();
        let until = self.clock.now() + patience;
        loop {
            let reading = tokio::time::timeout(patience.as_duration(), read());
            let result = reading.await.unwrap_or_else(|_| {
                let status = StatusCode::GATEWAY_TIMEOUT.as_u16();
                Err(StoreError::NotDone { status })
            });
            match result {
                Err(_) if self.clock.now() + AGAIN < until => {
                    tokio::time::sleep(AGAIN.as_duration()).await;
                }
                result => return result,
            }
        }
    }
}

/// The answer while the store can't be asked about the batch called `id`.
pub(super) fn store_away(id: &str, error: &StoreError) -> Answer {
    tracing::warn!(batch = id, %error, "refused: the store can't be asked");
    reply::refusal(WAIT_STORE, "the store can't be asked")
}

fn unknown_batch(id: &str) -> Answer {
    tracing::info!(batch = id, "no such batch");
    reply::status(StatusCode::NOT_FOUND, "no such batch")
}
