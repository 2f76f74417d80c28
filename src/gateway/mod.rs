//! The program that callers and trainers talk to: it answers calls by the
//! operators' routes, takes batches into the store and reads their results.

mod access;
mod batches;
mod buffered;
mod frontend;
mod gateway_handle;
mod readiness;
mod reply;
mod streams;

pub use gateway_handle::Gateway;
