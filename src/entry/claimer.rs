//! The duty that claims the request keys of non-idempotent calls in the table.

use crate::{
    base::{Cause, Failure, Millis, RequestId, stable_hash},
    duty::{Context, Phase},
    policy::claim_batch::{Batch, ClaimOutcome, ClaimQueue, PendingClaim}, //
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

/// What the claimer is asked.
pub(super) enum Claim {
    /// The request did not run: the key is free again.
    Release(String),
    Take(PendingClaim, oneshot::Sender<Result<(), Failure>>),
}

/// The row of a claimed key.
#[derive(Deserialize, Serialize)]
struct Row {
    request: String,
}

/// The questions that may wait; further calls are refused.
pub(super) const RING: usize = 512;

/// How long a repeat of a key is recognised. Callers that got no answer ask
/// again within minutes; an hour of keys at today's rate is some 50,000 rows.
const WINDOW: Millis = Millis(3_600_000);

/// How often old keys are looked for while no call comes.
const LOOK: Millis = Millis(1_000);

/// Claims until the program stops.
pub(super) async fn run(
    context: Context,
    platform: SocketAddr,
    instance: String,
    mut questions: mpsc::Receiver<Claim>,
) {
    context.mark_drained();
    let mut claimer = Claimer {
        claims: ClaimQueue::new(WINDOW),
        context: context.clone(),
        instance,
        platform: PlatformClient::open(platform),
        replies: HashMap::new(),
        written: 0,
    };
    loop {
        tokio::select! {
            Some(question) = questions.recv() => claimer.take(question),
            () = tokio::time::sleep(LOOK.as_duration()) => {}
            () = context.reached(Phase::Stopped) => return,
        }
        // All that came while the last transaction was under way goes into
        // the next one.
        while let Ok(question) = questions.try_recv() {
            claimer.take(question);
        }
        claimer.write_all(&mut questions).await;
    }
}

/// The path of a team's request key in the table.
pub(super) fn path(team: &str, key: &str) -> String {
    let hash = blake3::hash(key.as_bytes()).to_hex();
    format!("claims/{team}/{hash}")
}

struct Claimer {
    claims: ClaimQueue,
    context: Context,
    instance: String,
    platform: PlatformClient,
    replies: HashMap<RequestId, oneshot::Sender<Result<(), Failure>>>,
    written: u64,
}

impl Claimer {
    fn take(&mut self, question: Claim) {
        match question {
            Claim::Release(path) => self.claims.release(&path),
            Claim::Take(wanted, reply) => {
                let request = wanted.request;
                if self.claims.push(wanted) {
                    self.replies.insert(request, reply);
                } else {
                    let detail = "too many request keys wait to be claimed";
                    let failure = Failure::not_run(Cause::Overloaded, detail);
                    let _ = reply.send(Err(failure.retry_after(Millis(500))));
                }
            }
        }
    }

    async fn write_all(&mut self, questions: &mut mpsc::Receiver<Claim>) {
        while let Some(batch) = self.claims.next_batch(self.context.clock.now()) {
            self.write(batch).await;
            while let Ok(question) = questions.try_recv() {
                self.take(question);
            }
        }
    }

    async fn write(&mut self, batch: Batch) {
        let transaction = self.transaction(&batch);
        match self.platform.transact(&transaction).await {
            Ok(TransactionOutcome::Committed(versions)) => {
                let now = self.context.clock.now();
                self.claims.committed(now, &batch, &versions);
                for wanted in &batch.claims {
                    self.settle(wanted, ClaimOutcome::Granted);
                }
            }
            Ok(TransactionOutcome::Conflict { path, .. }) => {
                if let Some(lost) = self.claims.conflicted(batch, &path) {
                    let owner = self.owner(&path).await;
                    self.settle(&lost, ClaimOutcome::Taken(owner));
                }
            }
            // Without the table nobody can tell whether the key is new: the
            // call is refused, truthfully as not run, and never run twice.
            Err(error) => {
                tracing::warn!(%error, "keys not claimed");
                for wanted in &batch.claims {
                    self.settle(wanted, ClaimOutcome::Undecided);
                }
            }
        }
    }

    fn settle(&mut self, wanted: &PendingClaim, ruling: ClaimOutcome) {
        let Some(reply) = self.replies.remove(&wanted.request) else {
            return;
        };
        let told = reply.send(match ruling {
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
        // The caller went away or its deadline passed meanwhile: the call
        // will not be made, so its key is free again.
        if told.is_err() && ruling == ClaimOutcome::Granted {
            self.claims.release(&wanted.path);
        }
    }

    async fn owner(&self, path: &str) -> Option<RequestId> {
        let row = self.platform.get(path).await.ok()??;
        let row: Row = serde_json::from_str(&row.value).ok()?;
        row.request.parse().ok()
    }

    fn transaction(&mut self, batch: &Batch) -> Transaction {
        self.written += 1;
        let token = stable_hash(&[
            self.instance.as_bytes(),
            &self.context.clock.now().0.to_le_bytes(),
            &self.written.to_le_bytes(),
        ]);
        let claims = batch.claims.iter().map(|wanted| Write {
            expect: 0,
            path: wanted.path.clone(),
            value: serde_json::to_string(&Row {
                request: wanted.request.to_string(),
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
