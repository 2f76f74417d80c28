//! Batches that trainers submit, and the checks of what trainers read.

use crate::{
    client::{Client, FullResponse},
    site::{Batch, ItemResult, ResultPage}, //
};
use hyper::Method;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

/// A batch, the answers to its submissions and the results read so far.
pub(super) struct SubmittedBatch {
    /// Whether any submission was answered with 202.
    pub(super) accepted: bool,
    pub(super) batch: Batch,
    /// The violations found in answers so far.
    pub(super) violations: Vec<String>,
    /// The item that crashes each engine that runs it; it may be terminated.
    pub(super) fatal_item: Option<String>,
    /// Whether every submission so far was refused; the batch must not exist then.
    refused: bool,
    results: Vec<ItemResult>,
}

/// How long a trainer waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

impl SubmittedBatch {
    /// A batch that hasn't been submitted yet.
    pub(super) fn new(batch: Batch) -> Self {
        Self {
            accepted: false,
            batch,
            violations: Vec::new(),
            fatal_item: None,
            refused: true,
            results: Vec::new(),
        }
    }

    /// Submits the batch through a gateway.
    pub(super) async fn submit(&mut self, client: &Client, gateway: SocketAddr, key: &str) {
        let path = format!("/roll/{}", self.batch.id);
        let headers = [
            ("host", "site.example"),
            ("x-attempt-id", self.batch.id.as_str()),
            ("x-api-key", key),
        ];
        let body = self.batch.body();
        let answer = client.call(
            Method::POST,
            gateway,
            &path,
            &headers,
            body,
            REQUEST_TIMEOUT,
        );
        let status = answer.await.ok().map(|answer| answer.status.as_u16());
        self.accepted |= status == Some(202);
        self.refused &= matches!(status, Some(429 | 503));
        if matches!(status, Some(400..=428)) {
            let id = &self.batch.id;
            self.violations
                .push(format!("submission of batch {id} was denied: {status:?}"));
        }
    }

    /// Reads further results, and reads the last `overlap` known ones again to compare them.
    pub(super) async fn read(
        &mut self,
        client: &Client,
        gateway: SocketAddr,
        key: &str,
        overlap: usize,
    ) {
        let from = self.results.len().saturating_sub(overlap);
        let path = format!("/redwingpond/lots/{}?startAfter={from}", self.batch.id);
        let headers = [
            ("host", "site.example"),
            ("x-api-key", key),
            ("x-wait-ms", "100"),
        ];
        let answer = client.call(Method::GET, gateway, &path, &headers, "", REQUEST_TIMEOUT);
        let Ok(answer) = answer.await else {
            return;
        };
        self.check(&answer, from);
    }

    /// Compares a page with the results read before, and adds its new results.
    fn check(&mut self, answer: &FullResponse, from: usize) {
        let id = &self.batch.id;
        match (answer.status.as_u16(), self.accepted) {
            (200, _) if self.refused => self
                .violations
                .push(format!("batch {id} exists though it was refused")),
            (404, true) => self
                .violations
                .push(format!("accepted batch {id} is unknown")),
            (200, _) => {
                let page = ResultPage::read(answer);
                if page.total != self.batch.item_ids().len() {
                    self.violations
                        .push(format!("batch {id} has a wrong total"));
                }
                for (offset, result) in page.results.into_iter().enumerate() {
                    match self.results.get(from + offset) {
                        Some(known) if *known != result => {
                            self.violations.push(format!(
                                "batch {id} has another result than before at position {}",
                                from + offset
                            ));
                        }
                        Some(_) => {}
                        None => self.results.push(result),
                    }
                }
            }
            _ => {}
        }
    }

    /// Whether all results have been read; true for a batch that wasn't accepted.
    pub(super) fn is_done(&self) -> bool {
        !self.accepted || self.results.len() >= self.batch.item_ids().len()
    }

    /// All violations, including those that can only be checked after the last read.
    pub(super) fn violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        let id = &self.batch.id;
        if !self.is_done() {
            let (listed, total) = (self.results.len(), self.batch.item_ids().len());
            violations.push(format!("batch {id} has only {listed} of {total} results"));
        }
        let ids: BTreeSet<&str> = self
            .results
            .iter()
            .map(|result| result.id.as_str())
            .collect();
        if ids.len() != self.results.len() {
            violations.push(format!("batch {id} lists an item twice"));
        }
        for result in &self.results {
            if self.fatal_item.as_ref() == Some(&result.id) {
                continue;
            }
            if result.state != "succeeded" {
                violations.push(format!("item {} was terminated", result.id));
            } else if result.text != self.batch.expected_text(&result.id) {
                violations.push(format!("item {} has a wrong text", result.id));
            }
            let least = self.batch.least_version;
            if result.versions.iter().any(|version| *version < least) {
                violations.push(format!(
                    "item {} was made by weights older than version {least}",
                    result.id
                ));
            }
        }
        violations
    }
}
