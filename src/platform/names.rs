//! The platform's header names, and functions that read and set these headers; names
//! of tables and keys.

use crate::{
    base::{Fence, Millis},
    policy::server_load::ServerLoad,
    routing::{Credential, KeyDigest}, //
};
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue}, //
};

/// The id that the sender gives one attempt; servers echo it in their responses.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");

/// The caller's API key.
const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// How long the sender waits for the response, in ms from now.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// The id of the only server that may run the request.
const EXPECTED_SERVER: HeaderName = HeaderName::from_static("x-expect-instance");

/// The fencing token of the lease under which the sender acts.
const FENCING_TOKEN: HeaderName = HeaderName::from_static("x-fencing-token");

/// The instance that holds the lease under which the sender acts.
const LEASE_HOLDER: HeaderName = HeaderName::from_static("x-duty-holder");

/// The id of the responding server.
const SERVER_ID: HeaderName = HeaderName::from_static("x-instance-id");

/// Present in the response of a server that did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");

/// How urgent a request is, from 0 (the most urgent) to 9; servers take 5 as the default.
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");

/// The least urgent priority that servers accept.
const LEAST_URGENT_PRIORITY: u32 = 9;

/// The server's signature on its response.
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");

/// The numbers of a server's running requests, waiting requests and slots, and how long work
/// takes there at this moment in percent of the usual time, separated by commas. Some servers
/// leave out the last numbers.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// The name of the workspace that the request belongs to.
const WORKSPACE: HeaderName = HeaderName::from_static("x-tenant");

/// The table that the operators write to.
pub const OPERATOR_TABLE: &str = "op";

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "REDWINGPOND_SETTINGS";

/// The key of the row with the newest configuration.
pub const CONFIG_KEY: &str = "config";

/// The key prefix of the rows with the weight version that a trainer last named for a
/// model.
pub const NAMED_VERSION_PREFIX: &str = "version/";

/// The table in which backend servers announce themselves.
pub const SERVERS_TABLE: &str = "servers";

/// Request headers that are not forwarded: those that concern one connection, and
/// those that only this program may set.
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

/// How long the caller waits for the response; `None` if it doesn't say.
pub fn caller_timeout(headers: &HeaderMap) -> Option<Millis> {
    header_number(headers, &DEADLINE).map(Millis)
}

/// The caller's API key. Several keys count as malformed: a proxy in between might use
/// another one of them.
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut keys = headers.get_all(API_KEY).iter();
    match (keys.next(), keys.next()) {
        (None, _) => Credential::Absent,
        (Some(key), None) if !key.is_empty() => Credential::Key(KeyDigest::of(key.as_bytes())),
        _ => Credential::Malformed,
    }
}

/// The `Authorization` header, which distinguishes callers without a workspace; empty
/// when there is none.
pub fn authorization(headers: &HeaderMap) -> &[u8] {
    let value = headers.get(hyper::header::AUTHORIZATION);
    value.map_or(&[], HeaderValue::as_bytes)
}

/// Response headers that are not forwarded: those that concern one connection, and the
/// server's load, which is meant for this program.
const NOT_FORWARDED_RESPONSE_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "x-server-load",
];

/// The headers of a server's response that are forwarded to the caller.
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

/// The headers of a request that are forwarded to the server. Headers that the request's
/// `Connection` header names are left out as well.
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

/// The id of the server that responded.
pub fn answering_server(headers: &HeaderMap) -> Option<&str> {
    headers.get(SERVER_ID)?.to_str().ok()
}

/// Whether the response says that the server did not run the request.
pub fn not_executed(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED)
}

/// Sets how long the response is waited for.
pub fn set_deadline(headers: &mut HeaderMap, time_left: Millis) {
    headers.insert(DEADLINE, HeaderValue::from(time_left.0));
}

/// Sets the workspace that the request belongs to; removes the header without one, so
/// that a caller can't choose it.
pub fn set_workspace(headers: &mut HeaderMap, workspace: Option<&str>) {
    headers.remove(WORKSPACE);
    let Some(workspace) = workspace else {
        return;
    };
    match HeaderValue::from_str(workspace) {
        Ok(value) => {
            headers.insert(WORKSPACE, value);
        }
        Err(error) => tracing::error!(workspace, %error, "workspace name is no valid header value"),
    }
}

/// Sets how urgent the request is, if that is known. A less urgent priority than servers
/// accept becomes the least urgent one.
pub fn set_priority(headers: &mut HeaderMap, priority: Option<u32>) {
    if let Some(priority) = priority {
        headers.insert(
            PRIORITY,
            HeaderValue::from(priority.min(LEAST_URGENT_PRIORITY)),
        );
    }
}

/// Sets the lease holder that sends the request, and its fencing token.
pub(super) fn set_lease_holder(headers: &mut HeaderMap, holder: &str, fence: Fence) {
    match HeaderValue::from_str(holder) {
        Ok(value) => {
            headers.insert(LEASE_HOLDER, value);
        }
        Err(error) => tracing::error!(holder, %error, "lease holder is no valid header value"),
    }
    headers.insert(FENCING_TOKEN, HeaderValue::from(fence));
}

/// Lets only the server with this id run the request. A server that restarted under
/// another id refuses it.
pub fn set_expected_server(headers: &mut HeaderMap, id: &str) {
    match HeaderValue::from_str(id) {
        Ok(value) => {
            headers.insert(EXPECTED_SERVER, value);
        }
        Err(error) => tracing::error!(server = id, %error, "server id is no valid header value"),
    }
}

/// The load that the responding server reports; `None` if it reports none.
pub fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let value = headers.get(SERVER_LOAD)?.to_str().ok()?;
    let mut numbers = value
        .split(',')
        .map(|number| number.trim().parse::<u32>().ok());
    Some(ServerLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next().flatten(),
        slowness: numbers.next().flatten(),
    })
}

/// The server's signature on its response.
pub fn signature(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(SIGNATURE)
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Sets a header whose name and value come from a trainer. An invalid header is logged
/// and left out. So is a header that is not forwarded: with some of those, a trainer could
/// act for another workspace.
pub fn set_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    let value = HeaderValue::try_from(value);
    match (name, value) {
        (Ok(name), _) if NOT_FORWARDED_REQUEST_HEADERS.contains(&name.as_str()) => {
            tracing::warn!(%name, "trainer's header ignored: it is not forwarded");
        }
        (Ok(name), Ok(value)) => {
            headers.insert(name, value);
        }
        _ => tracing::warn!("trainer's header ignored: invalid name or value"),
    }
}
