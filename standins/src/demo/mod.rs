//! The demo: both users' deployments at work, with failures on the way.

mod command;
mod disruptions;
mod run;
mod summary;

pub use self::{
    command::demo_main,
    run::{DemoError, Settings, run},
    summary::Summary, //
};
