//! How the rollout duty gets, keeps and gives up trainers' leases.

use super::{
    rollout::{Asked, Rollout, Told, TrainerKey},
    trainer::Ownership, //
};
use crate::{
    base::{Cause, Failure, Millis, stable_hash},
    policy::lease::{Claimant, LEASE_DURATION, LEASE_PREFIX, Lease, LeaseAction, LeaseWatch}, //
    table::{PlatformClient, PlatformError, Transaction, TransactionOutcome, Write},
};

/// How long a look at the row counts as fresh.
pub(super) const FRESH: Millis = Millis(1_000);

/// How often a lease that is held or wanted is looked at.
const LOOK: Millis = Millis(500);

/// A lease is wanted for this long after the trainer's last request.
const WANTED: Millis = Millis(30_000);

/// What a look at a lease's row found.
pub(super) struct Look {
    /// The row, and whether this entry wrote it just now; an error when the
    /// table gave no answer.
    found: Result<(Option<Lease>, bool), PlatformError>,
}

impl Rollout {
    /// Looks at the leases that are due, and forgets trainers that are gone.
    pub(super) fn tend_leases(&mut self, now: Millis) {
        let due: Vec<TrainerKey> = self
            .trainers
            .iter()
            .filter(|(_, trainer)| !trainer.looking && now.since(trainer.seen) >= LOOK)
            .filter(|(_, trainer)| trainer.epoch().is_some() || now.since(trainer.wanted) < WANTED)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.look(&key);
        }
        self.trainers.retain(|_, trainer| {
            trainer.epoch().is_some() || trainer.looking || now.since(trainer.wanted) < WANTED
        });
        if self.draining {
            self.hand_over_all();
        }
    }

    /// Begins a look at the lease of `key`, with a write if one is due.
    pub(super) fn look(&mut self, key: &TrainerKey) {
        let Some(trainer) = self.trainers.get_mut(key).filter(|t| !t.looking) else {
            return;
        };
        trainer.looking = true;
        let look = Looker {
            clock: self.clock,
            me: self.me.clone(),
            path: path(key),
            platform: self.platform.clone(),
            watch: trainer.watch.clone(),
        };
        let (key, told) = (key.clone(), self.told.clone());
        tokio::task::spawn_local(async move {
            let found = look.run().await;
            let outcome = Look { found };
            let _ = told.send(Told::Lease { key, outcome }).await;
        });
    }

    /// Takes in what a look found, and answers the questions that waited.
    pub(super) fn on_look(&mut self, key: &TrainerKey, look: Look) {
        let now = self.clock.now();
        let me = self.me.clone();
        let Some(trainer) = self.trainers.get_mut(key) else {
            return;
        };
        trainer.looking = false;
        let before = trainer.epoch();
        match look.found {
            Ok((row, _)) => {
                trainer.seen = now;
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
                trainer.seen = now;
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
            trainer.lose();
        }
        self.answer_waiting(key);
    }

    fn answer_waiting(&mut self, key: &TrainerKey) {
        let Some(trainer) = self.trainers.get_mut(key) else {
            return;
        };
        let known = !matches!(trainer.ownership, Ownership::Unknown);
        for question in std::mem::take(&mut trainer.waiting) {
            if known {
                self.on_question(question);
                continue;
            }
            let detail = "the trainer's owner can't be found out: the table gives no answer";
            let failure = Failure::not_run(Cause::StoreDown, detail).retry_after(Millis(500));
            let _ = question.reply.send(Asked::Answer(Err(failure)));
        }
    }

    /// A stopping entry gives its leases back, so that the next owner need
    /// not wait until they lapse. The trainer submits its step there again.
    fn hand_over_all(&mut self) {
        for (key, trainer) in std::mem::take(&mut self.trainers) {
            let Some(epoch) = trainer.epoch() else {
                continue;
            };
            let (platform, path) = (self.platform.clone(), path(&key));
            let me = self.me.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = give_back(&platform, &path, &me, epoch).await {
                    tracing::warn!(%error, path, "lease not given back; it will lapse");
                }
            });
        }
    }
}

/// The row of a trainer's lease.
pub(super) fn path((team, trainer): &TrainerKey) -> String {
    format!("{LEASE_PREFIX}{team}/{trainer}")
}

/// One look at a row, apart from the duty's loop.
struct Looker {
    clock: crate::base::Clock,
    me: Claimant,
    path: String,
    platform: PlatformClient,
    watch: LeaseWatch,
}

impl Looker {
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
        let write = write(&self.path, version, &next, &self.me, content);
        match self.platform.transact(&write).await? {
            TransactionOutcome::Committed(_) => Ok((Some(next), true)),
            TransactionOutcome::Conflict { .. } => Ok((lease, false)),
        }
    }
}

async fn give_back(
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
    let write = write(path, row.version, &free, me, (epoch, u64::MAX));
    platform.transact(&write).await.map(|_| ())
}

fn write(
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
