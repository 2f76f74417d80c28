//! How the rollout duty gets, keeps and gives up trainers' leases.

use super::{
    rollout::{Rollout, TaskReport, TrainerKey, TrainerReply},
    trainer::Ownership, //
};
use crate::{
    base::{Cause, Failure, Millis, stable_hash},
    policy::lease::{Claimant, LEASE_DURATION, LEASE_PREFIX, Lease, LeaseAction, LeaseWatch}, //
    table::{Platform, StoreError, Transaction, Write, Written},
};

/// How long a look at the row counts as fresh.
pub(super) const MAX_LEASE_AGE: Millis = Millis(1_000);

/// How often a lease that is held or wanted is looked at.
const CHECK_INTERVAL: Millis = Millis(500);

/// A lease is wanted for this long after the trainer's last request.
const LEASE_IDLE_TIMEOUT: Millis = Millis(30_000);

/// What a look at a lease's row found.
pub(super) struct LeaseCheck {
    /// The row, and whether this entry wrote it just now; an error when the
    /// table gave no answer.
    found: Result<(Option<Lease>, bool), StoreError>,
}

impl Rollout {
    /// Looks at the leases that are due, and forgets trainers that are gone.
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

    /// Begins a look at the lease of `key`, with a write if one is due.
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

    /// Takes in what a look found, and answers the questions that waited.
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
            // The table is down. A lease that is held stays held: nobody else
            // can take it either, and the trainer refuses whatever comes from
            // an older epoch than it has seen. Where nothing is known, nothing
            // can be taken: two entries could both believe they own it.
            Err(error) => {
                tracing::warn!(%error, trainer = key.1, "lease not seen");
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
                "step owner"
            );
        }
        if before.is_some() && before != after {
            trainer.clear_steps();
        }
        self.answer_deferred(key);
    }

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

    /// A stopping entry gives its leases back, so that the next owner need
    /// not wait until they lapse. The trainer submits its step there again.
    fn release_leases(&mut self) {
        for (key, trainer) in std::mem::take(&mut self.trainers) {
            let Some(epoch) = trainer.epoch() else {
                continue;
            };
            let (platform, path) = (self.platform.clone(), lease_path(&key));
            let me = self.me.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = release_lease(&platform, &path, &me, epoch).await {
                    tracing::warn!(%error, path, "lease not given back; it will lapse");
                }
            });
        }
    }
}

/// The row of a trainer's lease.
pub(super) fn lease_path((team, trainer): &TrainerKey) -> String {
    format!("{LEASE_PREFIX}{team}/{trainer}")
}

/// One look at a row, apart from the duty's loop.
struct LeaseChecker {
    clock: crate::base::Clock,
    me: Claimant,
    path: String,
    platform: Platform,
    watch: LeaseWatch,
}

impl LeaseChecker {
    async fn run(mut self) -> Result<(Option<Lease>, bool), StoreError> {
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
            Written::Committed(_) => Ok((Some(next), true)),
            Written::Conflict { .. } => Ok((lease, false)),
        }
    }
}

async fn release_lease(
    platform: &Platform,
    path: &str,
    me: &Claimant,
    epoch: u64,
) -> Result<(), StoreError> {
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
