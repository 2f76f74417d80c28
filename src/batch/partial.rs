//! What has been generated of an item that is not finished.

use serde::{
    Deserialize,
    Serialize, //
};

/// The events of an item so far, kept so that another run can go on after them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Partial {
    /// The data of each event, from the first on.
    pub events: Vec<String>,
    /// The number of the last event.
    pub last: u64,
    /// The weight versions that generated them.
    pub versions: Vec<u64>,
}
