//! The demo: both users' deployments, scaled down, with a crash and graceful stops.

mod command;
mod disruptions;
mod run;
mod summary;

pub use self::{
    command::demo_main,
    run::{DemoError, Settings, run},
    summary::Summary, //
};
