//! Header names, and what they hold.

use crate::{
    base::{Fence, Millis},
    routing::{Credential, KeyDigest}, //
};
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue}, //
};

/// The caller's id of one attempt; servers echo it in their answers.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");

/// The caller's key.
const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// How long the sender waits for the answer, in ms.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// The life of the server that alone may run the request.
const EXPECTED_SERVER: HeaderName = HeaderName::from_static("x-expect-instance");

/// The number under which one acts for all.
const FENCING_TOKEN: HeaderName = HeaderName::from_static("x-fencing-token");

/// The instance that acts for all.
const LEASE_HOLDER: HeaderName = HeaderName::from_static("x-duty-holder");

/// The life of the server that answers.
const SERVER_ID: HeaderName = HeaderName::from_static("x-instance-id");

/// Present when the server says that it did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");

/// How urgent a request is to a server, from 0 to 9; 5 where it is not set.
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");

/// The least urgent priority that servers know.
const LEAST_URGENT_PRIORITY: u32 = 9;

/// The server's seal on its answer.
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");

/// A server's running requests, waiting requests and slots.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// The name of the workspace that asks.
const WORKSPACE: HeaderName = HeaderName::from_static("x-tenant");

/// The table that the operators write.
pub const OPERATOR_TABLE: &str = "op";

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "REDWINGPOND_SETTINGS";

/// The row with the newest configuration.
pub const CONFIG_KEY: &str = "config";

/// The rows with the version that a trainer named last, by model.
pub const NAMED_VERSION_PREFIX: &str = "version/";

/// The table in which backend servers announce themselves.
pub const SERVERS_TABLE: &str = "servers";

/// Headers that concern one connection only, and those that this program sets.
const NOT_FORWARDED_REQUEST_HEADERS: [&str; 14] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    "x-deadline-ms",
    "x-expect-instance",
    "x-request-priority",
    "x-tenant",
];

/// How long the caller says it waits.
pub fn caller_timeout(headers: &HeaderMap) -> Option<Millis> {
    header_number(headers, &DEADLINE).map(Millis)
}

/// The key with which the caller proves who it is. Two keys are none: a proxy on the
/// way might go by the other one.
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut keys = headers.get_all(API_KEY).iter();
    match (keys.next(), keys.next()) {
        (None, _) => Credential::Absent,
        (Some(key), None) if !key.is_empty() => Credential::Key(KeyDigest::of(key.as_bytes())),
        _ => Credential::Malformed,
    }
}

/// What tells callers of the same apart, beside their keys.
pub fn authorization(headers: &HeaderMap) -> &[u8] {
    let value = headers.get(hyper::header::AUTHORIZATION);
    value.map_or(&[], HeaderValue::as_bytes)
}

/// Headers of a server's answer that concern one connection, and its word on its
/// load, which is for this program.
const NOT_FORWARDED_RESPONSE_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "x-server-load",
];

/// The headers of a server's answer that go on to the caller.
pub fn forwarded_response_headers(headers: &HeaderMap) -> HeaderMap {
    filter_headers(headers, |name| {
        !NOT_FORWARDED_RESPONSE_HEADERS.contains(&name)
    })
}

fn filter_headers(headers: &HeaderMap, is_kept: impl Fn(&str) -> bool) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| is_kept(name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The headers of a request that go on to the server.
pub fn forwarded_request_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    filter_headers(headers, |name| {
        !NOT_FORWARDED_REQUEST_HEADERS.contains(&name)
            && !connection_headers.iter().any(|listed| listed == name)
    })
}

/// The life of the server that answered.
pub fn answering_server(headers: &HeaderMap) -> Option<&str> {
    headers.get(SERVER_ID)?.to_str().ok()
}

/// Whether the server says that it did not run the request.
pub fn not_executed(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED)
}

/// Tells the server how long its answer is waited for.
pub fn set_deadline(headers: &mut HeaderMap, left: Millis) {
    headers.insert(DEADLINE, HeaderValue::from(left.0));
}

/// Tells the server which workspace asks; whatever the caller said of that is gone.
pub fn set_workspace(headers: &mut HeaderMap, workspace: Option<&str>) {
    headers.remove(WORKSPACE);
    let Some(workspace) = workspace else {
        return;
    };
    match HeaderValue::from_str(workspace) {
        Ok(value) => {
            headers.insert(WORKSPACE, value);
        }
        Err(error) => tracing::error!(workspace, %error, "not a name for a header"),
    }
}

/// Tells the server how urgent a request is, where that is known.
pub fn set_priority(headers: &mut HeaderMap, priority: Option<u32>) {
    if let Some(priority) = priority {
        headers.insert(
            PRIORITY,
            HeaderValue::from(priority.min(LEAST_URGENT_PRIORITY)),
        );
    }
}

/// Tells the platform who acts for all, and under which number.
pub(super) fn set_lease_holder(headers: &mut HeaderMap, holder: &str, fence: Fence) {
    match HeaderValue::from_str(holder) {
        Ok(value) => {
            headers.insert(LEASE_HOLDER, value);
        }
        Err(error) => tracing::error!(holder, %error, "not a name for a header"),
    }
    headers.insert(FENCING_TOKEN, HeaderValue::from(fence));
}

/// Lets only the server's life called `id` run the request.
pub fn set_expected_server(headers: &mut HeaderMap, id: &str) {
    match HeaderValue::from_str(id) {
        Ok(value) => {
            headers.insert(EXPECTED_SERVER, value);
        }
        Err(error) => tracing::error!(server = id, %error, "not a name for a header"),
    }
}

/// The running and waiting requests that a server tells of itself.
pub fn server_load(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get(SERVER_LOAD)?.to_str().ok()?;
    let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(running + waiting)
}

/// The server's seal on its answer.
pub fn signature(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(SIGNATURE)
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Sets a header whose name and value come from a trainer; one that is none is
/// logged and left out, and so is one that this program sets: a trainer could ask
/// in another workspace's name.
pub fn set_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    let value = HeaderValue::try_from(value);
    match (name, value) {
        (Ok(name), _) if NOT_FORWARDED_REQUEST_HEADERS.contains(&name.as_str()) => {
            tracing::warn!(%name, "a trainer's header is not its own to set");
        }
        (Ok(name), Ok(value)) => {
            headers.insert(name, value);
        }
        _ => tracing::warn!("a trainer's header is not one"),
    }
}
