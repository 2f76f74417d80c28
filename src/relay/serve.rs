//! Feeds other instances.

use super::{
    handle::{PATH, Relay},
    message::{Question, Reply, Want}, //
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

/// The bytes of a question.
const QUESTION_MOST: usize = 4 * 1024;

/// The longest time that a question is held.
const HOLD_MOST: Millis = Millis(2_000);

const BYTES: &str = "application/octet-stream";

impl Relay {
    /// Answers other instances until the program drains.
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
        let body = Limited::new(request.into_body(), QUESTION_MOST);
        let question = match body.collect().await {
            Ok(body) => postcard::from_bytes::<Question>(&body.to_bytes()).ok(),
            Err(_) => None,
        };
        let Some(question) = question else {
            tracing::warn!("a question of another instance is not understood");
            return text(StatusCode::BAD_REQUEST, "text/plain", "no question\n");
        };
        let reply = self.reply(question).await;
        match postcard::to_stdvec(&reply) {
            Ok(body) => text(StatusCode::OK, BYTES, body),
            Err(error) => {
                tracing::error!(%error, "a reply can't be encoded");
                text(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "text/plain",
                    "no reply\n",
                )
            }
        }
    }

    async fn reply(&self, question: Question) -> Reply {
        let Question {
            at,
            from,
            hold,
            want,
        } = question;
        let now = self.clock.now();
        let admitted = self.children().admit(&from, at, now);
        if !admitted {
            return Reply::Full(self.children().addresses());
        }
        let hold = hold.min(HOLD_MOST);
        match want {
            Want::Changes { after, table } => self.changes(&table, after, hold).await,
            Want::Join => self.take_in(&from, hold).await,
        }
    }

    async fn changes(&self, table: &str, after: u64, hold: Millis) -> Reply {
        let Some(table) = self.known_table(table) else {
            return Reply::Forgotten;
        };
        table.wait_told(after, hold).await;
        if !table.feeds() {
            return Reply::Lost;
        }
        metrics::counter!("redwing_relay_pages_total").increment(1);
        let page = table.page(after, self.clock.now());
        page.map_or(Reply::Forgotten, Reply::Page)
    }

    async fn take_in(&self, from: &str, hold: Millis) -> Reply {
        self.serve_others();
        let tables = self.all_tables();
        let until = self.clock.now() + hold;
        for table in &tables {
            table.wait_feeds(until.since(self.clock.now())).await;
        }
        if tables.is_empty() || !tables.iter().all(|table| table.feeds()) {
            return Reply::Lost;
        }
        let children = self.children().count();
        metrics::gauge!("redwing_relay_children").set(children as f64);
        tracing::info!(instance = from, children, "feeds another instance");
        Reply::Joined
    }
}
