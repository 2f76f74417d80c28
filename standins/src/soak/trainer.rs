//! Trainers' batches, and what a trainer may never see.

use crate::{
    client::{Client, FullResponse},
    site::{Batch, Reply, ScenePage}, //
};
use hyper::Method;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

/// A batch, how its submissions were answered and what was read of it.
pub(super) struct Submitted {
    pub(super) accepted: bool,
    pub(super) batch: Batch,
    pub(super) broken: Vec<String>,
    /// The item that ends each engine that runs it, and is given up.
    pub(super) fatal: Option<String>,
    /// Whether each submission was refused: then it may never exist.
    refused: bool,
    results: Vec<Reply>,
}

/// How long a trainer waits.
const WITHIN: Duration = Duration::from_secs(6);

impl Submitted {
    /// A batch that was not submitted yet.
    pub(super) fn new(batch: Batch) -> Self {
        Self {
            accepted: false,
            batch,
            broken: Vec::new(),
            fatal: None,
            refused: true,
            results: Vec::new(),
        }
    }

    /// Submits it through a gateway.
    pub(super) async fn submit(&mut self, client: &Client, gateway: SocketAddr, key: &str) {
        let path = format!("/roll/{}", self.batch.id);
        let headers = [
            ("host", "site.example"),
            ("x-attempt-id", self.batch.id.as_str()),
            ("x-api-key", key),
        ];
        let body = self.batch.body();
        let answer = client.call(Method::POST, gateway, &path, &headers, body, WITHIN);
        let status = answer.await.ok().map(|answer| answer.status.as_u16());
        self.accepted |= status == Some(202);
        self.refused &= matches!(status, Some(429 | 503));
        if matches!(status, Some(400..=428)) {
            let id = &self.batch.id;
            self.broken
                .push(format!("batch {id} was denied: {status:?}"));
        }
    }

    /// Reads on, from a position before the last one read.
    pub(super) async fn read(
        &mut self,
        client: &Client,
        gateway: SocketAddr,
        key: &str,
        back: usize,
    ) {
        let from = self.results.len().saturating_sub(back);
        let path = format!("/redwingpond/lots/{}?startAfter={from}", self.batch.id);
        let headers = [
            ("host", "site.example"),
            ("x-api-key", key),
            ("x-wait-ms", "100"),
        ];
        let answer = client.call(Method::GET, gateway, &path, &headers, "", WITHIN);
        let Ok(answer) = answer.await else {
            return;
        };
        self.check(&answer, from);
    }

    fn check(&mut self, answer: &FullResponse, from: usize) {
        let id = &self.batch.id;
        match (answer.status.as_u16(), self.accepted) {
            (200, _) if self.refused => self.broken.push(format!("batch {id} was refused and is")),
            (404, true) => self.broken.push(format!("accepted batch {id} is unknown")),
            (200, _) => {
                let page = ScenePage::read(answer);
                if page.total != self.batch.items().len() {
                    self.broken.push(format!("batch {id} has a wrong total"));
                }
                for (offset, reply) in page.results.into_iter().enumerate() {
                    match self.results.get(from + offset) {
                        Some(known) if *known != reply => {
                            self.broken
                                .push(format!("batch {id} changed at {}", from + offset));
                        }
                        Some(_) => {}
                        None => self.results.push(reply),
                    }
                }
            }
            _ => {}
        }
    }

    /// Whether all results are there.
    pub(super) fn is_done(&self) -> bool {
        !self.accepted || self.results.len() >= self.batch.items().len()
    }

    /// What is wrong with what was read, once all is.
    pub(super) fn final_faults(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        let id = &self.batch.id;
        if !self.is_done() {
            let (listed, total) = (self.results.len(), self.batch.items().len());
            broken.push(format!("batch {id} has only {listed} of {total} results"));
        }
        let ids: BTreeSet<&str> = self.results.iter().map(|reply| reply.id.as_str()).collect();
        if ids.len() != self.results.len() {
            broken.push(format!("batch {id} lists an item twice"));
        }
        for reply in &self.results {
            if self.fatal.as_ref() == Some(&reply.id) {
                continue;
            }
            if reply.state != "succeeded" {
                broken.push(format!("item {} was given up", reply.id));
            } else if reply.text != self.batch.text(&reply.id) {
                broken.push(format!("item {} has a wrong text", reply.id));
            }
            let least = self.batch.least_version;
            if reply.versions.iter().any(|version| *version < least) {
                broken.push(format!("item {} is older than {least}", reply.id));
            }
        }
        broken
    }
}
