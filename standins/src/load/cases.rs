//! The list of all cases.

use super::{
    Case,
    faults,
    fleet,
    rollout,
    steady,
    streams, //
};

/// The cases, sorted by name.
pub const CASES: &[Case] = &[
    Case {
        about: "two of nine servers crash and return",
        measure: |run| Box::pin(faults::crash(run)),
        name: "crash",
    },
    Case {
        about: "every agent and entry is replaced under load",
        measure: |run| Box::pin(faults::drain(run)),
        name: "drain",
    },
    Case {
        about: "what one entry's control work costs for each linked agent",
        measure: |run| Box::pin(fleet::measure(run)),
        name: "fleet",
    },
    Case {
        about: "one team offers ten times its share",
        measure: |run| Box::pin(faults::noisy_team(run)),
        name: "noisy-team",
    },
    Case {
        about: "three times the capacity, then 0.7 of it",
        measure: |run| Box::pin(faults::overload(run)),
        name: "overload",
    },
    Case {
        about: "a pool fails every call for a while at 0.8 of its load",
        measure: |run| Box::pin(faults::retry_storm(run)),
        name: "retry-storm",
    },
    Case {
        about: "what a step costs, for each token and sample",
        measure: |run| Box::pin(rollout::measure(run)),
        name: "rollout",
    },
    Case {
        about: "half of the links go silent",
        measure: |run| Box::pin(faults::silent(run)),
        name: "silent",
    },
    Case {
        about: "one of nine servers is ten times slower",
        measure: |run| Box::pin(faults::slow_server(run)),
        name: "slow-server",
    },
    Case {
        about: "what the way through entry and agent costs, against two bare hops",
        measure: |run| Box::pin(steady::measure(run)),
        name: "steady",
    },
    Case {
        about: "the memory of an entry process with 1,000 open streams",
        measure: |run| Box::pin(streams::measure(run)),
        name: "streams",
    },
];
