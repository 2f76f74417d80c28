//! Calls to backend servers: choice, attempts, what may be repeated, answers.

mod attempt;
mod call;
mod call_run;
mod caller;
mod crash_check;
mod server_records;
mod stream_attempt;

pub use self::{
    call::{Call, CallOutcome, StreamOutcome},
    caller::Caller,
    stream_attempt::StreamAttempt, //
};
