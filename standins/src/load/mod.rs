//! The load tool: runs experiments, called cases, against stand-ins.

mod case;
mod cases;
mod command;
mod faults;
mod fleet;
mod hops;
mod load_error;
mod open_loop;
mod outcome;
mod plot;
mod rollout;
mod row;
mod service_load;
mod steady;
mod streams;
mod usage;

pub use self::{
    case::{Case, RunOptions},
    command::load_main,
    load_error::LoadError,
    outcome::Outcome,
    row::Row, //
};
