//! True time, as the gateways agree on it.

use super::rows::{
    Author,
    CLOCKS,
    ClockRow,
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

/// Tells true time: the store's steady clock, and the offset from it that the median
/// one of all gateways' clocks has. One whose clock was set wrong, or that was
/// suspended, would count requests in other windows than they belong to.
pub(super) struct Clocks {
    clock: Clock,
    offset: AtomicI64,
    store: Store,
}

/// How long a gateway's row counts: three times the time between two of them.
const HEARD_WITHIN: Millis = Millis(15_000);

impl Clocks {
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

    /// The gateways that were heard of lately, beside that of `author`.
    pub(super) async fn heard(&self, author: &Author) -> Result<Vec<String>, StoreError> {
        let others = self.others(author).await?;
        Ok(others.into_iter().map(|(instance, _)| instance).collect())
    }

    /// What the clocks of the others say that were heard of lately.
    async fn others(&self, author: &Author) -> Result<Vec<(String, i64)>, StoreError> {
        let listing = self.store.whole_part(USAGE, CLOCKS).await?;
        let now = self.store.now();
        let rows = listing.rows.into_iter().filter_map(|row| {
            let clock = decode::<ClockRow>("clock", &row.value?)?;
            let counts = now.since(clock.at) < HEARD_WITHIN && row.key != author.instance;
            counts.then_some((row.key, clock.offset))
        });
        Ok(rows.collect())
    }

    /// Tells the others what this gateway's clock says, and takes the median of what
    /// all say.
    pub(super) async fn settle(&self, author: &Author) -> Result<(), StoreError> {
        let others = self.others(author).await?;
        let now = self.store.now();
        let own = self.clock.wall().0.cast_signed() - now.0.cast_signed();
        let mut offsets: Vec<i64> = others.into_iter().map(|(_, offset)| offset).collect();
        offsets.push(own);
        if let Some(offset) = median(&mut offsets) {
            let before = self.offset.swap(offset, Ordering::Relaxed);
            if before.abs_diff(offset) > TOLD_FROM {
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
        let write = Transaction {
            set: vec![(author.clock_key(), encode(&row))],
            ..Transaction::default()
        };
        self.store.transact(&write).await?;
        Ok(())
    }
}

/// Changes of the offset from which on they are told, in ms.
const TOLD_FROM: u64 = 20;
