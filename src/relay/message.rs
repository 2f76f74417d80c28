//! Messages between the instances of a relay tree.

use crate::{
    base::Millis,
    store::{Listing, Row}, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// A request to an instance, from a child or from an instance that looks for a parent.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct RelayRequest {
    /// The address at which the sender takes relay requests.
    pub(super) at: SocketAddr,
    /// The sender's instance name.
    pub(super) from: String,
    /// How long the receiver may hold the request until it has something to answer.
    pub(super) hold: Millis,
    pub(super) want: Want,
}

/// What a request asks for.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum Want {
    /// The rows of `table` that changed after the revision `after`; all rows if 0.
    Changes { after: u64, table: String },
    /// To become a child of the receiver.
    Join,
}

/// The answer to a [`RelayRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum Reply {
    /// The receiver no longer has all the requested changes, or doesn't have them yet.
    Forgotten,
    /// The receiver has as many children as it may have. The addresses are theirs, as they
    /// may take more children.
    Full(Vec<SocketAddr>),
    /// The sender is now a child of the receiver.
    Joined,
    /// The receiver doesn't get changes itself at present.
    Lost,
    /// The requested changes.
    Page(Page),
}

/// Changes of a table.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Page {
    /// How long ago the store confirmed the state that the page reflects.
    pub(super) age: Millis,
    /// The revision up to which the page is complete.
    pub(super) revision: u64,
    pub(super) rows: Vec<Row>,
}

impl Page {
    /// Converts the page to a listing as the store would return it.
    pub(super) fn into_listing(self) -> Listing {
        Listing {
            rows: self.rows,
            more: false,
            revision: self.revision,
        }
    }
}
