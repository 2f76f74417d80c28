//! A whole deployment in one process: real entries and agents among stand-ins, connected
//! over loopback sockets.

mod backend;
mod deployment;
mod member;
mod plan;
mod settings;

pub use self::{
    backend::Backend,
    deployment::{Fleet, FleetError, Options},
    member::Member,
    plan::{CallKind, CallerPlan, Plan, PoolKind, PoolPlan, TrainerPlan}, //
};
