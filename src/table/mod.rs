//! Client of the platform's table, object store and instance list.

mod client;
mod instance;
mod json_client;
mod store_error;
mod write;

pub use self::{
    client::{Listing, Platform, Row, Tag},
    instance::{Instance, InstanceState},
    json_client::{HttpError, JsonClient},
    store_error::StoreError,
    write::{Transaction, Write, Written}, //
};
