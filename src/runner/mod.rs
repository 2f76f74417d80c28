//! `redwing-runner`, the worker program that runs next to each engine.
//!
//! A trainer submits each training step as a batch of items, which is split into bundles.
//! A runner claims bundles in the store, runs their items on its engine, has the texts
//! scored and appends the results to the batch's log ("lists" them). It also tells the
//! engine which weight version to load. Each runner has a home model: the model whose
//! bundles it prefers. All runners compute from the same heartbeats and batches which
//! runner has which home model.

mod changes;
mod claims;
mod engine_crash;
mod engine_state;
mod engine_watch;
mod event;
mod give_back;
mod handover;
mod heartbeat;
mod heartbeats;
mod items;
mod offers;
mod open_batch;
mod orders;
mod postponed;
mod progress;
mod results;
mod run_handle;
mod run_item;
mod runner_handle;
mod score;
mod start_order;
mod sweep;
mod text;
mod waiting_results;
mod work;

pub use runner_handle::Runner;
