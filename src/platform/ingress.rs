//! Classifies the requests that callers and trainers send to a gateway, and the paths that they
//! name.

use crate::base::Millis;
use hyper::{
    HeaderMap,
    Method,
    Uri,
    http::uri::PathAndQuery, //
};
use percent_encoding::percent_decode_str;

/// The kind of an incoming request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ingress {
    /// A call about a batch that was submitted before.
    Batch { batch: String, call: BatchCall },
    /// A request that is answered by the operators' routes.
    Routed,
    /// A request under this product's path prefix that is none of its calls.
    Malformed,
}

/// A call about a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchCall {
    /// End the batch.
    End,
    /// Get the body of the item with this id.
    ItemBody { item: String },
    /// Get results from position `from` on; wait for the first for at most `wait`.
    Results { from: usize, wait: Millis },
}

/// The path prefix of calls about a batch, followed by its id.
const BATCHES_PREFIX: &str = "/redwingpond/lots/";
/// The path prefix of calls for the body of an item, followed by its batch's id.
const ITEMS_PREFIX: &str = "/redwingpond/items/";
/// The first segment of the paths that the platform reserves for this product and for what it
/// sends to servers.
const RESERVED_SEGMENT: &str = "redwingpond";

/// Classifies a request by its method, path, query and headers.
pub fn classify(method: &Method, uri: &Uri, headers: &HeaderMap) -> Ingress {
    let path = uri.path();
    if let Some(batch) = path.strip_prefix(BATCHES_PREFIX) {
        return batch_call(method, batch, uri.query().unwrap_or_default(), headers);
    }
    if let Some(batch) = path.strip_prefix(ITEMS_PREFIX) {
        let item = query_parameter(uri.query().unwrap_or_default(), "id");
        return match (method, item) {
            (&Method::GET, Some(item)) => Ingress::Batch {
                batch: batch.to_owned(),
                call: BatchCall::ItemBody {
                    item: item.to_owned(),
                },
            },
            _ => Ingress::Malformed,
        };
    }
    match is_reserved(path) {
        true => Ingress::Malformed,
        false => Ingress::Routed,
    }
}

/// Whether a client may have a request sent to `path`, which may have a query: it can be sent as it
/// is, and is not reserved.
pub fn is_client_path(path: &str) -> bool {
    let target = path.parse::<PathAndQuery>();
    target.is_ok_and(|target| {
        path.starts_with('/') && target.as_str() == path && !is_reserved(target.path())
    })
}

/// Whether a server may take `path` for a reserved one: escapes and relative segments count as
/// what they stand for.
fn is_reserved(path: &str) -> bool {
    let path = percent_decode_str(path).decode_utf8_lossy();
    let mut segments = Vec::new();
    for segment in path.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            segment => segments.push(segment),
        }
    }
    let first = segments.first();
    first.is_some_and(|first| first.eq_ignore_ascii_case(RESERVED_SEGMENT))
}

fn batch_call(method: &Method, batch: &str, query: &str, headers: &HeaderMap) -> Ingress {
    let batch = batch.to_owned();
    match *method {
        Method::DELETE => Ingress::Batch {
            batch,
            call: BatchCall::End,
        },
        Method::GET => {
            let from = query_parameter(query, "startAfter").unwrap_or("0");
            let wait = headers.get("x-wait-ms").and_then(|v| v.to_str().ok());
            let wait = wait.and_then(|wait| wait.trim().parse().ok());
            match from.parse() {
                Ok(from) => Ingress::Batch {
                    batch,
                    call: BatchCall::Results {
                        from,
                        wait: Millis(wait.unwrap_or(0)),
                    },
                },
                Err(_) => Ingress::Malformed,
            }
        }
        _ => Ingress::Malformed,
    }
}

/// The value of the query parameter `name`, not percent-decoded.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
