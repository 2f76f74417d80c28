//! The options of a call, which the caller sets in request headers.

use super::call_target::Target;
use crate::{
    agent::run_call::{REQUEST_KEY, is_end_to_end},
    base::{Cause, Failure, Millis},
    settings::BackendKind, //
};
use bytes::Bytes;
use hyper::{
    Method,
    header::{AUTHORIZATION, HeaderMap}, //
};

/// The header that says whether the call is idempotent.
const IDEMPOTENT_HEADER: &str = "redwing-idempotent";

/// The header with the time limit of the call, in ms.
const DEADLINE_HEADER: &str = "redwing-deadline-ms";

/// The largest length of a request key, in bytes.
const MAX_KEY_LENGTH: usize = 128;

/// The options of one call.
pub(super) struct Options {
    /// When the call's time limit ends.
    pub(super) deadline: Millis,
    /// Whether the call may run more than once.
    pub(super) idempotent: bool,
    /// The caller's key for the call; the same in all repeats of the call.
    pub(super) key: Option<String>,
}

/// Reads the options from the headers; the class and the method give the defaults.
pub(super) fn read_options(
    target: &Target,
    now: Millis,
    method: &Method,
    headers: &HeaderMap,
) -> Result<Options, Failure> {
    let refuse = |detail: String| Failure::not_run(Cause::BadRequest, detail);
    let header = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    let deadline = match header(DEADLINE_HEADER) {
        None => target.class.deadline,
        Some(value) => {
            let number = value.parse().ok().filter(|ms| (1..=3_600_000).contains(ms));
            let number = number.ok_or_else(|| {
                refuse(format!(
                    "`{DEADLINE_HEADER}` is `{value}`, expected 1 to 3600000"
                ))
            })?;
            Millis(number)
        }
    };
    // Generations have no side effects. For services, the HTTP method decides unless the
    // caller sets the header.
    let by_method = target.kind == BackendKind::Engine || method.is_idempotent();
    let idempotent = match header(IDEMPOTENT_HEADER) {
        None => by_method,
        Some("true") => true,
        Some("false") => false,
        Some(value) => {
            return Err(refuse(format!(
                "`{IDEMPOTENT_HEADER}` is `{value}`, expected true or false"
            )));
        }
    };
    let key = header(REQUEST_KEY).map(str::to_owned);
    if key.as_ref().is_some_and(|key| {
        key.is_empty() || key.len() > MAX_KEY_LENGTH || !key.bytes().all(|b| b.is_ascii_graphic())
    }) {
        return Err(refuse(format!(
            "`{REQUEST_KEY}` is not 1 to {MAX_KEY_LENGTH} visible characters"
        )));
    }
    Ok(Options {
        deadline: now + deadline,
        idempotent,
        key,
    })
}

/// The caller's headers that are forwarded to the service.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            is_end_to_end(name) && !name.starts_with("redwing-") && *name != AUTHORIZATION
        })
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
