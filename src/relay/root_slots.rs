//! The root slots of a group, kept in the store.

use super::handle::Relay;
use crate::{
    batch::{decode, encode},
    policy::relay::{ROOT_COUNT, first_slot},
    store::{Key, StoreError, Transaction, TransactionOutcome}, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// The table of roots: a part for each group, a row for each slot.
///
/// A row only tells where to ask for changes. Two instances that believe they hold the same
/// slot do no harm: both read the store.
const ROOTS_TABLE: &str = "roots";

/// The value of a slot's row: the instance that holds the slot.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Holder {
    address: SocketAddr,
    instance: String,
}

/// A slot as last read from the store.
#[derive(Clone, Debug, Default)]
struct RootSlot {
    holder: Option<Holder>,
    /// 0 for a slot that was never claimed.
    revision: u64,
}

/// The root slots of one group as last read; empty before the first read.
#[derive(Debug, Default)]
pub(super) struct RootSlots(Vec<RootSlot>);

impl RootSlots {
    /// Whether the instance at `address` holds a slot.
    pub(super) fn is_held_by(&self, address: SocketAddr) -> bool {
        self.holders().any(|holder| holder == address)
    }

    /// Whether some slot has no holder.
    pub(super) fn has_free(&self) -> bool {
        self.0.iter().any(|slot| slot.holder.is_none())
    }

    /// The addresses of the roots.
    pub(super) fn holders(&self) -> impl Iterator<Item = SocketAddr> {
        let holders = self.0.iter().filter_map(|slot| slot.holder.as_ref());
        holders.map(|holder| holder.address)
    }

    /// Reads the slots from the store. On an error the slots keep their last state.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store is unreachable or the call failed.
    pub(super) async fn read(&mut self, relay: &Relay) -> Result<(), StoreError> {
        if relay.store.is_unreachable() {
            return Err(StoreError::Unreachable);
        }
        let group = &relay.identity.group;
        let listing = relay.store.rows(ROOTS_TABLE, group, "", ROOT_COUNT).await?;
        let mut slots = vec![RootSlot::default(); ROOT_COUNT];
        for row in listing.rows {
            let number = row.key.parse::<usize>().ok();
            let slot = number.and_then(|number| slots.get_mut(number));
            let (Some(slot), Some(value)) = (slot, row.value) else {
                continue;
            };
            slot.holder = decode("root", &value);
            slot.revision = row.revision;
        }
        self.0 = slots;
        Ok(())
    }

    /// Claims a slot that has no holder or whose holder can't be reached. Returns false if
    /// there is none, or if another instance changed the slot first.
    pub(super) async fn claim(&mut self, relay: &Relay) -> bool {
        let Some(number) = self.free_slot(relay) else {
            return false;
        };
        let slot = &mut self.0[number];
        let holder = Holder {
            address: relay.identity.address,
            instance: relay.identity.instance.clone(),
        };
        let key = Key::new(ROOTS_TABLE, &relay.identity.group, number.to_string());
        let transaction = Transaction {
            expect: vec![(key.clone(), slot.revision)],
            remove: Vec::new(),
            set: vec![(key, encode(&holder))],
        };
        let Ok(TransactionOutcome::Done { revision }) = relay.store.transact(&transaction).await
        else {
            return false;
        };
        let before = slot.holder.as_ref().map(|holder| &holder.instance);
        tracing::info!(number, ?before, "root slot claimed");
        *slot = RootSlot {
            holder: Some(holder),
            revision,
        };
        true
    }

    /// The slot that this instance may claim. Instances start their search at different
    /// slots, so that they compete less.
    fn free_slot(&self, relay: &Relay) -> Option<usize> {
        let now = relay.clock.now();
        let is_free = |slot: &RootSlot| match &slot.holder {
            None => true,
            Some(holder) => relay.parents().is_gone(holder.address, now),
        };
        let (first, count) = (first_slot(&relay.identity.instance), self.0.len());
        let mut turns = (0..count).map(|turn| (first + turn) % count);
        turns.find(|number| is_free(&self.0[*number]))
    }
}
