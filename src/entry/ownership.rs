//! How the rollout duty acquires, renews and releases trainers' leases.

use super::{
    rollout::{Rollout, TaskReport, TrainerKey, TrainerReply},
    trainer::Ownership, //
};
use crate::{
    base::{Cause, Failure, Millis, stable_hash},
    policy::lease::{Claimant, LEASE_DURATION, LEASE_PREFIX, Lease, LeaseAction, LeaseWatch}, //
    table::{PlatformClient, PlatformError, Transaction, TransactionOutcome, Write},
};

/// How long the result of a check may be used to forward requests to another entry.
pub(super) const MAX_LEASE_AGE: Millis = Millis(1_000);

/// How often a lease that this entry holds or tries to acquire is checked.
const CHECK_INTERVAL: Millis = Millis(500);

/// How long after a trainer's last request this entry tries to acquire its lease. A lease
/// that is held is renewed without this limit.
const LEASE_IDLE_TIMEOUT: Millis = Millis(30_000);

/// The result of a check of a lease.
pub(super) struct LeaseCheck {
    /// The row, and whether this check wrote it; an error if the table did not answer.
    found: Result<(Option<Lease>, bool), PlatformError>,
}

impl Rollout {
    /// Starts the checks that are due, and forgets idle trainers that this entry does not
    /// own. Releases all leases if the entry drains.
    pub(super) fn check_leases(&mut self, now: Millis) {
        let due: Vec<TrainerKey> = self
            .trainers
            .iter()
            .filter(|(_, trainer)| {
                !trainer.checking && now.since(trainer.checked_at) >= CHECK_INTERVAL
            })
            .filter(|(_, trainer)| {
                trainer.epoch().is_some() || now.since(trainer.last_request) < LEASE_IDLE_TIMEOUT
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.check_lease(&key);
        }
        self.trainers.retain(|_, trainer| {
            trainer.epoch().is_some()
                || trainer.checking
                || now.since(trainer.last_request) < LEASE_IDLE_TIMEOUT
        });
        if self.draining {
            self.release_leases();
        }
    }

    /// Starts a check of the lease of the trainer `key`, in a task of its own, unless one is
    /// in progress. The check also acquires or renews the lease if that is due.
    pub(super) fn check_lease(&mut self, key: &TrainerKey) {
        let Some(trainer) = self.trainers.get_mut(key).filter(|t| !t.checking) else {
            return;
        };
        trainer.checking = true;
        let check = LeaseChecker {
            clock: self.clock,
            me: self.me.clone(),
            path: lease_path(key),
            platform: self.platform.clone(),
            watch: trainer.watch.clone(),
        };
        let (key, reports) = (key.clone(), self.reports.clone());
        tokio::task::spawn_local(async move {
            let found = check.run().await;
            let outcome = LeaseCheck { found };
            let _ = reports.send(TaskReport::Lease { key, outcome }).await;
        });
    }

    /// Records the result of a check, and answers the requests that waited for it.
    pub(super) fn on_lease_check(&mut self, key: &TrainerKey, check: LeaseCheck) {
        let now = self.clock.now();
        let me = self.me.clone();
        let Some(trainer) = self.trainers.get_mut(key) else {
            return;
        };
        trainer.checking = false;
        let before = trainer.epoch();
        match check.found {
            Ok((row, _)) => {
                trainer.checked_at = now;
                trainer.watch.observe(now, row.clone());
                trainer.ownership = match row {
                    Some(row) if me.holds(&row) => Ownership::Mine(row.epoch),
                    Some(row) if !row.holder.is_empty() => Ownership::Elsewhere(row),
                    Some(_) | None => Ownership::Unknown,
                };
            }
            // The table does not answer. A lease that is held stays held: no other entry
            // can take it either, and the trainer refuses answers of an older epoch than it
            // has seen. A trainer whose owner is unknown is not taken over: two entries
            // could both believe that they own it.
            Err(error) => {
                tracing::warn!(%error, trainer = key.1, "could not check the lease of a trainer");
                trainer.checked_at = now;
            }
        }

        let after = trainer.epoch();
        if before != after {
            tracing::info!(
                target: "decision",
                team = key.0,
                trainer = key.1,
                epoch = after,
                reason = if after.is_some() { "lease taken" } else { "lease lost" },
                "ownership of a trainer changed"
            );
        }
        if before.is_some() && before != after {
            trainer.clear_steps();
        }
        self.answer_deferred(key);
    }

    /// Answers the requests that waited for a check; refuses them if the owner is still
    /// unknown.
    fn answer_deferred(&mut self, key: &TrainerKey) {
        let Some(trainer) = self.trainers.get_mut(key) else {
            return;
        };
        let known = !matches!(trainer.ownership, Ownership::Unknown);
        for request in std::mem::take(&mut trainer.deferred) {
            if known {
                self.on_request(request);
                continue;
            }
            let detail = "the trainer's owner can't be found out: the table gives no answer";
            let failure = Failure::not_run(Cause::StoreDown, detail).retry_after(Millis(500));
            let _ = request.reply.send(TrainerReply::Answer(Err(failure)));
        }
    }

    /// Releases all leases, so that the next owners need not wait until the leases expire.
    /// The trainers submit their steps again to the next owners.
    fn release_leases(&mut self) {
        for (key, trainer) in std::mem::take(&mut self.trainers) {
            let Some(epoch) = trainer.epoch() else {
                continue;
            };
            let (platform, path) = (self.platform.clone(), lease_path(&key));
            let me = self.me.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = release_lease(&platform, &path, &me, epoch).await {
                    tracing::warn!(%error, path, "could not release a lease; it will expire");
                }
            });
        }
    }
}

