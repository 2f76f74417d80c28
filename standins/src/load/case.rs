//! One experiment by its name.

use super::{
    LoadError,
    Outcome, //
};
use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin, //
};

/// How a case is to be run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Which policies are measured: baseline, current, or both.
    pub baseline: bool,
    pub current: bool,
    /// An entry that runs as a process, and its process id.
    pub process: Option<(SocketAddr, u32)>,
    pub seconds: u64,
    pub seed: u64,
}

/// A case's function.
pub type Measure = fn(RunOptions) -> Pin<Box<dyn Future<Output = Result<Outcome, LoadError>>>>;

/// A named experiment.
pub struct Case {
    pub about: &'static str,
    pub measure: Measure,
    pub name: &'static str,
}
