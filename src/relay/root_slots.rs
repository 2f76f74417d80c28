//! The places of the instances that ask the store for others.

use super::handle::Relay;
use crate::{
    batch::{decode, encode},
    policy::relay::{ROOTS, first_place},
    store::{Key, Outcome, StoreError, Transaction}, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// The table of roots: a part for each group, a row for each place.
///
/// A row is a hint where to ask. Two instances that take themselves for the same root do
/// no harm: both read the store.
const ROOTS_TABLE: &str = "roots";

/// What a place's row holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Holder {
    address: SocketAddr,
    instance: String,
}

/// A place and who holds it.
#[derive(Clone, Debug, Default)]
struct RootSlot {
    holder: Option<Holder>,
    /// 0 for one that was never taken.
    revision: u64,
}

/// The places of one group, as read last; none before that.
#[derive(Debug, Default)]
pub(super) struct RootSlots(Vec<RootSlot>);

impl RootSlots {
    /// Whether the instance at `address` holds one.
    pub(super) fn is_held_by(&self, address: SocketAddr) -> bool {
        self.holders().any(|holder| holder == address)
    }

    /// Whether one was never taken.
    pub(super) fn has_free(&self) -> bool {
        self.0.iter().any(|slot| slot.holder.is_none())
    }

    /// Where the roots can be asked.
    pub(super) fn holders(&self) -> impl Iterator<Item = SocketAddr> {
        let holders = self.0.iter().filter_map(|slot| slot.holder.as_ref());
        holders.map(|holder| holder.address)
    }

    /// Reads who holds them; what was known stays when the store does not tell.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store did not answer, or said why it can't.
    pub(super) async fn read(&mut self, relay: &Relay) -> Result<(), StoreError> {
        if relay.store.is_away() {
            return Err(StoreError::Unreachable);
        }
        let group = &relay.identity.group;
        let listing = relay.store.rows(ROOTS_TABLE, group, "", ROOTS).await?;
        let mut slots = vec![RootSlot::default(); ROOTS];
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

    /// Takes one that nobody holds, or whose holder is gone; false when there is none, or
    /// another was faster.
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
        let Ok(Outcome::Done { revision }) = relay.store.transact(&transaction).await else {
            return false;
        };
        let before = slot.holder.as_ref().map(|holder| &holder.instance);
        tracing::info!(number, ?before, "takes the place of a root");
        *slot = RootSlot {
            holder: Some(holder),
            revision,
        };
        true
    }

    /// The place that the instance of `relay` may take, another first one for each.
    fn free_slot(&self, relay: &Relay) -> Option<usize> {
        let now = relay.clock.now();
        let is_free = |slot: &RootSlot| match &slot.holder {
            None => true,
            Some(holder) => relay.feeders().is_gone(holder.address, now),
        };
        let (first, count) = (first_place(&relay.identity.instance), self.0.len());
        let mut turns = (0..count).map(|turn| (first + turn) % count);
        turns.find(|number| is_free(&self.0[*number]))
    }
}
