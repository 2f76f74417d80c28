//! Calls whose response is read whole from the backend server before it is forwarded.

use super::reply;
use crate::{
    base::Millis,
    calls::{Call, CallOutcome, Dispatcher},
    duty::Answer, //
};
use hyper::StatusCode;

/// Runs `call`, which arrived at `arrived`, and returns the response to its caller.
pub(super) async fn answer(dispatcher: &Dispatcher, call: &Call, arrived: Millis) -> Answer {
    let outcome = dispatcher.run(call).await;
    let taken = dispatcher.clock().now().since(arrived).0;
    let (id, route) = (&call.id, &call.route.name);
    match outcome {
        CallOutcome::Answered { answer, .. } => {
            let status = answer.status.as_u16();
            tracing::info!(call = id, route, status, taken, "call answered");
            reply::from_server(answer)
        }
        CallOutcome::Lost { reason, .. } => {
            tracing::warn!(
                call = id,
                route,
                reason,
                taken,
                "answer lost: the call may have run"
            );
            reply::status(StatusCode::BAD_GATEWAY, "the answer is lost")
        }
        CallOutcome::NotRun { reason, wait } => {
            tracing::warn!(
                call = id,
                route,
                reason,
                taken,
                wait = wait.0,
                "call refused: it did not run"
            );
            reply::refusal(wait, "no server took the request")
        }
        CallOutcome::TimedOut => {
            tracing::warn!(call = id, route, taken, "call timed out: it may have run");
            reply::status(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        }
    }
}
