//! Calls of plain services, and the checks of their answers and of what servers received.

use super::keys::{
    Keys,
    REVOCATION_LIMIT, //
};
use crate::{
    client::Client,
    site::PlainServer, //
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

/// One call and its answer; `body` and `status` are `None` if there was no answer.
#[derive(Clone, Debug)]
struct Call {
    /// When the call was sent and when it ended.
    span: (Millis, Millis),
    body: Option<bytes::Bytes>,
    id: String,
    key: String,
    /// Whether the route allows at most one run.
    once: bool,
    status: Option<u16>,
}

/// The request id and the API key that a call is sent with.
#[derive(Clone, Debug)]
pub(super) struct Credentials {
    pub(super) id: String,
    pub(super) key: String,
}

/// The body of calls that crash each server that runs them.
pub(super) const FATAL_BODY: &str = "fatal";

/// The calls made so far, without those that crash their servers.
#[derive(Debug, Default)]
pub(super) struct Callers {
    calls: Vec<Call>,
}

/// How long a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Callers {
    /// Makes one call and records its answer.
    pub(super) async fn call(
        &mut self,
        client: &Client,
        gateway: SocketAddr,
        credentials: Credentials,
        clock: Clock,
    ) {
        let Credentials { id, key } = credentials;
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
        let answer = client.call(Method::POST, gateway, path, &headers, body, CALL_TIMEOUT);
        let answer = answer.await.ok();
        self.calls.push(Call {
            span: (sent, clock.now()),
            key,
            body: answer.as_ref().map(|answer| answer.body.clone()),
            status: answer.map(|answer| answer.status.as_u16()),
            id,
            once,
        });
    }

    /// Makes a call that crashes the servers that run it, and ignores the answer.
    pub(super) async fn call_fatal(
        client: &Client,
        gateway: SocketAddr,
        credentials: &Credentials,
    ) {
        let headers = [
            ("host", "site.example"),
            ("x-api-key", credentials.key.as_str()),
            ("x-attempt-id", credentials.id.as_str()),
            ("x-deadline-ms", "1500"),
        ];
        let answer = client.call(
            Method::POST,
            gateway,
            "/safe/x",
            &headers,
            FATAL_BODY,
            CALL_TIMEOUT,
        );
        let _ = answer.await;
    }

    /// Describes the calls of at-most-once routes that ran more than once or ran though they
    /// were refused, and all calls that got the answer of another call or were answered 404.
    pub(super) fn violations(&self, servers: &[PlainServer]) -> Vec<String> {
        let mut violations = Vec::new();
        for call in &self.calls {
            let runs: usize = servers.iter().map(|server| server.runs_of(&call.id)).sum();
            if call.once && runs > 1 {
                violations.push(format!("call {} ran {runs} times", call.id));
            }
            if call.once && call.status == Some(503) && runs > 0 {
                violations.push(format!("call {} ran though it was refused", call.id));
            }
            let own = format!("body of {}", call.id);
            if call.status == Some(200) && call.body.as_deref() != Some(own.as_bytes()) {
                violations.push(format!("call {} got the answer of another call", call.id));
            }
            if call.status == Some(404) {
                violations.push(format!(
                    "call {} was answered 404 though its route exists",
                    call.id
                ));
            }
        }
        violations
    }

    /// Describes the requests that reached a server with their API key or under a wrong
    /// workspace, and the calls that ran with a removed key or were denied with a valid one.
    pub(super) fn key_violations(&self, servers: &[PlainServer], keys: &Keys) -> Vec<String> {
        let mut violations = Vec::new();
        for identity in servers.iter().flat_map(PlainServer::identities) {
            let request = &identity.request;
            if identity.key.is_some() {
                violations.push(format!("a server received the key of call {request}"));
            }
            let call = self.calls.iter().find(|call| call.id == *request);
            let workspace = call.and_then(|call| call.key.split('-').next());
            if call.is_some() && identity.workspace.as_deref() != workspace {
                let workspace = identity.workspace;
                violations.push(format!("call {request} ran under workspace {workspace:?}"));
            }
        }
        for call in &self.calls {
            let (sent, ended) = call.span;
            let removed = keys.removed_at(&call.key);
            let runs: usize = servers.iter().map(|server| server.runs_of(&call.id)).sum();
            if removed.is_some_and(|removed| sent >= removed + REVOCATION_LIMIT) && runs > 0 {
                violations.push(format!("call {} ran with a removed key", call.id));
            }
            let was_valid = removed.is_none_or(|removed| ended < removed);
            if was_valid && call.status == Some(401) {
                violations.push(format!("call {} was denied with a valid key", call.id));
            }
        }
        violations
    }

    /// The number of calls made, and of calls answered with 200.
    pub(super) fn counts(&self) -> (usize, usize) {
        let served = self.calls.iter().filter(|call| call.status == Some(200));
        (self.calls.len(), served.count())
    }
}
