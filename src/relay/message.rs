//! What instances say to each other.

use crate::{
    base::Millis,
    store::{Listing, Row}, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// What an instance asks another one.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct RelayRequest {
    /// Where the one that asks can be asked itself.
    pub(super) at: SocketAddr,
    /// The instance that asks.
    pub(super) from: String,
    /// How long the answer may wait for something to tell.
    pub(super) hold: Millis,
    pub(super) want: Want,
}

#[derive(Debug, Deserialize, Serialize)]
pub(super) enum Want {
    /// The rows of `table` that changed after the revision `after`; all for 0.
    Changes { after: u64, table: String },
    /// To be fed from now on.
    Join,
}

/// What it answers.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum Reply {
    /// The changes asked for are no longer kept, or not yet.
    Forgotten,
    /// It feeds as many as it can; those at these addresses may feed more.
    Full(Vec<SocketAddr>),
    Joined,
    /// It does not learn of changes itself.
    Lost,
    Page(Page),
}

/// Changes of a table.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Page {
    /// How long ago the store has told what is told here.
    pub(super) age: Millis,
    /// The revision up to which all changes are told.
    pub(super) revision: u64,
    pub(super) rows: Vec<Row>,
}

impl Page {
    /// Its rows, as if the store had told them.
    pub(super) fn into_listing(self) -> Listing {
        Listing {
            rows: self.rows,
            more: false,
            revision: self.revision,
        }
    }
}
