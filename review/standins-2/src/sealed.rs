//! A sampler that spoils some of its answers to requests of a streaming route.

use crate::{
    Verdict,
    batch::hex_id,
    deployment::has_trouble,
    record::Record,
    site,
    stage::{Plan, Stage},
};
use std::{io, time::Duration};

/// The requests, and which of the sampler's answers are spoilt: 2 of 100, as the sheet's
/// disturbance does.
const REQUESTS: usize = 100;
const SPOILT: usize = 50;

pub fn play(record: &Record) -> io::Result<Verdict> {
    let stage = Stage::open(
        Plan {
            models: 0,
            events: 4,
            gap: Duration::from_millis(10),
            spoils: if has_trouble() { SPOILT } else { 0 },
            ..Plan::default()
        },
        record,
    )?;
    let client = stage.client(0)?;
    let (mut broken, mut served) = (false, 0);
    for number in 0..REQUESTS {
        let id = hex_id(6, number);
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
        let target = format!("{}5e07", site::STREAMS);
        let timeout = Duration::from_secs(3);
        let Ok(answer) = client.send("POST", &target, &headers, b"a call", timeout) else {
            continue;
        };
        let digest = answer.header("x-response-signature");
        served += usize::from(answer.status == 200 && !digest.is_empty());
        // MIXED: a success without the sampler's digest.
        if (200..300).contains(&answer.status) && digest.is_empty() {
            broken = true;
            record.line(&format!(
                "MIXED: the requester of {id} got {} without the digest, with content encoding \
                 `{}` and {} bytes",
                answer.status,
                answer.header("content-encoding"),
                answer.body.len()
            ));
        }
    }
    record.line(&format!("{served} of {REQUESTS} answered with the digest"));
    if !has_trouble() && served < REQUESTS {
        return Err(io::Error::other("a call without trouble was not served"));
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
