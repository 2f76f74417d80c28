//! The duty that serves HTTP to callers and trainers.

use super::{
    app_api::AppApi,
    command::Command,
    trainer_api::{self, TrainerApi}, //
};
use crate::{
    base::{Cause, Failure, Millis, RequestId},
    duty::{Answer, Context, HttpServer, problem, text}, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Request,
    body::Incoming, //
};
use tokio::sync::mpsc;

/// The largest body of a trainer's request, in bytes: a step of 2,048 prompts of 8 KB.
const MAX_TRAINER_BODY: usize = 16 * 1024 * 1024;

/// How long the body of a trainer's request may take to arrive.
const TRAINER_BODY_TIMEOUT: Millis = Millis(30_000);

/// The most ids in one `Command::Delivered`.
const MAX_DELIVERY_BATCH: usize = 128;

/// Serves until the program has drained, then waits until it stops.
pub(super) async fn run(
    context: Context,
    server: HttpServer,
    close_delay: Millis,
    app: AppApi,
    trainers: TrainerApi,
    delivered: mpsc::Receiver<RequestId>,
) {
    tokio::spawn(report_deliveries(delivered, app.traffic.clone()));
    server
        .serve(&context, close_delay, move |request| {
            let (app, trainers) = (app.clone(), trainers.clone());
            async move { route(app, trainers, request).await }
        })
        .await;
    context.mark_drained();
    context.reached(crate::duty::Phase::Stopped).await;
}

/// Answers one request.
async fn route(app: AppApi, trainers: TrainerApi, request: Request<Incoming>) -> Answer {
    let path = request.uri().path();
    if path.starts_with("/v1/app/") {
        return app.handle(request).await;
    }
    if path.starts_with("/v1/teams/") {
        return answer_trainer(trainers, request).await;
    }
    let detail = format!("no such resource: `{path}`");
    problem(&Failure::not_run(Cause::NotFound, detail), None)
}

/// Answers a request from a trainer.
async fn answer_trainer(api: TrainerApi, request: Request<Incoming>) -> Answer {
    let (parts, body) = request.into_parts();
    let gathered = Limited::new(body, MAX_TRAINER_BODY).collect();
    let body = match tokio::time::timeout(TRAINER_BODY_TIMEOUT.as_duration(), gathered).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let failure = Failure::not_run(Cause::TooLarge, error.to_string());
            return problem(&failure, None);
        }
        Err(_) => {
            let detail = "the body did not arrive in time";
            return problem(&Failure::not_run(Cause::BadRequest, detail), None);
        }
    };
    let (method, path) = (parts.method.as_str(), parts.uri.path());
    let (status, body) = trainer_api::handle(&api, method, path, body, false).await;
    let kind = match status.is_success() {
        true => "application/json",
        false => "application/problem+json",
    };
    text(status, kind, body)
}

/// Reports delivered answers to the traffic duty, in batches.
async fn report_deliveries(
    mut delivered: mpsc::Receiver<RequestId>,
    traffic: mpsc::Sender<Command>,
) {
    let mut batch = Vec::with_capacity(MAX_DELIVERY_BATCH);
    while delivered.recv_many(&mut batch, MAX_DELIVERY_BATCH).await > 0 {
        let requests = std::mem::take(&mut batch);
        if traffic.send(Command::Delivered(requests)).await.is_err() {
            return;
        }
    }
}
