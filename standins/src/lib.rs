//! Stand-ins for what redwingpond serves and is served by, a demo and a load tool.
//!
//! Each stand-in opens in-process as a handle, and as a program by
//! `redwing-standin`. They speak published protocols over real sockets, and
//! fail on command.

pub mod balancer;
pub mod caller;
pub mod cli;
pub mod client;
pub mod demo;

pub mod engine;

pub mod fleet;
pub mod load;
pub mod platform;
pub mod relay;
pub mod scorer;
pub mod server;
pub mod service;
pub mod site;
pub mod soak;

pub mod trainer;
pub mod truth;
