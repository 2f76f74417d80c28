//! Sends callers' requests to backend servers: server choice, retries, hedging, and the
//! detection of servers that crash under a request.

mod attempt;
mod call;
mod call_run;
mod crash_check;
mod dispatcher;
mod gate;
mod permit;
mod server_records;
mod server_view;
mod shared_load;
mod stream_attempt;

pub use self::{
    call::{Call, CallOutcome, StreamOutcome},
    dispatcher::{Dispatcher, LoadControl},
    stream_attempt::StreamAttempt, //
};
