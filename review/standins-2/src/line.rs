//! Streams that wait for a connection to a sampler that begins to drain.

use crate::{
    Verdict,
    batch::{Client, hex_id},
    deployment::has_trouble,
    record::Record,
    site,
    stage::{Plan, Stage},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// The gateways, and the connections that a sampler accepts from all of them.
const GATEWAYS: usize = 8;
const CONNECTIONS: u32 = 96;

/// The streams that are open at one gateway, and how long each lasts.
const STREAMS: usize = 16;
const EVENTS: usize = 42;
const GAP: Duration = Duration::from_millis(100);

/// The bound `drainMs`, in ms, and how much longer the sampler serves.
const DRAIN_MS: u32 = 3_000;
const LINGER: Duration = Duration::from_millis(1_500);

pub fn play(record: &Record) -> io::Result<Verdict> {
    let mut plan = Plan {
        calls: 2,
        gateways: GATEWAYS,
        max_connections: CONNECTIONS,
        models: 0,
        events: EVENTS,
        gap: GAP,
        slots: 24,
        ..Plan::default()
    };
    plan.limits.pool = true;
    plan.limits.drain_ms = DRAIN_MS;
    let drain = Duration::from_millis(DRAIN_MS.into());
    let stage = Stage::open(plan, record)?;
    // The other gateways have streams as well, so that all know how many call the service.
    for gateway in 1..GATEWAYS {
        let client = stage.client(gateway)?;
        thread::spawn(move || stream(&client, gateway, 9));
    }
    thread::sleep(Duration::from_secs(1));

    let client = stage.client(0)?;
    let begun = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let client = client.clone();
            thread::spawn(move || stream(&client, number, 6))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    // The sampler to which the gateway sends these streams: a scale-in may meet any.
    let busy = stage
        .calls
        .iter()
        .max_by_key(|sampler| sampler.runs().len());
    let leaving = busy.ok_or(io::ErrorKind::NotFound)?;
    let drained = has_trouble().then(|| leaving.drain(&stage.store, drain + LINGER));
    if drained.is_some() {
        record.line(&format!("{} announces that it drains", leaving.about.id));
    }
    let served = streams
        .into_iter()
        .map(|stream| stream.join().unwrap_or(false));
    let served = served.filter(|served| *served).count();
    record.line(&format!("{served} of {STREAMS} streams served"));
    if !has_trouble() && served < STREAMS {
        return Err(io::Error::other("a stream without trouble was not served"));
    }

    // DRAIN: a request reaches a sampler later than drainMs after the store had its state.
    let mut broken = false;
    for run in leaving.runs().iter().filter(|run| run.at > begun) {
        if let Some(late) = drained.map(|at| run.at.saturating_duration_since(at))
            && late > drain
        {
            broken = true;
            record.line(&format!(
                "DRAIN: {} reached {} {} ms after its state was in the store",
                run.id,
                leaving.about.id,
                late.as_millis()
            ));
        }
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Opens a stream and reads it; returns whether it was served.
fn stream(client: &Client, number: usize, kind: u32) -> bool {
    let id = hex_id(kind, number);
    let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "9000")];
    let target = format!("{}5e07", site::STREAMS);
    let timeout = Duration::from_secs(9);
    let answer = client.send("POST", &target, &headers, b"a call", timeout);
    answer.is_ok_and(|answer| answer.status == 200 && answer.text().contains("id: 42\n"))
}
