//! The specification of a step, as its trainer submits it.

use crate::base::{
    Millis,
    WeightVersion, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    Snafu,
    ensure, //
};

/// A group of samples that share a prompt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    pub prompt: String,
    pub samples: u32,
}

/// The sampling parameters of a step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SamplingSpec {
    pub max_tokens: u32,
    #[serde(default)]
    pub seed: u64,
    #[serde(default = "default_temperature")]
    pub temperature: f32,
}

/// What a trainer asks for in one step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// How long the trainer wants to wait for the whole step.
    pub deadline_ms: Millis,
    pub groups: Vec<GroupSpec>,
    pub model: String,
    pub sampling: SamplingSpec,
    /// How many versions the oldest token of a delivered sample may be behind the
    /// version that the trainer names in its fetch.
    pub staleness: u64,
    /// The version that the trainer has when it submits the step.
    pub weight_version: WeightVersion,
}

/// Why a submitted step is rejected.
#[derive(Debug, PartialEq, Snafu)]
pub enum SpecError {
    #[snafu(display("`{field}` is {value}, expected {expected}"))]
    Range {
        expected: &'static str,
        field: String,
        value: String,
    },
}

/// The most samples of one step.
pub const MAX_SAMPLES: u32 = 16_384;

/// The most tokens of one sample.
pub const MAX_TOKENS: u32 = 131_072;

/// The longest prompt, in bytes.
pub const MAX_PROMPT_BYTES: usize = 128 * 1024;

fn default_temperature() -> f32 {
    1.0
}

impl StepSpec {
    /// Checks that all values are within their ranges.
    pub fn check(&self) -> Result<(), SpecError> {
        let samples: u64 = self.groups.iter().map(|g| u64::from(g.samples)).sum();
        ensure!(
            (1..=u64::from(MAX_SAMPLES)).contains(&samples),
            RangeSnafu {
                expected: "1 to 16384 samples in all",
                field: "groups",
                value: samples.to_string(),
            }
        );
        ensure!(
            (1..=MAX_TOKENS).contains(&self.sampling.max_tokens),
            RangeSnafu {
                expected: "1 to 131072",
                field: "sampling.max_tokens",
                value: self.sampling.max_tokens.to_string(),
            }
        );
        ensure!(
            !self.model.is_empty(),
            RangeSnafu {
                expected: "a model's name",
                field: "model",
                value: "empty",
            }
        );
        for (index, group) in self.groups.iter().enumerate() {
            ensure!(
                group.samples > 0,
                RangeSnafu {
                    expected: "at least 1",
                    field: format!("groups[{index}].samples"),
                    value: "0",
                }
            );
            ensure!(
                group.prompt.len() <= MAX_PROMPT_BYTES,
                RangeSnafu {
                    expected: "at most 131072 bytes",
                    field: format!("groups[{index}].prompt"),
                    value: format!("{} bytes", group.prompt.len()),
                }
            );
        }
        Ok(())
    }

    /// The number of samples of the step.
    pub fn samples(&self) -> u32 {
        self.groups.iter().map(|group| group.samples).sum()
    }
}
