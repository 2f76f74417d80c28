//! What one process knows of one request.

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

/// One thing that happened to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    Admitted,
    /// The whole answer was handed to the caller's connection.
    Delivered,
    Failed {
        cause: Cause,
        verdict: Verdict,
    },
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
    Versions {
        model: String,
        spans: Vec<Span>,
    },
}

/// A request's events in the order in which this process saw them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    pub class: String,
    pub events: Vec<(Millis, Event)>,
    pub request: RequestId,
    pub team: String,
}

/// The events kept for each request; later ones replace the middle of the list.
const MAX_EVENTS: usize = 24;

impl Account {
    /// An account without events.
    pub fn new(request: RequestId, team: &str, class: &str) -> Self {
        Self {
            class: class.into(),
            events: Vec::new(),
            request,
            team: team.into(),
        }
    }

    /// Notes `event`; a request that retries without end stays bounded.
    pub fn record(&mut self, now: Millis, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.remove(MAX_EVENTS / 2);
        }
        self.events.push((now, event));
    }
}
