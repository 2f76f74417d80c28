//! Checks a delivered sample against what the stand-in engines generate.

use super::Report;
use crate::truth;
use redwingpond::{
    base::{Span, WeightVersion, stable_hash},
    policy::step_spec::StepSpec, //
};
use serde::Deserialize;

/// A delivered sample.
#[derive(Debug, Deserialize)]
pub(super) struct Sample {
    /// The position in the group.
    pub(super) index: u32,
    /// The position in the step.
    pub(super) number: u32,
    pub(super) score: f64,
    pub(super) tokens: Vec<String>,
    pub(super) weight_versions: Vec<Span>,
}

/// Checks `sample` of `group` at the trainer's weight version, and counts its
/// faults and its staleness in `report`.
pub(super) fn check(
    report: &mut Report,
    spec: &StepSpec,
    group: u32,
    sample: &Sample,
    version: u64,
) {
    let tokens = sample.tokens.len() as u32;
    let prompt = &spec.groups[group as usize].prompt;
    let seed = stable_hash(&[
        &spec.sampling.seed.to_le_bytes(),
        &group.to_le_bytes(),
        &sample.index.to_le_bytes(),
    ]);
    if !Span::covers(&sample.weight_versions, tokens) || sample.weight_versions.is_empty() {
        report.unversioned += 1;
        return;
    }
    let expected = truth::text(prompt, seed, &sample.weight_versions);
    if expected != sample.tokens.concat() {
        report.misversioned += 1;
    }
    let length = truth::length(prompt, seed, spec.sampling.max_tokens);
    let score = truth::score(&sample.tokens.concat());
    if tokens != length || (score - sample.score).abs() > 1e-9 {
        report.partial += 1;
    }

    let oldest = Span::oldest(&sample.weight_versions).unwrap_or_default();
    let behind = oldest.behind(WeightVersion(version));
    report.staleness.push(behind);
    if behind > spec.staleness {
        report.stale += 1;
    }
}
