//! The type of a case.

use super::{
    LoadError,
    Outcome, //
};
use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin, //
};

/// The options of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Whether the baseline policy is measured.
    pub baseline: bool,
    /// Whether the current policy is measured.
    pub current: bool,
    /// An entry in a process of its own: its callers' address and its process id.
    pub process: Option<(SocketAddr, u32)>,
    /// How long each part of the case lasts.
    pub seconds: u64,
    pub seed: u64,
}

/// The function that runs a case.
pub type Measure = fn(RunOptions) -> Pin<Box<dyn Future<Output = Result<Outcome, LoadError>>>>;

/// A named experiment; `about` describes it in `--list`.
pub struct Case {
    pub about: &'static str,
    pub measure: Measure,
    pub name: &'static str,
}
