//! A stand-in for a trainer: submits steps, simulates training, publishes
//! weights, and checks every sample that it receives.

mod api;
mod check;
mod config;
mod report;
mod run;

pub use self::{
    config::Config,
    report::Report,
    run::run, //
};
