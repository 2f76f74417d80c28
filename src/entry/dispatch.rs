//! How the rollout duty sends samples out.

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

/// Samples sent out beyond what the engines run at once, so that no engine
/// waits for the next one.
const DISPATCH_RATIO: f64 = 1.25;

/// The least time that a sample of a step past its deadline gets.
const MIN_SAMPLE_TIME: Millis = Millis(60_000);

impl Rollout {
    /// Sends out samples as far as the engines have room: trainers in turn,
    /// each with its oldest step first.
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

    fn dispatch_one(&mut self, key: &TrainerKey, settings: &RolloutSettings, now: Millis) -> bool {
        let sampler = self.sampler(&key.0, settings);
        let reports = self.reports.clone();
        let Some(trainer) = self.trainers.get_mut(key) else {
            return false;
        };
        let running: usize = trainer.steps.values().map(|step| step.tasks.len()).sum();
        if trainer.epoch().is_none() || running >= settings.samples as usize {
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
        // An attempt may not outlive its step's deadline, but a step that is
        // late still wants its samples.
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

    /// How many more samples the engines of `pool` can be given.
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

fn generation(spec: &StepSpec, (group, index): (u32, u32)) -> Generation {
    // Each sample of a group is drawn with a seed of its own, the same one
    // whenever it is made anew.
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
