//! Callers of plain services, and what they may never see.

use super::keys::{
    Keys,
    REVOCATION, //
};
use crate::{
    client::Client,
    site::Plain, //
};
use hyper::Method;
use redwingpond::base::{
    Clock,
    Millis, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// One call and its answer; `None` when there was none.
#[derive(Clone, Debug)]
struct Call {
    /// When it was sent and when it was over.
    at: (Millis, Millis),
    body: Option<bytes::Bytes>,
    id: String,
    key: String,
    once: bool,
    status: Option<u16>,
}

/// Who calls, and with which key.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub(super) id: String,
    pub(super) key: String,
}

/// The body of the calls that end each server that runs them.
pub(super) const FATAL: &str = "fatal";

/// All calls so far.
#[derive(Debug, Default)]
pub(super) struct Callers {
    calls: Vec<Call>,
}

/// How long a caller waits.
const WITHIN: Duration = Duration::from_millis(2_500);

impl Callers {
    /// Makes one call.
    pub(super) async fn call(
        &mut self,
        client: &Client,
        gateway: SocketAddr,
        identity: Identity,
        clock: Clock,
    ) {
        let Identity { id, key } = identity;
        let once = self.calls.len().is_multiple_of(2);
        let path = if once { "/once/x" } else { "/safe/x" };
        let headers = [
            ("host", "site.example"),
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", "1500"),
            ("x-api-key", key.as_str()),
            ("x-tenant", "claimed"),
        ];
        let body = format!("body of {id}");
        let sent = clock.now();
        let answer = client.call(Method::POST, gateway, path, &headers, body, WITHIN);
        let answer = answer.await.ok();
        self.calls.push(Call {
            at: (sent, clock.now()),
            key,
            body: answer.as_ref().map(|answer| answer.body.clone()),
            status: answer.map(|answer| answer.status.as_u16()),
            id,
            once,
        });
    }

    /// Makes the call that ends its server; nobody looks at its answer.
    pub(super) async fn call_fatal(client: &Client, gateway: SocketAddr, identity: &Identity) {
        let headers = [
            ("host", "site.example"),
            ("x-api-key", identity.key.as_str()),
            ("x-attempt-id", identity.id.as_str()),
            ("x-deadline-ms", "1500"),
        ];
        let answer = client.call(Method::POST, gateway, "/safe/x", &headers, FATAL, WITHIN);
        let _ = answer.await;
    }

    /// What was broken: a call that ran twice, a refusal that was not true, an
    /// answer of another call.
    pub(super) fn broken(&self, servers: &[Plain]) -> Vec<String> {
        let mut broken = Vec::new();
        for call in &self.calls {
            let runs: usize = servers.iter().map(|server| server.runs_of(&call.id)).sum();
            if call.once && runs > 1 {
                broken.push(format!("call {} ran {runs} times", call.id));
            }
            if call.once && call.status == Some(503) && runs > 0 {
                broken.push(format!("call {} was refused and ran", call.id));
            }
            let own = format!("body of {}", call.id);
            if call.status == Some(200) && call.body.as_deref() != Some(own.as_bytes()) {
                broken.push(format!("call {} got another answer", call.id));
            }
            if call.status == Some(404) {
                broken.push(format!("call {} was told that it has no route", call.id));
            }
        }
        broken
    }

    /// What was broken of keys: one that reached a server, a request that ran in
    /// another's name, a key that worked after its time or was turned away in its time.
    pub(super) fn broken_keys(&self, servers: &[Plain], keys: &Keys) -> Vec<String> {
        let mut broken = Vec::new();
        for asker in servers.iter().flat_map(Plain::askers) {
            let request = &asker.request;
            if asker.key.is_some() {
                broken.push(format!("a server saw the key of call {request}"));
            }
            let call = self.calls.iter().find(|call| call.id == *request);
            let workspace = call.and_then(|call| call.key.split('-').next());
            if call.is_some() && asker.workspace.as_deref() != workspace {
                let workspace = asker.workspace;
                broken.push(format!("call {request} ran in the name of {workspace:?}"));
            }
        }
        for call in &self.calls {
            let (sent, over) = call.at;
            let removed = keys.removed_at(&call.key);
            let runs: usize = servers.iter().map(|server| server.runs_of(&call.id)).sum();
            if removed.is_some_and(|removed| sent >= removed + REVOCATION) && runs > 0 {
                broken.push(format!(
                    "call {} ran with a key that was taken away",
                    call.id
                ));
            }
            let held = removed.is_none_or(|removed| over < removed);
            if held && call.status == Some(401) {
                broken.push(format!(
                    "call {} was turned away with a key that is held",
                    call.id
                ));
            }
        }
        broken
    }

    /// Calls made, and calls answered with success.
    pub(super) fn count(&self) -> (usize, usize) {
        let served = self.calls.iter().filter(|call| call.status == Some(200));
        (self.calls.len(), served.count())
    }
}
