//! Releases claims on bundles that this runner does not run.

use super::{
    open_batch::{HeldClaim, OpenBatch},
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{Claim, WORK, WorkKey, batch_part, encode},
    store::{Key, Transaction, TransactionOutcome}, //
};

/// How long after a claim was seen, or was tried to be released, it is released (again).
const RELEASE_DELAY: Millis = Millis(500);

impl WorkLoop {
    /// Releases claims that name this runner, as the holder or the second runner, although it does
    /// not run their bundles and has not taken them in this plan. Such a claim is written late,
    /// after its call got no answer. Other runners leave its bundle to this one.
    pub(super) fn plan_releases(&mut self, now: Millis) {
        if self.outage_start.is_some() {
            return;
        }
        let mut due = Vec::new();
        for (id, batch) in &mut self.batches {
            if batch.is_over() || batch.log_revision == 0 {
                continue;
            }
            for bundle in batch.unrun_claims(&self.instance, self.token) {
                let tried = batch.releases.get(&bundle).copied();
                let seen = batch.claims.get(&bundle).map(|held| held.seen_at);
                let since = tried.max(seen).unwrap_or_default();
                if now.since(since) >= RELEASE_DELAY {
                    batch.releases.insert(bundle, now);
                    due.push((id.clone(), bundle));
                }
            }
        }
        for (id, bundle) in due {
            tracing::info!(
                batch = id,
                bundle,
                "releasing a claim on a bundle that does not run here"
            );
            self.give_back(&id, bundle);
        }
    }

    /// Releases this runner's claim on `bundle`, or its part in the claim of another runner. A
    /// claim with a second runner keeps its holder.
    ///
    /// An engine may be back before any heartbeat has said that it was gone. Without the
    /// release, other runners considered the bundle held, while this runner had no free
    /// slot for it.
    pub(super) fn give_back(&self, id: &str, bundle: u16) {
        let Some(transaction) = self.release_transaction(id, bundle) else {
            return;
        };
        let (store, id) = (self.store.clone(), id.to_owned());
        tokio::spawn(async move {
            match store.transact(&transaction).await {
                Ok(TransactionOutcome::Done { .. }) => {
                    tracing::info!(batch = id, bundle, "bundle given back");
                }
                Ok(TransactionOutcome::Conflict { .. }) => {}
                Err(error) => tracing::info!(batch = id, bundle, %error, "bundle not given back"),
            }
        });
    }

    /// The write that releases this runner's claim on `bundle`, or its part in another one's;
    /// `None` if this runner has none, or a second runner runs the bundle as well.
    pub(super) fn release_transaction(&self, id: &str, bundle: u16) -> Option<Transaction> {
        let batch = self.batches.get(id)?;
        let held = batch.claims.get(&bundle)?;
        let is_second = held.claim.second.as_deref() == Some(&self.instance);
        let is_holder = batch.is_claimed_by(bundle, &self.instance, self.token);
        let claim = match (is_second, is_holder, &held.claim.second) {
            (true, _, _) => Claim {
                second: None,
                ..held.claim.clone()
            },
            (false, true, None) => Claim::released(),
            (false, _, _) => return None,
        };
        let key = Key::new(WORK, batch_part(id), WorkKey::Claim(bundle).to_string());
        Some(Transaction {
            expect: vec![(key.clone(), held.revision)],
            remove: Vec::new(),
            set: vec![(key, encode(&claim))],
        })
    }
}

impl OpenBatch {
    /// The unfinished bundles that the runner `instance` does not run although their claims name it:
    /// its incarnation `token` as the only holder, or any of its incarnations as the second runner.
    fn unrun_claims(&self, instance: &str, token: u64) -> Vec<u16> {
        let names = |claim: &HeldClaim| {
            let is_holder = claim.claim.holder == instance && claim.claim.token == token;
            // Only its second runner can release a claim that has one.
            let is_alone = is_holder && claim.claim.second.is_none();
            is_alone || claim.claim.second.as_deref() == Some(instance)
        };
        let claims = self.claims.iter().filter(|(_, claim)| names(claim));
        let bundles = claims.map(|(bundle, _)| *bundle);
        bundles
            .filter(|bundle| !self.own_bundles.contains_key(bundle))
            .filter(|bundle| !self.unfinished(*bundle).is_empty())
            .collect()
    }
}
