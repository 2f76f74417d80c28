//! The output so far of an item that is not finished.

use serde::{
    Deserialize,
    Serialize, //
};

/// The events of an unfinished item, stored so that another run can resume after them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Partial {
    /// The data of each event, starting with the first.
    pub events: Vec<String>,
    /// The id of the last event.
    pub last: u64,
    /// The weight versions that generated the events.
    pub versions: Vec<u64>,
}
