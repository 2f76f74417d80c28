//! A wall clock that all gateways agree on.

use super::rows::{
    CLOCKS,
    ClockRow,
    GatewayIncarnation,
    USAGE, //
};
use crate::{
    base::{Clock, Millis},
    batch::{decode, encode},
    platform::Store,
    policy::usage::median,
    store::{StoreError, Transaction}, //
};
use std::sync::atomic::{
    AtomicI64,
    Ordering, //
};

/// The store's steady clock plus the median offset of all gateways' clocks from it. With
/// its own clock, a gateway whose clock was set wrong or that was suspended would count
/// requests in the wrong windows.
pub(super) struct SyncedClock {
    clock: Clock,
    /// The agreed offset from the store's clock, in ms; 0 before the first synchronisation.
    offset: AtomicI64,
    store: Store,
}

/// How long a gateway's clock reading is used: three times the interval at which it is
/// written.
const CLOCK_ROW_LIFETIME: Millis = Millis(15_000);

impl SyncedClock {
    pub(super) fn new(clock: Clock, store: Store) -> Self {
        Self {
            clock,
            offset: AtomicI64::new(0),
            store,
        }
    }

    /// The current Unix time by the agreed clock; by the local clock before the first
    /// synchronisation.
    pub(super) fn now(&self) -> Millis {
        match self.offset.load(Ordering::Relaxed) {
            0 => self.clock.wall(),
            offset => Millis(self.store.now().0.saturating_add_signed(offset)),
        }
    }

    /// The instance names of the gateways with a recent clock reading, without `gateway`'s.
    pub(super) async fn live_gateways(
        &self,
        gateway: &GatewayIncarnation,
    ) -> Result<Vec<String>, StoreError> {
        let other_offsets = self.other_offsets(gateway).await?;
        Ok(other_offsets
            .into_iter()
            .map(|(instance, _)| instance)
            .collect())
    }

    /// The recent clock offsets of the other gateways, with their instance names.
    async fn other_offsets(
        &self,
        gateway: &GatewayIncarnation,
    ) -> Result<Vec<(String, i64)>, StoreError> {
        let listing = self.store.whole_part(USAGE, CLOCKS).await?;
        let now = self.store.now();
        let rows = listing.rows.into_iter().filter_map(|row| {
            let clock = decode::<ClockRow>("clock", &row.value?)?;
            let is_used = now.since(clock.at) < CLOCK_ROW_LIFETIME && row.key != gateway.instance;
            is_used.then_some((row.key, clock.offset))
        });
        Ok(rows.collect())
    }

    /// Sets the offset to the median of all gateways' offsets, and publishes this gateway's
    /// own.
    pub(super) async fn synchronise(&self, gateway: &GatewayIncarnation) -> Result<(), StoreError> {
        let other_offsets = self.other_offsets(gateway).await?;
        let now = self.store.now();
        let own = self.clock.wall().0.cast_signed() - now.0.cast_signed();
        let mut offsets: Vec<i64> = other_offsets
            .into_iter()
            .map(|(_, offset)| offset)
            .collect();
        offsets.push(own);
        if let Some(offset) = median(&mut offsets) {
            let before = self.offset.swap(offset, Ordering::Relaxed);
            if before.abs_diff(offset) > LOGGED_SHIFT_MS {
                let gateways = offsets.len();
                tracing::info!(own, offset, before, gateways, "clock offset changed");
            }
        }
        let row = ClockRow {
            at: now,
            offset: own,
        };
        let transaction = Transaction {
            set: vec![(gateway.clock_key(), encode(&row))],
            ..Transaction::default()
        };
        self.store.transact(&transaction).await?;
        Ok(())
    }
}

/// A change of the offset by more than this is logged.
const LOGGED_SHIFT_MS: u64 = 20;
