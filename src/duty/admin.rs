//! The HTTP server for operators: health, readiness, metrics and routes of the program.

use super::{
    Answer,
    Context,
    Health,
    HttpServer,
    Phase,
    render_metrics,
    text, //
};
use crate::base::Millis;
use hyper::{
    Request,
    StatusCode,
    body::Incoming, //
};
use std::{
    pin::Pin,
    sync::Arc, //
};
use tokio::sync::watch;

/// The handler for a program's own paths; returns `None` for an unknown path.
pub type AdminRoute = Arc<
    dyn Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = Option<Answer>> + Send>> + Send + Sync,
>;

/// Serves operators until the program has stopped. `ready` tells whether the program can serve
/// its clients.
pub async fn serve_admin(
    context: Context,
    server: HttpServer,
    health: watch::Receiver<Health>,
    ready: impl Fn() -> bool + Send + Sync + 'static,
    route: AdminRoute,
) {
    // Operators are served until the end of a stop, so that they can watch it. This duty counts
    // as drained from its start, so that the stop doesn't wait for it.
    context.mark_drained();
    let ready = Arc::new(ready);
    let serving = server.serve(&context, Millis(u64::MAX / 4), move |request| {
        let health = *health.borrow();
        let ready = ready.clone();
        let route = route.clone();
        async move {
            match request.uri().path() {
                "/healthz" => probe_response(health.failed == 0, "a duty has ended"),
                "/metrics" => text(
                    StatusCode::OK,
                    "text/plain; version=0.0.4",
                    render_metrics(),
                ),
                "/readyz" => {
                    let running = health.phase == Phase::Running;
                    probe_response(running && ready(), "draining, or not yet up")
                }
                _ => match route(request).await {
                    Some(answer) => answer,
                    None => text(StatusCode::NOT_FOUND, "text/plain", "no such page\n"),
                },
            }
        }
    });
    tokio::select! {
        () = serving => {}
        () = context.reached(Phase::Stopped) => {}
    }
}

fn probe_response(passes: bool, reason: &'static str) -> Answer {
    match passes {
        true => text(StatusCode::OK, "text/plain", "ok\n"),
        false => {
            let body = format!("{reason}\n");
            text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", body)
        }
    }
}
