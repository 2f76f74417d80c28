//! Which of the callers' calls a request is.

use crate::base::Millis;
use hyper::{
    HeaderMap,
    Method,
    Uri, //
};

/// A caller's call, by method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ingress {
    /// It is about a batch that was submitted before.
    Batch { batch: String, call: BatchCall },
    /// Anything else goes by the operators' routes.
    Routed,
    /// A call of ours that is malformed.
    Malformed,
}

/// What is asked about a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchCall {
    /// To end it.
    End,
    /// The body of an item that is not listed yet.
    ItemBody { item: String },
    /// Results from a position on, waited for at most `wait`.
    Results { from: usize, wait: Millis },
}

const BATCHES_PREFIX: &str = "/redwingpond/lots/";
const ITEMS_PREFIX: &str = "/redwingpond/items/";
const PRODUCT_PREFIX: &str = "/redwingpond/";

/// Which call a request is.
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
    match path.starts_with(PRODUCT_PREFIX) {
        true => Ingress::Malformed,
        false => Ingress::Routed,
    }
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

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
