//! The program beside an engine: it takes bundles of items from the store, runs
//! them on its engine, has them scored and lists their results.

mod changes;
mod claims;
mod engine_state;
mod engine_watch;
mod event;
mod give_back;
mod heartbeat;
mod heartbeats;
mod items;
mod line;
mod offers;
mod open_batch;
mod orders;
mod results;
mod run_item;
mod runner_handle;
mod score;
mod suspects;
mod sweep;
mod text;
mod work;

pub use runner_handle::Runner;
