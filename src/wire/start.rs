//! The hand-over of a request to an agent.

use super::{
    Generation,
    Slot, //
};
use crate::base::{
    Millis,
    Priority,
    RequestId, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// The head of an HTTP call to a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallHead {
    /// The body's first part, the whole of it when `whole` is set.
    pub body: Bytes,
    pub headers: Vec<(String, Bytes)>,
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Whether `body` is all of the body; otherwise data messages follow.
    pub whole: bool,
}

/// What is to be done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Work {
    Call(CallHead),
    Generate(Generation),
}

/// A request handed to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// Which hand-over of the request this is, from 0.
    pub attempt: u8,
    /// What is left until the deadline when this is sent. A length, since the
    /// clocks of two instances differ.
    pub budget: Millis,
    pub class: String,
    pub idempotent: bool,
    /// The caller's own key for a call that must run at most once.
    pub key: Option<String>,
    pub priority: Priority,
    pub request: RequestId,
    pub slot: Slot,
    pub team: String,
    pub work: Work,
}
