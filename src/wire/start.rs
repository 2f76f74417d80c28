//! The message that hands a request to an agent.

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

/// An HTTP call to a plain service, with the first part of its body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallHead {
    /// The first part of the body, or all of it if `whole` is set.
    pub body: Bytes,
    pub headers: Vec<(String, Bytes)>,
    pub method: String,
    /// The path and the query.
    pub path: String,
    /// Whether `body` is the complete body; otherwise data messages follow.
    pub whole: bool,
}

/// What the backend server is asked to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Work {
    Call(CallHead),
    Generate(Generation),
}

/// A request handed to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The number of the attempt to run the request, from 0.
    pub attempt: u8,
    /// The time left until the deadline when this is sent. It is a duration because the
    /// clocks of two instances differ.
    pub budget: Millis,
    /// The name of the request's class.
    pub class: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The request key chosen by the caller: requests with the same key run at most once,
    /// unless they are idempotent.
    pub key: Option<String>,
    pub priority: Priority,
    pub request: RequestId,
    pub slot: Slot,
    pub team: String,
    pub work: Work,
}
