//! The duty that serves HTTP to callers and trainers.

use super::{
    app_api::AppApi,
    command::Command,
    request_body::Bodies,
    trainer_api::{self, TrainerApi}, //
};
use crate::{
    base::{Cause, Failure, Millis, RequestId},
    duty::{Answer, Context, HttpServer, problem, text}, //
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
    tokio::spawn(app.bodies.memory.clone().run());
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
        return answer_trainer(&app.bodies, trainers, request).await;
    }
    let detail = format!("no such resource: `{path}`");
    problem(&Failure::not_run(Cause::NotFound, detail), None)
}

/// Answers a request from a trainer.
async fn answer_trainer(bodies: &Bodies, api: TrainerApi, request: Request<Incoming>) -> Answer {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let (limit, wait) = (MAX_TRAINER_BODY, TRAINER_BODY_TIMEOUT);
    let body = match bodies.read(request, &path, limit, wait).await {
        Ok(body) => body,
        Err(failure) => return problem(&failure, None),
    };
    let (method, path) = (method.as_str(), path.as_str());
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
