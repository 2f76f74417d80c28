//! Calls to backend servers: choice, attempts, what may be repeated, answers.

mod attempt;
mod book;
mod call;
mod caller;
mod look;
mod run;
mod watched;

pub use self::{
    call::{Call, CallEnd, StreamEnd},
    caller::Caller,
    watched::Watched, //
};
