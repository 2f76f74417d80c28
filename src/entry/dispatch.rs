//! How the rollout duty starts samples.

use super::{
    rollout::{Rollout, TaskReport, TrainerKey},
    sample::Sampler, //
};
use crate::{
    base::{Millis, WeightVersion},
    policy::step_spec::StepSpec,
    settings::RolloutSettings,
    wire::{Generation, Sampling}, //
};
use std::collections::HashMap;

/// The ratio of the samples in progress to those that the engines can run at once. The
/// surplus waits at the engines, so that no engine is idle between two samples.
const DISPATCH_RATIO: f64 = 1.25;

/// The shortest time limit of a sample, also when its step is past the deadline.
const MIN_SAMPLE_TIME: Millis = Millis(60_000);

impl Rollout {
    /// Starts samples while the engines have room: one for each trainer in turn, from the
    /// trainer's oldest step that has one to start.
    pub(super) fn dispatch(&mut self, now: Millis) {
        let pools = self.directory.shared.pools.keys();
        let mut free_slots: HashMap<String, usize> = pools
            .map(|pool| (pool.clone(), self.free_slots(pool)))
            .collect();
        let keys: Vec<TrainerKey> = self.trainers.keys().cloned().collect();
        let mut any = true;
        while std::mem::take(&mut any) {
            for key in &keys {
                let Some(settings) = self.rollout_settings(&key.0).cloned() else {
                    continue;
                };
                let Some(free_slots) = free_slots
                    .get_mut(&settings.pool)
                    .filter(|free_slots| **free_slots > 0)
                else {
                    continue;
                };
                if self.dispatch_one(key, &settings, now) {
                    *free_slots -= 1;
                    any = true;
                }
            }
        }
    }

    /// Starts the next sample of a trainer; false if there is none to start.
    fn dispatch_one(&mut self, key: &TrainerKey, settings: &RolloutSettings, now: Millis) -> bool {
        let sampler = self.sampler(&key.0, settings);
        let reports = self.reports.clone();
        let Some(trainer) = self.trainers.get_mut(key) else {
            return false;
        };
        let running: usize = trainer.steps.values().map(|step| step.tasks.len()).sum();
        if trainer.epoch().is_none() || running >= settings.max_samples as usize {
            return false;
        }
        let version = trainer.version;
        let mut steps = trainer.steps.iter_mut();
        let found = steps.find_map(|(number, owned)| {
            let sample = owned.step.next(now)?;
            Some((*number, owned, sample))
        });
        let Some((number, owned, sample)) = found else {
            return false;
        };

        let spec = &owned.step.spec;
        let min_version = WeightVersion(version.0.saturating_sub(spec.staleness));
        let generation = generation(spec, owned.step.group_and_index(sample));
        // A sample ends at the deadline of its step. A late step still needs its samples,
        // so they get a minimum time.
        let deadline = owned.step.deadline().max(now + MIN_SAMPLE_TIME);
        let key = key.clone();
        let task = tokio::task::spawn_local(async move {
            let result = sampler.sample(generation, min_version, deadline).await;
            let report = TaskReport::Sample {
                key,
                number: sample,
                result: Box::new(result),
                step: number,
            };
            let _ = reports.send(report).await;
        });
        owned.tasks.insert(sample, task);
        true
    }

    /// The sampler for a team.
    fn sampler(&self, team: &str, settings: &RolloutSettings) -> Sampler {
        Sampler {
            clock: self.clock,
            request_ids: self.request_ids.clone(),
            pool: settings.pool.clone(),
            scorer: settings.scorer.clone(),
            team: team.to_owned(),
            traffic: self.traffic.clone(),
        }
    }

    /// The number of further samples that can be started in `pool`.
    fn free_slots(&self, pool: &str) -> usize {
        let servers = self.view.pool(pool);
        let capacity: u32 = servers.map(|server| server.report.capacity).sum();
        let steps = self
            .trainers
            .iter()
            .filter(|(key, _)| {
                let settings = self.rollout_settings(&key.0);
                settings.is_some_and(|settings| settings.pool == pool)
            })
            .flat_map(|(_, trainer)| trainer.steps.values());
        let running: usize = steps.map(|step| step.tasks.len()).sum();
        ((f64::from(capacity) * DISPATCH_RATIO) as usize).saturating_sub(running)
    }
}

/// The generation of one sample of a step.
fn generation(spec: &StepSpec, (group, index): (u32, u32)) -> Generation {
    // Each sample of a group has a seed of its own, which stays the same when the sample
    // is generated again.
    let seed = crate::base::stable_hash(&[
        &spec.sampling.seed.to_le_bytes(),
        &group.to_le_bytes(),
        &index.to_le_bytes(),
    ]);
    Generation {
        done: crate::base::Tokens::default(),
        model: spec.model.clone(),
        prompt: spec.groups[group as usize].prompt.clone(),
        sampling: Sampling {
            max_tokens: spec.sampling.max_tokens,
            seed,
            temperature: spec.sampling.temperature,
        },
    }
}
