//! Reports of use to the platform.

use super::names::set_lease_holder;
use crate::{
    base::Fence,
    policy::usage::Counts, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    header::{CONTENT_TYPE, HeaderValue}, //
};
use serde::Serialize;

/// What is reported of one window.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport<'a> {
    pub counts: &'a Counts,
    /// The number under which the holder acts; it grows with each change of holder.
    pub fence: Fence,
    pub holder: &'a str,
    pub window: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireReport<'a> {
    /// Requests that began, by workspace.
    instance_counts: &'a Counts,
    window_id: u64,
}

impl UsageReport<'_> {
    /// The call that reports it.
    pub fn build(&self) -> Request<Full<Bytes>> {
        let wire = WireReport {
            instance_counts: self.counts,
            window_id: self.window,
        };
        let body = serde_json::to_vec(&wire).unwrap_or_else(|error| {
            tracing::error!(%error, "a report can't be encoded");
            Vec::new()
        });
        let mut request = Request::new(Full::new(body.into()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static("/usage");
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        set_lease_holder(headers, self.holder, self.fence);
        request
    }
}
