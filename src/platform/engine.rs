//! Requests to engines: reports, orders to load weights, and generations.

use super::{
    excerpt::excerpt,
    names::{self, ATTEMPT_ID, set_header},
    server_entry::{WireModel, weights}, //
};
use crate::{
    base::Millis,
    batch::Item,
    net::FullResponse,
    routing::LoadedModel, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Method,
    Request,
    StatusCode,
    header::{HeaderName, HeaderValue}, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The response header with the weight version at the start of the stream.
const INITIAL_WEIGHT_VERSION: HeaderName = HeaderName::from_static("x-weight-versions");

/// The field of an event with the weight version from that event on.
const EVENT_VERSION_FIELD: &str = "x-weight-versions";

/// The id of the last event that the sender has received.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// An engine's report of its state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// When the engine started; 0 on platforms that don't report it.
    pub started_at: Millis,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// How many orders the engine has accepted since it started.
    pub accepted_orders: u64,
    /// The weight version of each loaded model.
    pub weights: Vec<LoadedModel>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireReport {
    #[serde(default)]
    born: u64,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    models: Vec<WireModel>,
    #[serde(default)]
    sequence: u64,
}

/// Builds the request for an engine's report.
pub fn report_request() -> Request<Full<Bytes>> {
    json_request(Method::GET, "/redwingpond/report", Bytes::new())
}

/// Decodes an engine's report; `None` for any other response.
pub fn read_report(answer: &FullResponse) -> Option<EngineReport> {
    if answer.status != StatusCode::OK {
        tracing::debug!(
            status = answer.status.as_u16(),
            "engine did not send a report"
        );
        return None;
    }
    let wire: WireReport = match serde_json::from_slice(&answer.body) {
        Ok(wire) => wire,
        Err(error) => {
            let error = excerpt(&error);
            tracing::warn!(error, "engine report could not be decoded");
            return None;
        }
    };
    Some(EngineReport {
        started_at: Millis(wire.born),
        busy: wire.busy,
        accepted_orders: wire.sequence,
        weights: weights(wire.models),
    })
}

/// An order to load a weight version.
#[derive(Clone, Debug)]
pub struct VersionOrder<'a> {
    /// The sender's fencing token; it never decreases.
    pub fence: u64,
    /// The instance that sends the order.
    pub holder: &'a str,
    /// Whether running requests finish under their version before the weights change.
    pub finish_runs: bool,
    pub model: &'a str,
    /// How many orders the engine must have accepted so far. A delayed duplicate of this
    /// order then finds another number and has no effect.
    pub expected_orders: u64,
    /// The engine's server id.
    pub server: &'a str,
    pub version: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireOrder<'a> {
    /// How many orders the engine must have accepted so far.
    expected_rev: u64,
    fencing_token: u64,
    holder: &'a str,
    mode: &'static str,
    model: &'a str,
    operation: &'static str,
    version: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine is carrying out another order, or has accepted others before.
    Conflict,
    /// The engine has loaded the version already.
    Holds,
    /// The order can't be carried out, or another engine has the address.
    Refused,
}

/// Builds the request that sends `order`.
pub fn order_request(order: &VersionOrder<'_>) -> Request<Full<Bytes>> {
    let wire = WireOrder {
        expected_rev: order.expected_orders,
        fencing_token: order.fence,
        holder: order.holder,
        mode: match order.finish_runs {
            true => "wait",
            false => "keep",
        },
        model: order.model,
        operation: "version",
        version: order.version,
    };
    let body = serde_json::to_vec(&wire).unwrap_or_else(|error| {
        tracing::error!(%error, "order could not be encoded");
        Vec::new()
    });
    let mut request = json_request(Method::POST, "/redwingpond/order", body.into());
    names::set_expected_server(request.headers_mut(), order.server);
    request
}

/// Decodes the engine's answer to an order.
pub fn read_order_answer(answer: &FullResponse) -> OrderAnswer {
    match answer.status.as_u16() {
        200 => OrderAnswer::Holds,
        202 => OrderAnswer::Accepted,
        409 => OrderAnswer::Conflict,
        _ => OrderAnswer::Refused,
    }
}

/// A generation request for one run of an item.
#[derive(Clone, Debug)]
pub struct EngineRequest<'a> {
    /// The id of the last event from earlier runs; this run resumes after it.
    pub after: Option<u64>,
    pub host: &'a str,
    pub item: &'a Item,
    /// How long the response is waited for.
    pub timeout: Millis,
    /// How urgent the item is; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The engine's server id.
    pub server: &'a str,
    /// The workspace that owns the batch.
    pub workspace: Option<&'a str>,
}

impl EngineRequest<'_> {
    /// Builds the HTTP request: first the item's own headers, then those that this program
    /// sets.
    pub fn build(&self) -> Request<Full<Bytes>> {
        let mut request = json_request(Method::POST, &self.item.path, self.item.body.clone());
        let headers = request.headers_mut();
        for (name, value) in &self.item.headers {
            set_header(headers, name, value);
        }
        set_header(headers, "host", self.host);
        set_header(headers, ATTEMPT_ID.as_str(), &self.item.id);
        if let Some(after) = self.after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(after));
        }
        names::set_expected_server(headers, self.server);
        names::set_deadline(headers, self.timeout);
        names::set_priority(headers, self.priority);
        names::set_workspace(headers, self.workspace);
        request
    }
}

/// The weight version at the start of the stream; `None` if the response doesn't say.
pub fn initial_weight_version(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(INITIAL_WEIGHT_VERSION)?.to_str().ok()?;
    value.trim().parse().ok()
}

/// A complete event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    pub data: String,
    pub id: Option<u64>,
    /// The weight version from this event on, if it changes.
    pub version: Option<u64>,
}

/// Parses a stream of server-sent events.
///
/// The weight version is in a field that is not part of the standard, which common
/// parsers drop. An event is complete once its blank line has arrived: the last event
/// of a stream that breaks off before that is left out.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// How many bytes at the start of the buffer contain no end of an event.
    searched: usize,
}

/// The largest event. A larger one could not be saved, as a row of the store holds 44 KB.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// The largest id of an event: another one can follow it.
const MAX_EVENT_ID: u64 = u64::MAX - 1;

impl EventReader {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let unsearched = &self.buffer[self.searched..];
        let Some(found) = unsearched.windows(2).position(|two| two == b"\n\n") else {
            self.searched = self.buffer.len().saturating_sub(1);
            return None;
        };
        let end = self.searched + found;
        self.searched = 0;
        let block = self.buffer.split_to(end + 2);
        let text = String::from_utf8_lossy(&block[..end]);
        let mut event = Event::default();
        let mut data: Vec<&str> = Vec::new();
        for line in text.lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => data.push(value),
                "id" => event.id = read_event_id(value),
                EVENT_VERSION_FIELD => event.version = value.trim().parse().ok(),
                _ => {}
            }
        }
        event.data = data.join("\n");
        Some(event)
    }

    /// Whether the incomplete event is larger than any event may be. The rest of such a stream
    /// is no answer.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Whether bytes of an incomplete event are left.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Parses the id of an event that another one may follow.
fn read_event_id(value: &str) -> Option<u64> {
    let id: u64 = value.trim().parse().ok()?;
    (id <= MAX_EVENT_ID).then_some(id)
}

/// A request with a JSON body.
fn json_request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    match path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => tracing::error!(path, %error, "invalid request path"),
    }
    request
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/json"));
    request
}
