//! All cases by name.

use super::{
    Case,
    steady, //
};

/// The cases, sorted by name.
pub const CASES: &[Case] = &[Case {
    about: "what the way through entry and agent costs, against two bare hops",
    measure: |run| Box::pin(steady::measure(run)),
    name: "steady",
}];
