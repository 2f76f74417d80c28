//! Serves changes to the children of this instance.

use super::{
    handle::{PATH, Relay},
    message::{RelayRequest, Reply, Want}, //
};
use crate::{
    base::Millis,
    duty::{Answer, Context, HttpServer, text}, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Request,
    StatusCode,
    body::Incoming, //
};
use std::sync::Arc;

/// The maximum size of a relay request.
const MAX_REQUEST_BYTES: usize = 4 * 1024;

/// The longest time for which a relay request is held.
const MAX_HOLD: Millis = Millis(2_000);

const OCTET_STREAM: &str = "application/octet-stream";

impl Relay {
    /// Answers relay requests until the program drains.
    pub async fn serve(self: Arc<Self>, context: Context, server: HttpServer) {
        let handler = move |request| {
            let relay = self.clone();
            async move { relay.answer(request).await }
        };
        server.serve(&context, Millis(0), handler).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() != PATH {
            return text(StatusCode::NOT_FOUND, "text/plain", "no such page\n");
        }
        let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
        let relay_request = match body.collect().await {
            Ok(body) => postcard::from_bytes::<RelayRequest>(&body.to_bytes()).ok(),
            Err(_) => None,
        };
        let Some(relay_request) = relay_request else {
            tracing::warn!("invalid relay request");
            return text(StatusCode::BAD_REQUEST, "text/plain", "no question\n");
        };
        let reply = self.reply(relay_request).await;
        match postcard::to_stdvec(&reply) {
            Ok(body) => text(StatusCode::OK, OCTET_STREAM, body),
            Err(error) => {
                tracing::error!(%error, "relay reply can't be encoded");
                text(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "text/plain",
                    "no reply\n",
                )
            }
        }
    }

    /// Replies to a relay request. Each request, not only a join, makes its sender a child of
    /// this instance if there is room.
    async fn reply(&self, request: RelayRequest) -> Reply {
        let RelayRequest {
            at,
            from,
            hold,
            want,
        } = request;
        let now = self.clock.now();
        let admitted = self.children().admit(&from, at, now);
        if !admitted {
            return Reply::Full(self.children().addresses());
        }
        let hold = hold.min(MAX_HOLD);
        match want {
            Want::Changes { after, table } => self.changes(&table, after, hold).await,
            Want::Join => self.admit_child(&from, hold).await,
        }
    }

    /// Answers a child's request for the changes of `table` after the revision `after`.
    async fn changes(&self, table: &str, after: u64, hold: Millis) -> Reply {
        let Some(table) = self.known_table(table) else {
            return Reply::Forgotten;
        };
        table.wait_update(after, hold).await;
        if !table.can_serve() {
            return Reply::Lost;
        }
        metrics::counter!("redwing_relay_pages_total").increment(1);
        let page = table.page(after, self.clock.now());
        page.map_or(Reply::Forgotten, Reply::Page)
    }

    /// Accepts the instance `from` as a child if all tables that this process follows can
    /// be served within `hold`.
    async fn admit_child(&self, from: &str, hold: Millis) -> Reply {
        self.start_retaining_rows();
        let tables = self.all_tables();
        let until = self.clock.now() + hold;
        for table in &tables {
            table.wait_servable(until.since(self.clock.now())).await;
        }
        if tables.is_empty() || !tables.iter().all(|table| table.can_serve()) {
            return Reply::Lost;
        }
        let children = self.children().count();
        metrics::gauge!("redwing_relay_children").set(children as f64);
        tracing::info!(instance = from, children, "child admitted");
        Reply::Joined
    }
}
