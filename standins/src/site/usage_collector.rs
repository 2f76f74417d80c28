//! A stand-in for the platform's endpoint that receives usage reports.
//!
//! At any time one gateway, the holder of a lease, reports for all gateways.

use super::plain::lock;
use crate::server::Server;
use http_body_util::BodyExt;
use hyper::{
    Request,
    StatusCode,
    body::Incoming, //
};
use redwingpond::{
    base::{Clock, Millis},
    duty::{Answer, text}, //
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex}, //
};

/// How the collector misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CollectorFault {
    /// Answers 429 and records nothing.
    Busy,
    /// Records reports but never answers.
    Lost,
    #[default]
    None,
    /// Closes every connection and records nothing.
    Reset,
}

/// A usage report that the collector has received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// When the report arrived, by the collector's clock.
    pub at: Millis,
    /// Requests by workspace.
    pub counts: BTreeMap<String, u64>,
    /// The fencing token of the holder's lease.
    pub fence: u64,
    /// The instance that sent the report.
    pub holder: String,
    /// The number of the time window that the report covers.
    pub window: u64,
}

/// A running collector; dropping it stops the server.
pub struct UsageCollector {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    _server: Server,
}

struct Inner {
    reports: Mutex<Vec<UsageReport>>,
    clock: Clock,
    fault: Mutex<CollectorFault>,
}

impl UsageCollector {
    /// Starts a collector on a free port.
    pub async fn open() -> io::Result<Self> {
        let inner = Arc::new(Inner {
            reports: Mutex::default(),
            clock: Clock::open(),
            fault: Mutex::default(),
        });
        let answer = |inner: Arc<Inner>, request| async move { inner.answer(request).await };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::open_shared(address, &inner, answer).await?;
        Ok(Self {
            address: server.address,
            inner,
            _server: server,
        })
    }

    /// Sets the collector's behaviour from now on.
    pub fn set_fault(&self, fault: CollectorFault) {
        *lock(&self.inner.fault) = fault;
    }

    /// All received reports, in order of arrival.
    pub fn reports(&self) -> Vec<UsageReport> {
        lock(&self.inner.reports).clone()
    }

    /// The counts of the first report for each window.
    pub fn counts_by_window(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        let mut windows = BTreeMap::new();
        for report in self.reports() {
            windows.entry(report.window).or_insert(report.counts);
        }
        windows
    }

    /// Violations of the platform's rules: two reports for one window that differ, a
    /// fencing token that decreases, or one that two holders use.
    pub fn violations(&self) -> Vec<String> {
        let windows = self.counts_by_window();
        let mut violations = Vec::new();
        let mut holders: BTreeMap<u64, String> = BTreeMap::new();
        let mut highest = 0;
        for report in self.reports() {
            if report.fence < highest {
                violations.push(format!(
                    "fencing token decreased from {highest} to {}",
                    report.fence
                ));
            }
            highest = highest.max(report.fence);
            let holder = holders.entry(report.fence).or_insert(report.holder.clone());
            if *holder != report.holder {
                violations.push(format!("two holders use fencing token {}", report.fence));
            }
            if windows.get(&report.window) != Some(&report.counts) {
                violations.push(format!("two reports for window {} differ", report.window));
            }
        }
        violations
    }
}

impl Inner {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let fault = *lock(&self.fault);
        match fault {
            CollectorFault::Busy => {
                return Ok(text(StatusCode::TOO_MANY_REQUESTS, "text/plain", ""));
            }
            CollectorFault::Reset => return Err(io::Error::other("reset by an injected fault")),
            CollectorFault::Lost | CollectorFault::None => {}
        }
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let wire: serde_json::Value = serde_json::from_slice(&body).map_err(io::Error::other)?;
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let counts = serde_json::from_value(wire["instanceCounts"].clone());
        lock(&self.reports).push(UsageReport {
            at: self.clock.now(),
            counts: counts.map_err(io::Error::other)?,
            fence: header("x-fencing-token").map_or(0, |fence| fence.parse().unwrap_or(0)),
            holder: header("x-duty-holder").unwrap_or_default().to_owned(),
            window: wire["windowId"].as_u64().unwrap_or(0),
        });
        match fault {
            CollectorFault::Lost => std::future::pending().await,
            _ => Ok(text(StatusCode::OK, "text/plain", "")),
        }
    }
}
