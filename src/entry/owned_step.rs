//! A step that this entry owns: its state, its samples in progress and its open fetch.

use super::rollout::TrainerReply;
use crate::{
    base::{Millis, WeightVersion},
    policy::{
        bitmap::Bitmap,
        step::{Sample, Step}, //
    },
};
use serde_json::{
    Value,
    json, //
};
use std::collections::HashMap;
use tokio::{
    sync::oneshot,
    task::JoinHandle, //
};

/// A fetch that waits for complete groups.
pub(super) struct Fetch {
    /// The samples that the trainer has.
    pub(super) have: Bitmap,
    pub(super) reply: oneshot::Sender<TrainerReply>,
    /// When the fetch is answered even if no group is complete.
    pub(super) deadline: Millis,
    /// The trainer's weight version.
    pub(super) version: WeightVersion,
}

/// A step and the tasks that produce its samples; dropping it aborts them.
pub(super) struct OwnedStep {
    /// The open fetch; a newer one replaces it.
    pub(super) fetch: Option<Fetch>,
    pub(super) step: Step,
    /// By sample number.
    pub(super) tasks: HashMap<u32, JoinHandle<()>>,
}

/// The most groups in the answer to a fetch.
const MAX_FETCH_GROUPS: usize = 64;

/// The length of text, in bytes, beyond which no further group is added to an answer.
const MAX_FETCH_BYTES: usize = 4 * 1024 * 1024;

impl OwnedStep {
    pub(super) fn new(step: Step) -> Self {
        Self {
            fetch: None,
            step,
            tasks: HashMap::new(),
        }
    }

    /// Answers the open fetch if there are groups to deliver, if the trainer has the whole
    /// step, or if the fetch has reached its deadline.
    pub(super) fn answer_fetch(&mut self, now: Millis, epoch: u64) {
        let Some(fetch) = &self.fetch else {
            return;
        };
        if fetch.reply.is_closed() {
            self.fetch = None;
            return;
        }
        let fetched = self
            .step
            .fetch(now, &fetch.have, fetch.version, MAX_FETCH_GROUPS);
        let nothing = fetched.groups.is_empty() && !fetched.last;
        if nothing && now < fetch.deadline {
            return;
        }
        let Some(fetch) = self.fetch.take() else {
            return;
        };

        let mut bytes = 0;
        let mut groups = Vec::new();
        for group in &fetched.groups {
            if bytes > MAX_FETCH_BYTES {
                break;
            }
            groups.push(self.group_json(*group, &fetch.have, &mut bytes));
        }
        let answer = json!({
            "done": fetched.last && groups.len() == fetched.groups.len(),
            "dropped": fetched.dropped,
            "epoch": epoch,
            "groups": groups,
            "regenerated": self.step.regenerated(),
        });
        let _ = fetch.reply.send(TrainerReply::Answer(Ok(answer)));
    }

    /// A group with the samples that the trainer does not have. Adds the length of their
    /// texts to `bytes`.
    fn group_json(&self, group: u32, have: &Bitmap, bytes: &mut usize) -> Value {
        let samples: Vec<Value> = self
            .step
            .numbers(group)
            .filter(|number| !have.holds(*number))
            .filter_map(|number| {
                let sample = self.step.sample(number)?;
                *bytes += sample.tokens.text().len();
                Some(sample_json(
                    self.step.group_and_index(number).1,
                    number,
                    sample,
                ))
            })
            .collect();
        json!({ "group": group, "samples": samples })
    }
}

impl Drop for OwnedStep {
    fn drop(&mut self) {
        for task in self.tasks.values() {
            task.abort();
        }
    }
}

/// A sample as it is delivered to the trainer.
fn sample_json(index: u32, number: u32, sample: &Sample) -> Value {
    let tokens: Vec<&str> = sample.tokens.iter().collect();
    json!({
        "finish_reason": sample.finish,
        "index": index,
        "number": number,
        "request_id": sample.request.to_string(),
        "score": sample.score,
        "tokens": tokens,
        "weight_versions": sample.spans,
    })
}
