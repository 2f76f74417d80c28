//! A submission whose items name paths that no HTTP request can carry.

use crate::{
    Verdict,
    batch::{Item, body, hex_id},
    deployment::has_trouble,
    record::Record,
    sampler::Run,
    site,
    stage::{Plan, Stage}, //
};
use std::{io, time::Duration};

pub fn play(record: &Record) -> io::Result<Verdict> {
    let stage = Stage::open(Plan::default(), record)?;
    let client = stage.client(0)?;
    // The blank is the only difference.
    let blank = if has_trouble() { " " } else { "-" };
    let items: Vec<Item> = (0..4)
        .map(|number| Item {
            body: "prompt".to_owned(),
            group: format!("g{}", number / 2),
            id: hex_id(1, number),
            path: match number < 2 {
                true => format!("{}3/91{blank}c{number}", site::BATCHES),
                false => format!("{}3/91-c{number}", site::BATCHES),
            },
            scorer: Some((
                hex_id(2, number),
                match number < 2 {
                    true => format!("{}5e-{number}", site::CALLS),
                    false => format!("{}5e{blank}{number}", site::CALLS),
                },
            )),
        })
        .collect();
    let batch = hex_id(3, 0);
    let text = body(site::HOST, site::MODEL, 2, &items);
    let status = client.submit(&format!("{}{}", site::BATCHES, &batch[..6]), &batch, &text)?;
    record.line(&format!("the batch was answered {status}"));
    let listed = client.read_all(&batch, items.len(), Duration::from_secs(8));
    record.line(&format!("{} of {} results read", listed.len(), items.len()));
    if !has_trouble() && listed.len() < items.len() {
        return Err(io::Error::other("the batch without trouble was not served"));
    }

    // UNASKED: a sampler runs a request with a path that isn't the requester's.
    let asked = |run: &Run| {
        let item = items.iter().find(|item| item.id == run.id);
        let scorers = items.iter().filter_map(|item| item.scorer.as_ref());
        let scorer = scorers.filter(|(id, _)| *id == run.id).next();
        let path = item.map(|item| &item.path).or(scorer.map(|(_, path)| path));
        path.is_some_and(|path| *path == run.target)
    };
    let runs = stage.models.iter().flat_map(|model| model.runs());
    let changed: Vec<Run> = runs
        .chain(stage.calls.runs())
        .filter(|run| !asked(run))
        .collect();
    for run in &changed {
        record.line(&format!(
            "UNASKED: {} ran with the path {}, which nobody asked for",
            run.id, run.target
        ));
    }
    Ok(match changed.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
