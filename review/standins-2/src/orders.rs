//! A submission with an item whose path is the samplers' own interface for orders.

use crate::{
    Verdict,
    batch::{Item, body, hex_id},
    deployment::has_trouble,
    record::Record,
    site,
    stage::{Plan, Stage},
};
use std::{io, thread, time::Duration};

/// The order in the item's body: an older version, under a number that is lower than any
/// runner's.
const ORDER: &str = "{\"operation\":\"version\",\"model\":\"daka510000\",\"version\":2,\
                     \"mode\":\"truncate\",\"holder\":\"nobody\",\"fencingToken\":1}";

pub fn play(record: &Record) -> io::Result<Verdict> {
    let stage = Stage::open(Plan::default(), record)?;
    let client = stage.client(0)?;
    for version in [2, 3] {
        for model in &stage.models {
            model.name_version(version);
        }
        let named = format!("{{\"model\":\"{}\",\"version\":{version}}}", site::MODEL);
        let key = format!("version/{}", site::MODEL);
        stage.store.put("op", &key, &named);
        record.line(&format!("the trainer names version {version}"));
        thread::sleep(Duration::from_millis(5_000));
    }
    if stage.models.iter().any(|model| model.version() != 3) {
        return Err(io::Error::other("the samplers were not moved to version 3"));
    }

    let items: Vec<Item> = (0..4)
        .map(|number| {
            let injected = has_trouble() && number == 0;
            Item {
                body: if injected { ORDER } else { "prompt" }.to_owned(),
                group: format!("g{}", number / 2),
                id: hex_id(1, number),
                path: match injected {
                    true => "/redwingpond/order".to_owned(),
                    false => format!("{}3/91c{number}", site::BATCHES),
                },
                scorer: None,
            }
        })
        .collect();
    let batch = hex_id(3, 0);
    let text = body(site::HOST, site::MODEL, 2, &items);
    let path = format!("{}{}", site::BATCHES, &batch[..6]);
    let status = client.submit(&path, &batch, &text)?;
    record.line(&format!("the batch was answered {status}"));
    let listed = client.read_all(&batch, items.len(), Duration::from_secs(6));
    record.line(&format!("{} of {} results read", listed.len(), items.len()));
    if !has_trouble() && listed.len() < items.len() {
        return Err(io::Error::other("the batch without trouble was not served"));
    }

    // ONE: a lower epoch number after a higher one, where samplers don't check it.
    let mut broken = false;
    for model in &stage.models {
        let mut highest = 0;
        for order in model.orders() {
            if order.token < highest {
                broken = true;
                record.line(&format!(
                    "ONE: {} got an order under {} of holder {} after one under {highest}; it \
                     answered {}",
                    model.about.id, order.token, order.holder, order.status
                ));
            }
            highest = highest.max(order.token);
        }
        record.line(&format!(
            "{} now has version {}",
            model.about.id,
            model.version()
        ));
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
