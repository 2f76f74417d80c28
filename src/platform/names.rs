//! Header names, and what they hold.

use crate::base::Millis;
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue}, //
};

/// The caller's id of one attempt; servers echo it in their answers.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");

/// How long the sender waits for the answer, in ms.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// The life of the server that alone may run the request.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");

/// The life of the server that answers.
const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");

/// Present when the server says that it did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");

/// The server's seal on its answer.
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");

/// A server's running requests, waiting requests and slots.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// The table that the operators write.
pub const OPERATOR_TABLE: &str = "op";

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "REDWINGPOND_SETTINGS";

/// The row with the newest configuration.
pub const CONFIG_KEY: &str = "config";

/// The rows with the version that a trainer named last, by model.
pub const NAMED_VERSION: &str = "version/";

/// The table in which backend servers announce themselves.
pub const SERVERS_TABLE: &str = "servers";

/// Headers that concern one connection only, and those that this program sets.
const OWN: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-expect-instance",
];

/// How long the caller says it waits.
pub fn caller_deadline(headers: &HeaderMap) -> Option<Millis> {
    number(headers, &DEADLINE).map(Millis)
}

/// What the caller proves its identity with; empty where it has none.
pub fn credential(headers: &HeaderMap) -> &[u8] {
    let value = headers.get(hyper::header::AUTHORIZATION);
    value.map_or(&[], HeaderValue::as_bytes)
}

/// Headers of a server's answer that concern one connection, and its word on its
/// load, which is for this program.
const ANSWER_OWN: [&str; 5] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "x-server-load",
];

/// The headers of a server's answer that go on to the caller.
pub fn answered(headers: &HeaderMap) -> HeaderMap {
    passing(headers, |name| !ANSWER_OWN.contains(&name))
}

fn passing(headers: &HeaderMap, passes: impl Fn(&str) -> bool) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| passes(name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The headers of a request that go on to the server.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    passing(headers, |name| {
        !OWN.contains(&name) && !named.iter().any(|own| own == name)
    })
}

/// The life of the server that answered.
pub fn instance_of(headers: &HeaderMap) -> Option<&str> {
    headers.get(INSTANCE)?.to_str().ok()
}

/// Whether the server says that it did not run the request.
pub fn not_executed(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED)
}

/// Tells the server how long its answer is waited for.
pub fn set_deadline(headers: &mut HeaderMap, left: Millis) {
    headers.insert(DEADLINE, HeaderValue::from(left.0));
}

/// Lets only the server's life called `id` run the request.
pub fn set_instance(headers: &mut HeaderMap, id: &str) {
    match HeaderValue::from_str(id) {
        Ok(value) => {
            headers.insert(EXPECT_INSTANCE, value);
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

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Sets a header whose name and value come from a trainer; one that is none is
/// logged and left out.
pub fn set_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    let value = HeaderValue::try_from(value);
    match (name, value) {
        (Ok(name), Ok(value)) => {
            headers.insert(name, value);
        }
        _ => tracing::warn!("a trainer's header is not one"),
    }
}
