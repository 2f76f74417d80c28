//! What an engine is asked: its report, orders for weights, and generations.

use super::{
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

/// The weight version under which an answer began.
const WEIGHT_VERSION: HeaderName = HeaderName::from_static("x-weight-versions");

/// The field of an event at which the weight version changes.
const EVENT_VERSION: &str = "x-weight-versions";

/// The last event that the caller has.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// When the engine's present life began; 0 where engines don't tell.
    pub born: Millis,
    /// It is carrying out an order.
    pub busy: bool,
    /// The orders that it has accepted in this life.
    pub orders: u64,
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

/// Asks for an engine's report.
pub fn report_request() -> Request<Full<Bytes>> {
    request(Method::GET, "/redwingpond/report", Bytes::new())
}

/// Decodes an engine's report.
pub fn read_report(answer: &FullResponse) -> Option<EngineReport> {
    if answer.status != StatusCode::OK {
        tracing::debug!(status = answer.status.as_u16(), "no report");
        return None;
    }
    let wire: WireReport = match serde_json::from_slice(&answer.body) {
        Ok(wire) => wire,
        Err(error) => {
            tracing::warn!(%error, "a report is not understood");
            return None;
        }
    };
    Some(EngineReport {
        born: Millis(wire.born),
        busy: wire.busy,
        orders: wire.sequence,
        weights: weights(wire.models),
    })
}

/// An order to take a weight version.
#[derive(Clone, Debug)]
pub struct VersionOrder<'a> {
    /// The number under which the holder orders; it never falls.
    pub fence: u64,
    pub holder: &'a str,
    /// Let runs finish under the version that they began with.
    pub finish_runs: bool,
    pub model: &'a str,
    /// The orders that the engine must have accepted so far; a late copy of
    /// this order then finds another number and does nothing.
    pub orders: u64,
    /// The engine's life.
    pub server: &'a str,
    pub version: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireOrder<'a> {
    /// The orders that the engine must have accepted so far.
    expected_rev: u64,
    fencing_token: u64,
    holder: &'a str,
    mode: &'static str,
    model: &'a str,
    operation: &'static str,
    version: u64,
}

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// Another is being carried out, or others came before.
    Conflict,
    /// It holds already.
    Holds,
    /// It can't be carried out, or another engine has the address.
    Refused,
}

/// The call that gives `order`.
pub fn order_request(order: &VersionOrder<'_>) -> Request<Full<Bytes>> {
    let wire = WireOrder {
        expected_rev: order.orders,
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
        tracing::error!(%error, "an order can't be encoded");
        Vec::new()
    });
    let mut request = request(Method::POST, "/redwingpond/order", body.into());
    names::set_instance(request.headers_mut(), order.server);
    request
}

/// What the engine's answer to an order says.
pub fn order_answer(answer: &FullResponse) -> OrderAnswer {
    match answer.status.as_u16() {
        200 => OrderAnswer::Holds,
        202 => OrderAnswer::Accepted,
        409 => OrderAnswer::Conflict,
        _ => OrderAnswer::Refused,
    }
}

/// One run of an item at an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest<'a> {
    /// The last event that earlier runs brought, to go on after it.
    pub after: Option<u64>,
    pub host: &'a str,
    pub item: &'a Item,
    pub left: Millis,
    /// How urgent it is; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The engine's life.
    pub server: &'a str,
    /// The workspace whose batch it belongs to.
    pub workspace: Option<&'a str>,
}

impl EngineRequest<'_> {
    /// The call that runs the item.
    pub fn build(&self) -> Request<Full<Bytes>> {
        let mut request = request(Method::POST, &self.item.path, self.item.body.clone());
        let headers = request.headers_mut();
        for (name, value) in &self.item.headers {
            set_header(headers, name, value);
        }
        set_header(headers, "host", self.host);
        set_header(headers, ATTEMPT_ID.as_str(), &self.item.id);
        if let Some(after) = self.after {
            headers.insert(LAST_EVENT, HeaderValue::from(after));
        }
        names::set_instance(headers, self.server);
        names::set_deadline(headers, self.left);
        names::set_priority(headers, self.priority);
        names::set_workspace(headers, self.workspace);
        request
    }
}

/// The version under which an answer began.
pub fn version_of_head(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(WEIGHT_VERSION)?.to_str().ok()?;
    value.trim().parse().ok()
}

/// One whole event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    pub data: String,
    pub id: Option<u64>,
    /// The weight version from this event on.
    pub version: Option<u64>,
}

/// Cuts a stream into events. The weight version stands in a field of its own,
/// which common parsers of such streams leave out. An event counts once its blank line is there, so
/// a stream that breaks off within one leaves that event out.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.buffer.windows(2).position(|two| two == b"\n\n")?;
        let block = self.buffer.split_to(end + 2);
        let text = String::from_utf8_lossy(&block[..end]);
        let mut event = Event::default();
        let mut data: Vec<&str> = Vec::new();
        for line in text.lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => data.push(value),
                "id" => event.id = value.trim().parse().ok(),
                EVENT_VERSION => event.version = value.trim().parse().ok(),
                _ => {}
            }
        }
        event.data = data.join("\n");
        Some(event)
    }

    /// Whether bytes of an unfinished event are left.
    pub fn is_torn(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    match path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => tracing::error!(path, %error, "not a path"),
    }
    request
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/json"));
    request
}
