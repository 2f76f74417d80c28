//! Counts the requests of each workspace and reports them, window by window.
//!
//! Each gateway counts what it sends; one of them holds the lease of reporting. What
//! is reported of a window is fixed in the store before it is first sent, so that
//! whoever sends it, and however often, sends the same.

mod clocks;
mod counter;
mod reporter;
mod rows;

pub use self::{
    counter::Counter,
    reporter::{Reporting, run_reporter}, //
};
