//! Stand-ins for the services around redwingpond, a demo, and load and soak tests.
//!
//! A stand-in runs inside the calling process behind a handle; most also run as
//! a program through `redwing-standin`. Stand-ins speak the published protocols
//! over real sockets and inject faults on request.

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
