//! Admin HTTP routes of an agent: its load report, and its accounts of requests.

use crate::{
    base::{Account, RequestId},
    duty::{AdminRoute, json},
    wire::Report, //
};
use hyper::StatusCode;
use serde::Serialize;
use std::sync::Arc;
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// A query to the work duty, with the channel for the answer.
pub(super) enum Query {
    Account(RequestId, oneshot::Sender<Option<Account>>),
    Report(oneshot::Sender<Report>),
}

/// The most queries that may wait; further ones are answered as an unknown path.
pub(super) const MAX_QUEUED_QUERIES: usize = 16;

/// The answer of `/v1/account/ID`.
#[derive(Serialize)]
struct AccountAnswer {
    account: Option<Account>,
}

/// The agent's own routes on the admin HTTP server; `None` for any other path.
pub(super) fn admin_route(queries: mpsc::Sender<Query>) -> AdminRoute {
    Arc::new(move |request| {
        let queries = queries.clone();
        let path = request.uri().path().to_owned();
        Box::pin(async move {
            if path == "/v1/report" {
                let (reply, answer) = oneshot::channel();
                queries.try_send(Query::Report(reply)).ok()?;
                return Some(json(StatusCode::OK, &answer.await.ok()?));
            }
            let id = path.strip_prefix("/v1/account/")?.parse().ok()?;
            let (reply, answer) = oneshot::channel();
            queries.try_send(Query::Account(id, reply)).ok()?;
            let account = answer.await.ok()?;
            Some(json(StatusCode::OK, &AccountAnswer { account }))
        })
    })
}
