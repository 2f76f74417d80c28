//! A batch that is complete and open for longer than `statusTtlS`, as its trainer has left.

use crate::{
    Verdict,
    batch::{Item, body, hex_id},
    deployment::has_trouble,
    record::Record,
    site,
    stage::{Plan, Stage},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// The bound `statusTtlS` of this deployment, in seconds.
const STATUS_TTL_S: u32 = 30;

/// When the results are read again, after the 202.
const READ_AGAIN: Duration = Duration::from_secs(60);

pub fn play(record: &Record) -> io::Result<Verdict> {
    let mut plan = Plan {
        gateways: 2,
        ..Plan::default()
    };
    plan.limits.status_ttl_s = STATUS_TTL_S;
    let stage = Stage::open(plan, record)?;
    let trainer = stage.client(0)?;
    let items: Vec<Item> = (0..4)
        .map(|number| Item {
            body: "prompt".to_owned(),
            group: format!("g{}", number / 2),
            id: hex_id(1, number),
            path: format!("{}3/91c{number}", site::BATCHES),
            scorer: None,
        })
        .collect();
    let batch = hex_id(3, 0);
    let text = body(site::HOST, site::MODEL, 2, &items);
    let path = format!("{}{}", site::BATCHES, &batch[..6]);
    let begun = Instant::now();
    let status = trainer.submit(&path, &batch, &text)?;
    let listed = trainer.read_all(&batch, items.len(), Duration::from_secs(8));
    if status != 202 || listed.len() < items.len() {
        return Err(io::Error::other("the batch was not served"));
    }
    if has_trouble() {
        record.line("the trainer leaves; the batch stays open");
    } else {
        let end = format!("/redwingpond/lots/{batch}");
        trainer.send("DELETE", &end, &[], b"", Duration::from_secs(4))?;
        record.line("the trainer has ended the batch: its results may go after statusTtlS");
    }

    thread::sleep(READ_AGAIN.saturating_sub(begun.elapsed()));
    // LOST: a batch that is open can't be read, or has nothing at a position that was read.
    let mut broken = false;
    for gateway in 0..stage.gateways.len() {
        let (status, again) = stage.client(gateway)?.results(&batch, 0)?;
        let whole = status == 200 && again.len() == items.len();
        let same = whole && again.iter().zip(&listed).all(|(a, b)| a.text == b.text);
        record.line(&format!(
            "after {} s, with statusTtlS {STATUS_TTL_S}, edge-{gateway} answers {status} with {} \
             of {} results",
            begun.elapsed().as_secs(),
            again.len(),
            items.len()
        ));
        if !same && has_trouble() {
            broken = true;
            record.line(&format!(
                "LOST: edge-{gateway} has not the results of the open batch {batch}"
            ));
        }
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
