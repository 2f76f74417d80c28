//! A seeded soak test: real gateways and runners as processes among stand-ins, with faults
//! injected from outside. It checks what callers, trainers and servers observe.

mod callers;
mod command;
mod fault;
mod keys;
mod process;
mod reserved;
mod run;
mod trainer;

pub use command::soak_main;
