//! A whole deployment in one process, over real loopback sockets.

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
