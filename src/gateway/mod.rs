//! The program that callers and trainers talk to: it answers calls by the
//! operators' routes, takes batches into the store and reads their results.

mod batches;
mod door;
mod front;
mod gateway_handle;
mod plain;
mod readiness;
mod reply;
mod streams;

pub use gateway_handle::Gateway;
