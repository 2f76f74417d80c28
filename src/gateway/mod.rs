//! The gateway: the program that callers and trainers connect to.
//!
//! It forwards calls to backend servers by the operators' routes, stores the batches
//! that trainers submit, and serves the batches' results.

mod access;
mod batches;
mod body;
mod buffered;
mod frontend;
mod gateway_handle;
mod lag;
mod pressure;
mod readiness;
mod reply;
mod streams;

pub use gateway_handle::Gateway;
