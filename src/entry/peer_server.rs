//! The duty that answers requests of other entries.

use super::{
    directory::Directory,
    directory_update::DirectoryUpdate,
    forward::PEER_LINK_TUNING,
    learner::{DIRECTORY_PATH, LONG_POLL_TIMEOUT},
    trainer_api::{self, TrainerApi}, //
};
use crate::{
    duty::{Context, Phase},
    wire::{
        CallHead,
        FromAgent,
        Hello,
        Link,
        LinkEvent,
        MAX_CHUNK,
        MESSAGE_COST,
        STREAM_WINDOW,
        Slot,
        ToAgent,
        Work,
        handshake,
        run_link, //
    },
};
use bytes::Bytes;
use hyper::StatusCode;
use std::sync::Arc;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch}, //
};

/// The most connections open at once. A reader has one for each entry that fetches from
/// it: about 18 with 460 entries and 24 readers.
const MAX_LINKS: usize = 1_024;

/// The most events of one link that may wait.
const MAX_QUEUED_EVENTS: usize = 64;

/// The state needed to answer other entries.
#[derive(Clone)]
pub(super) struct PeerApi {
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) hello: Hello,
    pub(super) trainers: TrainerApi,
}

/// Answers until the program stops.
pub(super) async fn run(context: Context, listener: std::net::TcpListener, peers: PeerApi) {
    context.mark_drained();
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let permits = Arc::new(Semaphore::new(MAX_LINKS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = context.reached(Phase::Stopped) => return,
        };
        let (Ok((stream, _)), Ok(permit)) = (accepted, permits.clone().try_acquire_owned()) else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let peers = peers.clone();
        tokio::spawn(async move {
            serve(stream, peers).await;
            drop(permit);
        });
    }
}

/// Answers the one request of a connection.
async fn serve(stream: TcpStream, peers: PeerApi) {
    let Ok(opened) = handshake(stream, &peers.hello).await else {
        return;
    };
    let (inbox, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let link = run_link(opened, (), inbox, PEER_LINK_TUNING);
    let exchange = async {
        let Some(LinkEvent::Up { sender, .. }) = events.recv().await else {
            return;
        };
        let Some(LinkEvent::Message {
            message: ToAgent::Start(start),
            ..
        }) = events.recv().await
        else {
            return;
        };
        let Work::Call(head) = start.work else {
            return;
        };
        let answering = answer(&peers, head);
        let (status, body) = tokio::select! {
            answer = answering => answer,
            Some(LinkEvent::Down { .. }) = events.recv() => return,
        };
        reply(&sender, &mut events, start.slot, status, body).await;
        // The peer closes the connection once it has the whole answer.
        while let Some(event) = events.recv().await {
            if matches!(event, LinkEvent::Down { .. }) {
                return;
            }
        }
    };
    tokio::join!(link, exchange);
}

/// Answers a request for the directory, or a trainer's request that the peer has forwarded.
async fn answer(peers: &PeerApi, head: CallHead) -> (StatusCode, Bytes) {
    let (path, query) = head.path.split_once('?').unwrap_or((&head.path, ""));
    if path == DIRECTORY_PATH {
        let update = wait_for_update(
            peers,
            query_number(query, "revision"),
            query_number(query, "stamp"),
        );
        return (StatusCode::OK, update.await);
    }
    trainer_api::handle(&peers.trainers, &head.method, path, head.body, true).await
}

/// Waits until there is something newer than the peer's settings and list of instances.
/// After `LONG_POLL_TIMEOUT`, the update is empty.
async fn wait_for_update(peers: &PeerApi, revision: u64, stamp: u64) -> Bytes {
    let mut watch = peers.directory.clone();
    let any = watch.wait_for(|now| now.is_loaded() && now.update_since(revision, stamp).is_some());
    let _ = tokio::time::timeout(LONG_POLL_TIMEOUT.as_duration(), any).await;
    let update = peers.directory.borrow().update_since(revision, stamp);
    let update = update.unwrap_or_else(|| DirectoryUpdate {
        revision,
        ..DirectoryUpdate::default()
    });
    Bytes::from(serde_json::to_vec(&update).unwrap_or_default())
}

/// A number from a query string; 0 if it is missing or invalid.
fn query_number(query: &str, name: &str) -> u64 {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Sends the answer as fast as the peer's credit permits.
async fn reply(
    link: &Link<FromAgent>,
    events: &mut mpsc::Receiver<LinkEvent<(), ToAgent, FromAgent>>,
    slot: Slot,
    status: StatusCode,
    mut body: Bytes,
) {
    let headers = Vec::new();
    let status = status.as_u16();
    link.send(FromAgent::Head {
        slot,
        status,
        headers,
    })
    .await;
    let mut credit = STREAM_WINDOW;
    while !body.is_empty() {
        let bytes = body.split_to(body.len().min(MAX_CHUNK));
        let cost = bytes.len() as u32 + MESSAGE_COST;
        while credit < cost {
            match events.recv().await {
                Some(LinkEvent::Message {
                    message: ToAgent::Credit { bytes, .. },
                    ..
                }) => credit = (credit + bytes).min(STREAM_WINDOW),
                Some(LinkEvent::Message { .. }) => {}
                Some(LinkEvent::Down { .. } | LinkEvent::Up { .. }) | None => return,
            }
        }
        credit -= cost;
        link.send(FromAgent::Data { slot, bytes }).await;
    }
    link.send(FromAgent::End { slot, finish: None }).await;
}
