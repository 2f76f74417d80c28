//! Counts the requests of each workspace and reports them to the platform, by time window.
//!
//! Each gateway counts the requests that it sends; the holder of the reporting lease sums
//! the counts and reports them. The report of a window is stored before it is first sent,
//! so that every gateway sends the same report, also when it is repeated.

mod clocks;
mod counter;
mod reporter;
mod rows;

pub use self::{
    counter::Counter,
    reporter::{Reporting, run_reporter}, //
};
