//! Requests on channels that were opened before a SIGTERM and carry their first request after it.

use crate::{
    Verdict,
    batch::hex_id,
    deployment::has_trouble,
    record::Record,
    site,
    stage::{Plan, Stage},
};
use std::{
    io::{self, Read, Write},
    net::TcpStream,
    process::Command,
    thread,
    time::{Duration, Instant},
};

/// The channels that the requester has opened ahead.
const CHANNELS: usize = 6;

/// When the requests are sent, after the SIGTERM.
const SENT_AFTER: Duration = Duration::from_millis(6_200);

/// How long the sampler works: well within what is left of `graceS`, which is 8 s.
const WORK: Duration = Duration::from_millis(1_000);

/// A request's end, as its requester sees it.
struct Outcome {
    complete: bool,
    id: String,
    told: String,
}

pub fn play(record: &Record) -> io::Result<Verdict> {
    let plan = Plan {
        models: 0,
        work: WORK,
        ..Plan::default()
    };
    let mut stage = Stage::open(plan, record)?;
    let client = stage.client(0)?;
    let target = format!("{}5e07", site::CALLS);
    let warm = [
        ("X-Attempt-Id", "00000000000000aa"),
        ("X-Deadline-Ms", "2000"),
    ];
    let before = client.send("POST", &target, &warm, b"a call", Duration::from_secs(3))?;
    if before.status != 200 {
        return Err(io::Error::other("calls are not served"));
    }

    let open = || TcpStream::connect_timeout(&client.front, Duration::from_secs(1));
    let channels = (0..CHANNELS).map(|_| open());
    let channels = channels.collect::<io::Result<Vec<TcpStream>>>()?;
    record.line(&format!("{CHANNELS} channels opened"));
    thread::sleep(Duration::from_secs(1));
    let begun = Instant::now();
    if has_trouble() {
        let pid = stage.gateways[0].pid().ok_or(io::ErrorKind::NotFound)?;
        let sent = Command::new("/bin/kill")
            .args(["-TERM", &pid.to_string()])
            .status()?;
        if !sent.success() {
            return Err(io::Error::other("SIGTERM could not be sent"));
        }
        record.line("SIGTERM sent to edge-0");
    }
    thread::sleep(SENT_AFTER.saturating_sub(begun.elapsed()));

    let requests: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(number, channel)| {
            let (id, target, record) = (hex_id(5, number), target.clone(), record.clone());
            thread::spawn(move || request(channel, &id, &target, begun, &record))
        })
        .collect();
    let outcomes: Vec<Outcome> = requests
        .into_iter()
        .filter_map(|request| request.join().ok())
        .collect();
    let exited = !stage.gateways[0].is_running();
    record.line(&format!("edge-0 has exited: {exited}"));
    thread::sleep(WORK);

    // LOST: a request was read whole and passed on to a sampler, and its channel ended without a
    // complete answer. One that was not passed on doesn't count.
    let runs = stage.calls[0].runs();
    let mut broken = false;
    for outcome in &outcomes {
        let passed_on = runs.iter().any(|run| run.id == outcome.id);
        let lost = passed_on && !outcome.complete;
        broken |= lost;
        let word = if lost { "LOST" } else { "not lost" };
        record.line(&format!(
            "{word}: {} passed on: {passed_on}, {}",
            outcome.id, outcome.told
        ));
    }
    if !has_trouble() && outcomes.iter().any(|outcome| !outcome.complete) {
        return Err(io::Error::other("a call without trouble was not served"));
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn request(
    mut channel: TcpStream,
    id: &str,
    target: &str,
    begun: Instant,
    record: &Record,
) -> Outcome {
    let text = format!(
        "POST {target} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2000\r\n\
         Content-Length: 6\r\n\r\na call",
        site::HOST
    );
    let sent = begun.elapsed().as_millis();
    let mut answer = Vec::new();
    let end = channel
        .write_all(text.as_bytes())
        .and_then(|()| channel.set_read_timeout(Some(Duration::from_millis(2_500))))
        .and_then(|()| read_answer(&mut channel, &mut answer));
    let ended = begun.elapsed().as_millis();
    let first = String::from_utf8_lossy(&answer);
    let first = first.lines().next().unwrap_or("no bytes").to_owned();
    let complete = matches!(end, Ok(true));
    let told = format!(
        "sent {sent} ms after the SIGTERM, ended after {ended} ms with `{first}`, complete: {complete}"
    );
    record.line(&format!("POST {target} for {id}: {told}"));
    Outcome {
        complete,
        id: id.to_owned(),
        told,
    }
}

/// Reads until the answer is complete; false if the channel ends before.
fn read_answer(channel: &mut TcpStream, answer: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"));
            let length: usize = length
                .and_then(|text| text.trim().parse().ok())
                .unwrap_or(0);
            if body.len() >= length {
                return Ok(true);
            }
        }
        let mut part = [0; 4096];
        match channel.read(&mut part)? {
            0 => return Ok(false),
            read => answer.extend_from_slice(&part[..read]),
        }
    }
}
