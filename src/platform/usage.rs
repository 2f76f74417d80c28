//! Reports of the workspaces' usage to the platform.

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

/// The usage in one time window.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport<'a> {
    pub counts: &'a Counts,
    /// The fencing token of the holder's lease; it grows with each change of holder.
    pub fence: Fence,
    /// The instance that holds the lease for reporting.
    pub holder: &'a str,
    /// The number of the window.
    pub window: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireReport<'a> {
    /// The number of requests that started, by workspace.
    instance_counts: &'a Counts,
    window_id: u64,
}

impl UsageReport<'_> {
    /// Builds the HTTP request that sends the report.
    pub fn build(&self) -> Request<Full<Bytes>> {
        let wire = WireReport {
            instance_counts: self.counts,
            window_id: self.window,
        };
        let body = serde_json::to_vec(&wire).unwrap_or_else(|error| {
            tracing::error!(%error, "usage report could not be encoded");
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
