//! The events of one request, as one process recorded them.

use super::{
    Cause,
    Millis,
    RequestId,
    Span,
    Verdict, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// An event in the course of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    Admitted,
    /// The whole answer was written to the caller's connection.
    Delivered,
    Failed {
        cause: Cause,
        verdict: Verdict,
    },
    /// The whole answer arrived from the backend server.
    Finished,
    Queued,
    Retried {
        cause: Cause,
        verdict: Verdict,
    },
    Routed {
        server: String,
        reason: String,
    },
    Started {
        server: String,
    },
    /// The weight versions that produced the answer's tokens.
    Versions {
        model: String,
        spans: Vec<Span>,
    },
}

/// The events of a request, in the order in which one process recorded them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    pub class: String,
    pub events: Vec<(Millis, Event)>,
    pub request: RequestId,
    pub team: String,
}

/// The maximum number of events kept for a request. Beyond that, each new event evicts
/// one from the middle of the list, so that the first and the last ones stay.
const MAX_EVENTS: usize = 24;

impl Account {
    /// Creates an account without events.
    pub fn new(request: RequestId, team: &str, class: &str) -> Self {
        Self {
            class: class.into(),
            events: Vec::new(),
            request,
            team: team.into(),
        }
    }

    /// Records `event`. The account of a request with endless retries stays bounded.
    pub fn record(&mut self, now: Millis, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.remove(MAX_EVENTS / 2);
        }
        self.events.push((now, event));
    }
}
