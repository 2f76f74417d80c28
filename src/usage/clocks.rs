//! True time, as the gateways agree on it.

use super::rows::{
    CLOCKS,
    ClockRow,
    GatewayRun,
    USAGE, //
};
use crate::{
    base::{Clock, Millis},
    batch::{decode, encode},
    platform::Store,
    policy::usage::middle,
    store::{StoreError, Transaction}, //
};
use std::sync::atomic::{
    AtomicI64,
    Ordering, //
};

/// Tells true time: the store's steady clock, and the offset from it that the middle
/// one of all gateways' clocks has. One whose clock was set wrong, or that was
/// suspended, would count requests in other windows than they belong to.
pub(super) struct SyncedClock {
    clock: Clock,
    offset: AtomicI64,
    store: Store,
}

/// How long a gateway's row counts: three times the time between two of them.
const CLOCK_ROW_LIFETIME: Millis = Millis(15_000);

impl SyncedClock {
    pub(super) fn new(clock: Clock, store: Store) -> Self {
        Self {
            clock,
            offset: AtomicI64::new(0),
            store,
        }
    }

    /// The present point in true time.
    pub(super) fn now(&self) -> Millis {
        match self.offset.load(Ordering::Relaxed) {
            0 => self.clock.wall(),
            offset => Millis(self.store.now().0.saturating_add_signed(offset)),
        }
    }

    /// The gateways that were heard of lately, beside that of `run`.
    pub(super) async fn live_gateways(&self, run: &GatewayRun) -> Result<Vec<String>, StoreError> {
        let other_offsets = self.other_offsets(run).await?;
        Ok(other_offsets
            .into_iter()
            .map(|(instance, _)| instance)
            .collect())
    }

    /// What the clocks of the others say that were heard of lately.
    async fn other_offsets(&self, run: &GatewayRun) -> Result<Vec<(String, i64)>, StoreError> {
        let listing = self.store.whole_part(USAGE, CLOCKS).await?;
        let now = self.store.now();
        let rows = listing.rows.into_iter().filter_map(|row| {
            let clock = decode::<ClockRow>("clock", &row.value?)?;
            let counts = now.since(clock.at) < CLOCK_ROW_LIFETIME && row.key != run.instance;
            counts.then_some((row.key, clock.offset))
        });
        Ok(rows.collect())
    }

    /// Tells the others what this gateway's clock says, and takes the middle of what
    /// all say.
    pub(super) async fn synchronise(&self, run: &GatewayRun) -> Result<(), StoreError> {
        let other_offsets = self.other_offsets(run).await?;
        let now = self.store.now();
        let own = self.clock.wall().0.cast_signed() - now.0.cast_signed();
        let mut offsets: Vec<i64> = other_offsets
            .into_iter()
            .map(|(_, offset)| offset)
            .collect();
        offsets.push(own);
        if let Some(offset) = middle(&mut offsets) {
            let before = self.offset.swap(offset, Ordering::Relaxed);
            if before.abs_diff(offset) > LOGGED_SHIFT_MS {
                let gateways = offsets.len();
                tracing::info!(
                    own,
                    offset,
                    before,
                    gateways,
                    "true time by all gateways' clocks"
                );
            }
        }
        let row = ClockRow {
            at: now,
            offset: own,
        };
        let transaction = Transaction {
            set: vec![(run.clock_key(), encode(&row))],
            ..Transaction::default()
        };
        self.store.transact(&transaction).await?;
        Ok(())
    }
}

/// Changes of the offset from which on they are told, in ms.
const LOGGED_SHIFT_MS: u64 = 20;
