//! Sends small HTTP requests to other entries.

use crate::{
    base::{Cause, Clock, Failure, Incarnation, Issuer, Millis, Priority, RequestId},
    wire::{
        CallHead,
        FromAgent,
        Hello,
        Link,
        LinkEvent,
        LinkTuning,
        MESSAGE_COST,
        Slot,
        Start,
        ToAgent,
        Work,
        handshake,
        run_link, //
    },
};
use bytes::{
    Bytes,
    BytesMut, //
};
use hyper::StatusCode;
use std::net::SocketAddr;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::timeout, //
};

/// The clock and the hello with which links to other entries are opened.
#[derive(Clone)]
pub(super) struct Forwarder {
    pub(super) clock: Clock,
    pub(super) hello: Hello,
}

/// The slot of the request. One is enough, as each request has a connection of its own.
const SLOT: Slot = Slot(1);

/// The most events of the request's link that may wait.
const MAX_QUEUED_EVENTS: usize = 64;

/// Heartbeats on links between entries. They are rare, because long polls keep these links
/// idle. A silent peer is still detected early enough to fetch the settings elsewhere
/// within 8 s.
pub(super) const PEER_LINK_TUNING: LinkTuning = LinkTuning {
    heartbeat_interval: Millis(2_500),
    silence_timeout: Millis(6_000),
};

/// The largest body of an answer, in bytes.
const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// Gets `path` from the entry at `peer`; any status except 200 is a failure.
pub(super) async fn get(
    forward: &Forwarder,
    peer: SocketAddr,
    path: &str,
    time_limit: Millis,
) -> Result<Bytes, Failure> {
    let (status, body) = send(forward, peer, "GET", path, Bytes::new(), time_limit).await?;
    match status {
        StatusCode::OK => Ok(body),
        _ => Err(Failure::not_run(Cause::Unknown, status.to_string())),
    }
}

/// Sends a request to the entry at `peer`, and reads the whole answer. The time limit
/// counts from when the link is open.
pub(super) async fn send(
    forward: &Forwarder,
    peer: SocketAddr,
    method: &str,
    path: &str,
    body: Bytes,
    time_limit: Millis,
) -> Result<(StatusCode, Bytes), Failure> {
    let connected = timeout(Millis(1_000).as_duration(), TcpStream::connect(peer)).await;
    let Ok(Ok(stream)) = connected else {
        let detail = format!("no connection to the entry at {peer}");
        return Err(Failure::not_run(Cause::LinkLost, detail));
    };
    let opened = handshake(stream, &forward.hello)
        .await
        .map_err(|error| Failure::not_run(Cause::LinkLost, error.to_string()))?;

    let (inbox, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let link = run_link(opened, (), inbox, PEER_LINK_TUNING);
    let exchange = async {
        let Some(LinkEvent::Up { sender, .. }) = events.recv().await else {
            return Err(incomplete_answer());
        };
        sender
            .send(start_message(forward, method, path, body, time_limit))
            .await;
        receive_answer(&sender, &mut events).await
    };
    let exchange_on_link = async {
        tokio::select! {
            answer = exchange => answer,
            () = link => Err(incomplete_answer()),
        }
    };
    match timeout(time_limit.as_duration(), exchange_on_link).await {
        Ok(answer) => answer,
        Err(_) => Err(incomplete_answer()),
    }
}

/// Reads the answer, and gives the peer credit for the parts read.
async fn receive_answer(
    link: &Link<ToAgent>,
    events: &mut mpsc::Receiver<LinkEvent<(), FromAgent, ToAgent>>,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut body = BytesMut::new();
    let mut status_code = StatusCode::INTERNAL_SERVER_ERROR;
    while let Some(event) = events.recv().await {
        let LinkEvent::Message { message, .. } = event else {
            break;
        };
        match message {
            FromAgent::Data { bytes, .. } => {
                body.extend_from_slice(&bytes);
                if body.len() > MAX_ANSWER {
                    break;
                }
                let credit = ToAgent::Credit {
                    bytes: bytes.len() as u32 + MESSAGE_COST,
                    slot: SLOT,
                };
                link.send(credit).await;
            }
            FromAgent::End { .. } => return Ok((status_code, body.freeze())),
            FromAgent::Failed { failure, .. } => return Err(failure),
            FromAgent::Head { status, .. } => {
                status_code = StatusCode::from_u16(status).unwrap_or(status_code);
            }
            _ => {}
        }
    }
    Err(incomplete_answer())
}

/// The failure of a request whose answer did not arrive whole.
fn incomplete_answer() -> Failure {
    Failure::may_have_run(Cause::LinkLost, "the other entry gave no whole answer")
}

/// The message that starts the request. Its request id is a placeholder: the peer does not
/// use it.
fn start_message(
    forward: &Forwarder,
    method: &str,
    path: &str,
    body: Bytes,
    budget: Millis,
) -> ToAgent {
    let request = RequestId {
        incarnation: Incarnation::started_at(forward.clock.now()),
        issuer: Issuer::of(&forward.hello.instance),
        second: 0,
        sequence: 0,
    };
    ToAgent::Start(Box::new(Start {
        attempt: 0,
        budget,
        class: String::new(),
        idempotent: true,
        key: None,
        priority: Priority::Live,
        request,
        slot: SLOT,
        team: String::new(),
        work: Work::Call(CallHead {
            body,
            headers: Vec::new(),
            method: method.to_owned(),
            path: path.to_owned(),
            whole: true,
        }),
    }))
}
