//! What counts as a backend server's answer.

use super::names::{
    not_executed,
    signature, //
};
use crate::net::{
    ContradictorySnafu,
    EncodedSnafu,
    InvalidAnswer,
    UnsignedSnafu,
    check_status, //
};
use hyper::{
    HeaderMap,
    StatusCode,
    header::CONTENT_ENCODING, //
};
use snafu::ensure;

/// Checks whether a response to a call, a stream, an item or a request for a score is the
/// server's answer: a signed one whose body is as the server made it, or a refusal.
///
/// # Errors
///
/// [`InvalidAnswer`] for any other response; the request may have run.
pub fn check_answer(status: StatusCode, headers: &HeaderMap) -> Result<(), InvalidAnswer> {
    check_status(status, headers)?;
    if is_refusal(status, headers) {
        return Ok(());
    }
    let status = status.as_u16();
    ensure!(!not_executed(headers), ContradictorySnafu { status });
    ensure!(!headers.contains_key(CONTENT_ENCODING), EncodedSnafu);
    ensure!(signature(headers).is_some(), UnsignedSnafu);
    Ok(())
}

/// Whether the response says that the server did not run the request.
pub fn is_refusal(status: StatusCode, headers: &HeaderMap) -> bool {
    let failed = status.is_client_error() || status.is_server_error();
    status == StatusCode::MISDIRECTED_REQUEST || (failed && not_executed(headers))
}
