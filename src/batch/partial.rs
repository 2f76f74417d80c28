//! The output so far of an item that is not finished.

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    de::Error, //
};

/// The events of an unfinished item, stored so that another run can resume after them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Partial {
    /// The data of each event, starting with the first.
    pub events: Vec<String>,
    /// The id of the last event.
    #[serde(deserialize_with = "event_id")]
    pub last: u64,
    /// The weight versions that generated the events.
    pub versions: Vec<u64>,
}

/// Decodes the id of an event that another one may follow.
fn event_id<'de, D: Deserializer<'de>>(decoder: D) -> Result<u64, D::Error> {
    let id = u64::deserialize(decoder)?;
    match id.checked_add(1) {
        Some(_) => Ok(id),
        None => Err(D::Error::custom("no event can follow the last one")),
    }
}
