//! The configuration of a stand-in trainer.

use crate::balancer::Balancer;
use redwingpond::{
    base::{Millis, WeightVersion, stable_hash},
    policy::step_spec::{GroupSpec, SamplingSpec, StepSpec}, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// A trainer's identity, its addresses, and the size and number of its steps.
#[derive(Clone, Debug)]
pub struct Config {
    pub balancer: Arc<Balancer>,
    /// Groups in each step.
    pub groups: u32,
    pub max_tokens: u32,
    pub model: String,
    /// The trainer's name.
    pub name: String,
    /// The platform, to whose weight store versions are published.
    pub platform: SocketAddr,
    /// The groups take these prompts in turn.
    pub prompts: Vec<String>,
    /// Samples in each group.
    pub samples: u32,
    pub seed: u64,
    /// How many versions a sample's oldest tokens may be behind the trainer's.
    pub max_staleness: u64,
    /// The number of steps to run.
    pub steps: u64,
    pub team: String,
    /// How long the training on one step takes.
    pub train_time: Duration,
}

impl Config {
    /// The specification of step `step` at weight version `version`.
    pub fn spec(&self, step: u64, version: u64) -> StepSpec {
        let groups = (0..self.groups).map(|group| {
            let at = step * u64::from(self.groups) + u64::from(group);
            let prompt = &self.prompts[at as usize % self.prompts.len()];
            GroupSpec {
                prompt: format!("{}/{step}/{group}: {prompt}", self.name),
                samples: self.samples,
            }
        });
        StepSpec {
            deadline_ms: Millis(30_000),
            groups: groups.collect(),
            model: self.model.clone(),
            sampling: SamplingSpec {
                max_tokens: self.max_tokens,
                seed: stable_hash(&[self.name.as_bytes(), &(self.seed + step).to_le_bytes()]),
                temperature: 1.0,
            },
            staleness: self.max_staleness,
            weight_version: WeightVersion(version),
        }
    }
}
