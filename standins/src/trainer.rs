//! A trainer's stand-in: asks for steps, trains, publishes weights, and checks
//! every sample it gets.

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
