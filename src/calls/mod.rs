//! Calls to backend servers: choice, attempts, what may be repeated, answers.

mod attempt;
mod book;
mod call;
mod caller;
mod run;

pub use self::{
    call::{Call, CallEnd, StreamEnd},
    caller::Caller, //
};
