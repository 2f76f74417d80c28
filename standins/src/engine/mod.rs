//! A model engine's stand-in.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/completions` | a stream of tokens, see `redwingpond::engine::Completion` |
//! | `GET /v1/state` | boot, and each model's version and loads |
//! | `GET /v1/load` | running, waiting, tokens a second, as they were a lag ago |
//! | `POST /v1/orders` | loads or drops a model, or changes the role |
//! | `GET /v1/events?since=N` | prefix cache events, late and with gaps |
//! | `POST /v1/kv/export` | the cached blocks of a prompt |
//! | `POST /v1/kv/import` | puts such blocks into the cache |
//! | `POST /admin/faults` | sets the faults, or crashes the engine |

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
