//! A stand-in for a model engine.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/completions` | a stream of tokens; the body is a `redwingpond::engine::Completion` |
//! | `GET /v1/state` | the boot time, the fence, and each model's version and number of loads |
//! | `GET /v1/load` | the numbers of running and waiting sequences, late by a configured lag |
//! | `POST /v1/orders` | loads or unloads a model; a change of role has no effect |
//! | `GET /v1/events?since=N` | prefix cache events after number N, with a configured lag and gaps |
//! | `POST /v1/kv/export` | the hashes of a prompt's cached blocks |
//! | `POST /v1/kv/import` | adds such blocks to the cache |
//! | `POST /admin/faults` | sets the faults |

mod batch;
mod cache;
mod faults;
mod handle;
mod orders;
mod state;
mod tuning;

pub use self::{
    faults::Faults,
    handle::Engine,
    tuning::Tuning, //
};
