//! Submissions of batches, and the trainer that reads their results.

use crate::{
    http::{Response, call},
    json::{Json, base64, quote},
    record::Record,
};
use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// An item of a batch.
#[derive(Clone)]
pub struct Item {
    pub group: String,
    pub id: String,
    pub path: String,
    /// The body of its request.
    pub body: String,
    /// The id and path of its reward call.
    pub scorer: Option<(String, String)>,
}

/// The body of a submission.
pub fn body(host: &str, model: &str, target: usize, items: &[Item]) -> String {
    let items = items.iter().map(|item| {
        let scorer = item.scorer.as_ref().map(|(id, path)| {
            format!(
                ",\"scorer\":{{\"id\":{},\"host\":{},\"path\":{},\"body\":\"{}\"}}",
                quote(id),
                quote(host),
                quote(path),
                base64(b"score")
            )
        });
        format!(
            "{{\"id\":{},\"path\":{},\"headers\":{{\"X-Model\":{},\"X-Token-Usage\":\"540,400\",\
             \"X-Prompt-Prefix\":\"9c2e41:300,5d07b8:240\"}},\"body\":\"{}\",\"tokens\":940,\
             \"group\":{}{}}}",
            quote(&item.id),
            quote(&item.path),
            quote(model),
            base64(item.body.as_bytes()),
            quote(&item.group),
            scorer.unwrap_or_default()
        )
    });
    let items: Vec<String> = items.collect();
    format!(
        "{{\"step\":1,\"model\":{},\"minVersion\":1,\"groupTarget\":{target},\"items\":[{}]}}",
        quote(model),
        items.join(",")
    )
}

/// A trainer or another requester at one gateway.
#[derive(Clone)]
pub struct Client {
    pub front: SocketAddr,
    pub host: String,
    pub record: Record,
}

impl Client {
    /// Sends one request; the record gets the request and the status.
    pub fn send(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Response> {
        let mut all = vec![("Host", self.host.as_str())];
        all.extend_from_slice(headers);
        let answer = call(self.front, method, target, &all, body, timeout);
        let told = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => format!("no answer: {error}"),
        };
        let bytes = body.len();
        self.record
            .line(&format!("{method} {target} ({bytes} bytes) -> {told}"));
        answer
    }

    /// Submits a batch.
    pub fn submit(&self, path: &str, id: &str, body: &str) -> io::Result<u16> {
        let headers = [("X-Attempt-Id", id), ("Content-Type", "application/json")];
        let timeout = Duration::from_secs(6);
        let answer = self.send("POST", path, &headers, body.as_bytes(), timeout)?;
        Ok(answer.status)
    }

    /// Reads the results from `from` on: the status, the ids and states, and the texts.
    pub fn results(&self, id: &str, from: usize) -> io::Result<(u16, Vec<Listed>)> {
        let target = format!("/redwingpond/lots/{id}?startAfter={from}");
        let wait = [("X-Wait-Ms", "1000")];
        let timeout = Duration::from_millis(2_500);
        let answer = self.send("GET", &target, &wait, b"", timeout)?;
        let page = Json::read(&answer.body).unwrap_or(Json::Null);
        let results = page.get("results").list().iter();
        let results = results.map(|result| Listed {
            id: result.get("id").text().to_owned(),
            state: result.get("state").text().to_owned(),
            text: result.get("text").text().to_owned(),
        });
        Ok((answer.status, results.collect()))
    }

    /// Reads the results as a trainer does, about twice a second, until there are `count` or
    /// the time is over.
    pub fn read_all(&self, id: &str, count: usize, within: Duration) -> Vec<Listed> {
        let until = Instant::now() + within;
        let mut all = Vec::new();
        while all.len() < count && Instant::now() < until {
            match self.results(id, all.len()) {
                Ok((200, more)) => {
                    for listed in &more {
                        self.record
                            .line(&format!("batch {id} lists {} {}", listed.id, listed.state));
                    }
                    all.extend(more);
                }
                _ => thread::sleep(Duration::from_millis(400)),
            }
            thread::sleep(Duration::from_millis(100));
        }
        all
    }
}

/// A result as a trainer reads it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub text: String,
}

/// An id as the pages show them: 16 hexadecimal digits.
pub fn hex_id(kind: u32, number: usize) -> String {
    let mixed = (u64::from(kind) << 32 | number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}
