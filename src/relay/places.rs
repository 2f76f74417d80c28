//! The places of the instances that ask the store for others.

use super::handle::Relay;
use crate::{
    batch::{decode, encode},
    policy::relay::{ROOTS, first_slot},
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
struct Place {
    holder: Option<Holder>,
    /// 0 for one that was never taken.
    revision: u64,
}

/// The places of one group, as read last; none before that.
#[derive(Debug, Default)]
pub(super) struct Places(Vec<Place>);

impl Places {
    /// Whether the instance at `address` holds one.
    pub(super) fn has(&self, address: SocketAddr) -> bool {
        self.holders().any(|holder| holder == address)
    }

    /// Whether one was never taken.
    pub(super) fn has_free(&self) -> bool {
        self.0.iter().any(|place| place.holder.is_none())
    }

    /// Where the roots can be asked.
    pub(super) fn holders(&self) -> impl Iterator<Item = SocketAddr> {
        let holders = self.0.iter().filter_map(|place| place.holder.as_ref());
        holders.map(|holder| holder.address)
    }

    /// Reads who holds them; what was known stays when the store does not tell.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store did not answer, or said why it can't.
    pub(super) async fn read(&mut self, relay: &Relay) -> Result<(), StoreError> {
        if relay.store.is_away() {
            return Err(StoreError::Away);
        }
        let group = &relay.seat.group;
        let listing = relay.store.rows(ROOTS_TABLE, group, "", ROOTS).await?;
        let mut places = vec![Place::default(); ROOTS];
        for row in listing.rows {
            let number = row.key.parse::<usize>().ok();
            let place = number.and_then(|number| places.get_mut(number));
            let (Some(place), Some(value)) = (place, row.value) else {
                continue;
            };
            place.holder = decode("root", &value);
            place.revision = row.revision;
        }
        self.0 = places;
        Ok(())
    }

    /// Takes one that nobody holds, or whose holder is gone; false when there is none, or
    /// another was faster.
    pub(super) async fn take(&mut self, relay: &Relay) -> bool {
        let Some(number) = self.free(relay) else {
            return false;
        };
        let place = &mut self.0[number];
        let holder = Holder {
            address: relay.seat.address,
            instance: relay.seat.instance.clone(),
        };
        let key = Key::new(ROOTS_TABLE, &relay.seat.group, number.to_string());
        let transaction = Transaction {
            expect: vec![(key.clone(), place.revision)],
            remove: Vec::new(),
            set: vec![(key, encode(&holder))],
        };
        let Ok(Outcome::Done { revision }) = relay.store.transact(&transaction).await else {
            return false;
        };
        let before = place.holder.as_ref().map(|holder| &holder.instance);
        tracing::info!(number, ?before, "takes the place of a root");
        *place = Place {
            holder: Some(holder),
            revision,
        };
        true
    }

    /// The place that the instance of `relay` may take, another first one for each.
    fn free(&self, relay: &Relay) -> Option<usize> {
        let now = relay.clock.now();
        let is_free = |place: &Place| match &place.holder {
            None => true,
            Some(holder) => relay.feeders().is_gone(holder.address, now),
        };
        let (first, count) = (first_slot(&relay.seat.instance), self.0.len());
        let mut turns = (0..count).map(|turn| (first + turn) % count);
        turns.find(|number| is_free(&self.0[*number]))
    }
}