/// The path of the row of a trainer's lease.
pub(super) fn lease_path((team, trainer): &TrainerKey) -> String {
    format!("{LEASE_PREFIX}{team}/{trainer}")
}

/// One check of a lease, which runs outside of the duty's loop.
struct LeaseChecker {
    clock: crate::base::Clock,
    me: Claimant,
    path: String,
    platform: PlatformClient,
    watch: LeaseWatch,
}

impl LeaseChecker {
    /// Reads the row, and writes it if the lease is to be acquired or renewed.
    async fn run(mut self) -> Result<(Option<Lease>, bool), PlatformError> {
        let row = self.platform.get(&self.path).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let lease = row.and_then(|row| serde_json::from_str::<Lease>(&row.value).ok());
        let now = self.clock.now();
        self.watch.observe(now, lease.clone());
        let LeaseAction::Write(next) = self.watch.decide(now, &self.me, LEASE_DURATION) else {
            return Ok((lease, false));
        };
        let content = (next.epoch, next.renewals);
        let write = lease_transaction(&self.path, version, &next, &self.me, content);
        match self.platform.transact(&write).await? {
            TransactionOutcome::Committed(_) => Ok((Some(next), true)),
            TransactionOutcome::Conflict { .. } => Ok((lease, false)),
        }
    }
}

/// Releases a lease, if this process still holds it under `epoch`.
async fn release_lease(
    platform: &PlatformClient,
    path: &str,
    me: &Claimant,
    epoch: u64,
) -> Result<(), PlatformError> {
    let Some(row) = platform.get(path).await? else {
        return Ok(());
    };
    let lease = serde_json::from_str::<Lease>(&row.value).unwrap_or_default();
    if !me.holds(&lease) || lease.epoch != epoch {
        return Ok(());
    }
    let free = Lease {
        holder: String::new(),
        ..lease
    };
    let write = lease_transaction(path, row.version, &free, me, (epoch, u64::MAX));
    platform.transact(&write).await.map(|_| ())
}

/// The transaction that writes `lease` over version `expect`. `content` tells apart the
/// leases that a process may write over one version.
fn lease_transaction(
    path: &str,
    expect: u64,
    lease: &Lease,
    me: &Claimant,
    content: (u64, u64),
) -> Transaction {
    let token = stable_hash(&[
        path.as_bytes(),
        me.holder.as_bytes(),
        &me.incarnation.0.to_le_bytes(),
        &expect.to_le_bytes(),
        &content.0.to_le_bytes(),
        &content.1.to_le_bytes(),
    ]);
    Transaction {
        token: format!("lease-{token:016x}"),
        writes: vec![Write {
            expect,
            path: path.to_owned(),
            value: serde_json::to_string(lease).ok(),
        }],
    }
}
