//! The duty that claims the request keys of non-idempotent calls in the table.

use crate::{
    base::{Cause, Failure, Millis, RequestId, stable_hash},
    duty::{Context, Phase},
    policy::key_claims::{Batch, ClaimOutcome, ClaimQueue, PendingClaim}, //
    table::{PlatformClient, Transaction, TransactionOutcome, Write},
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::HashMap,
    net::SocketAddr, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// A request to the claimer.
pub(super) enum ClaimRequest {
    /// Release the key at this path, because its call did not run.
    Release(String),
    /// Claim a key, and send the outcome.
    Take(PendingClaim, oneshot::Sender<Result<(), Failure>>),
}

/// The row of a claimed key in the table.
#[derive(Deserialize, Serialize)]
struct Row {
    request: String,
}

/// The most requests that may wait; further calls with keys are refused.
pub(super) const MAX_QUEUED_CLAIMS: usize = 512;

/// How long a claimed key is kept. Until then, a repeat of its call is refused as a
/// duplicate. Callers that got no answer repeat their call within minutes. One hour of
/// keys is about 50,000 rows at the present rate.
const KEY_RETENTION: Millis = Millis(3_600_000);

/// How often expired keys are removed while there are no requests.
const CLEANUP_INTERVAL: Millis = Millis(1_000);

/// Runs the claimer until the program stops.
pub(super) async fn run(
    context: Context,
    platform: SocketAddr,
    instance: String,
    mut requests: mpsc::Receiver<ClaimRequest>,
) {
    context.mark_drained();
    let mut claimer = Claimer {
        claims: ClaimQueue::new(KEY_RETENTION),
        context: context.clone(),
        instance,
        platform: PlatformClient::open(platform),
        replies: HashMap::new(),
        transactions: 0,
    };
    loop {
        tokio::select! {
            Some(request) = requests.recv() => claimer.accept(request),
            () = tokio::time::sleep(CLEANUP_INTERVAL.as_duration()) => {}
            () = context.reached(Phase::Stopped) => return,
        }
        // Requests that arrived during the last transaction go into the next one.
        while let Ok(request) = requests.try_recv() {
            claimer.accept(request);
        }
        claimer.write_all(&mut requests).await;
    }
}

/// The path of the row of a team's request key.
pub(super) fn claim_path(team: &str, key: &str) -> String {
    let hash = blake3::hash(key.as_bytes()).to_hex();
    format!("claims/{team}/{hash}")
}

/// The state of the duty.
struct Claimer {
    claims: ClaimQueue,
    context: Context,
    instance: String,
    platform: PlatformClient,
    /// Where the outcomes of claims are sent.
    replies: HashMap<RequestId, oneshot::Sender<Result<(), Failure>>>,
    /// The number of transactions so far; part of their tokens.
    transactions: u64,
}

impl Claimer {
    /// Queues a request, or refuses it if too many claims wait.
    fn accept(&mut self, request: ClaimRequest) {
        match request {
            ClaimRequest::Release(path) => self.claims.release(&path),
            ClaimRequest::Take(pending, reply) => {
                let request = pending.request;
                if self.claims.push(pending) {
                    self.replies.insert(request, reply);
                } else {
                    let detail = "too many request keys wait to be claimed";
                    let failure = Failure::not_run(Cause::Overloaded, detail);
                    let _ = reply.send(Err(failure.retry_after(Millis(500))));
                }
            }
        }
    }

    /// Writes transactions until no claim and no removal is due.
    async fn write_all(&mut self, requests: &mut mpsc::Receiver<ClaimRequest>) {
        while let Some(batch) = self.claims.next_batch(self.context.clock.now()) {
            self.write(batch).await;
            while let Ok(request) = requests.try_recv() {
                self.accept(request);
            }
        }
    }

    /// Writes one transaction, and sends the outcomes of its claims. After a conflict, only
    /// the claim of the conflicting row has an outcome; the other writes are queued again.
    async fn write(&mut self, batch: Batch) {
        let transaction = self.transaction(&batch);
        match self.platform.transact(&transaction).await {
            Ok(TransactionOutcome::Committed(versions)) => {
                let now = self.context.clock.now();
                self.claims.committed(now, &batch, &versions);
                for pending in &batch.claims {
                    self.reply(pending, ClaimOutcome::Granted);
                }
            }
            Ok(TransactionOutcome::Conflict { path, .. }) => {
                if let Some(refused) = self.claims.conflicted(batch, &path) {
                    let owner = self.owner(&path).await;
                    self.reply(&refused, ClaimOutcome::Taken(owner));
                }
            }
            // Without the table, nobody knows whether the keys are new. The calls have
            // not run and are refused as such, so that none runs twice.
            Err(error) => {
                tracing::warn!(%error, "could not claim request keys");
                for pending in &batch.claims {
                    self.reply(pending, ClaimOutcome::Undecided);
                }
            }
        }
    }

    /// Sends the outcome of a claim to the call that waits for it.
    fn reply(&mut self, pending: &PendingClaim, outcome: ClaimOutcome) {
        let Some(reply) = self.replies.remove(&pending.request) else {
            return;
        };
        let sent = reply.send(match outcome {
            ClaimOutcome::Granted => Ok(()),
            ClaimOutcome::Taken(owner) => {
                let owner = owner.map_or("another request".to_owned(), |id| id.to_string());
                let detail = format!("the key belongs to {owner}, which was begun");
                Err(Failure::may_have_run(Cause::Duplicate, detail))
            }
            ClaimOutcome::Undecided => {
                let detail = "the table gives no answer, so the key can't be claimed";
                let failure = Failure::not_run(Cause::StoreDown, detail);
                Err(failure.retry_after(Millis(1_000)))
            }
        });
        // The caller has left or the deadline has passed in the meantime. The call will
        // not be sent, so its key is released.
        if sent.is_err() && outcome == ClaimOutcome::Granted {
            self.claims.release(&pending.path);
        }
    }

    /// The request that owns the key at `path`.
    async fn owner(&self, path: &str) -> Option<RequestId> {
        let row = self.platform.get(path).await.ok()??;
        let row: Row = serde_json::from_str(&row.value).ok()?;
        row.request.parse().ok()
    }

    /// The transaction for `batch`.
    fn transaction(&mut self, batch: &Batch) -> Transaction {
        self.transactions += 1;
        let token = stable_hash(&[
            self.instance.as_bytes(),
            &self.context.clock.now().0.to_le_bytes(),
            &self.transactions.to_le_bytes(),
        ]);
        let claims = batch.claims.iter().map(|pending| Write {
            expect: 0,
            path: pending.path.clone(),
            value: serde_json::to_string(&Row {
                request: pending.request.to_string(),
            })
            .ok(),
        });
        let removals = batch.removals.iter().map(|(path, version)| Write {
            expect: *version,
            path: path.clone(),
            value: None,
        });
        Transaction {
            token: format!("claims-{token:016x}"),
            writes: claims.chain(removals).collect(),
        }
    }
}
