//! A stand-in for a scoring service: `POST /score` with `{prompt, text}`.

use crate::{
    server::{Server, read_json},
    truth, //
};
use hyper::{
    Request,
    StatusCode,
    body::Incoming, //
};
use redwingpond::duty::{
    Answer,
    json,
    text, //
};
use serde::Deserialize;
use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

/// A running scorer; dropping it stops it.
pub struct Scorer {
    pub address: SocketAddr,
    _server: Server,
}

/// The body of `POST /score`; the prompt isn't needed.
#[derive(Deserialize)]
struct ScoreRequest {
    text: String,
}

impl Scorer {
    /// Listens at `address` and takes `time` for each score.
    pub async fn open(address: SocketAddr, time: Duration) -> io::Result<Self> {
        let server = Server::open(address, move |request| answer(request, time)).await?;
        Ok(Self {
            address: server.address,
            _server: server,
        })
    }
}

async fn answer(request: Request<Incoming>, time: Duration) -> io::Result<Answer> {
    if request.uri().path() != "/score" {
        return Ok(text(StatusCode::NOT_FOUND, "text/plain", "no such path\n"));
    }
    let score_request: ScoreRequest = read_json(request.into_body()).await?;
    tokio::time::sleep(time).await;
    let score = truth::score(&score_request.text);
    Ok(json(StatusCode::OK, &serde_json::json!({ "score": score })))
}
