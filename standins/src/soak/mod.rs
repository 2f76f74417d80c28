//! A seeded soak: the real programs as processes among stand-ins, faults from
//! outside, and the promises checked by what callers and servers see.

mod callers;
mod command;
mod fault;
mod keys;
mod process;
mod run;
mod trainer;

pub use command::soak_main;
