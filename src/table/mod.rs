//! Client of the platform's table, object store and instance list.

mod client;
mod instance;
mod json_client;
mod platform_error;
mod write;

pub use self::{
    client::{EntityTag, Listing, PlatformClient, Row},
    instance::{Instance, InstanceState},
    json_client::{HttpError, JsonClient},
    platform_error::PlatformError,
    write::{Transaction, TransactionOutcome, Write}, //
};
