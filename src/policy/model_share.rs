//! Which model a runner serves first.
//!
//! Load pattern: several trainers share the engines, each with a model of its
//! own, and name a new weight version every few seconds. An engine that serves
//! one model loads each version once; one that serves all loads them all, and
//! is away for a second each time.

/// One model's demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub model: String,
    /// Tokens, or any other measure that is the same for all models.
    pub work: f64,
}

/// What one batch asked for.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub items: usize,
    pub step: u64,
    /// The sum of its items' expected output tokens; 0 when its trainer gave no
    /// estimates.
    pub tokens: u64,
}

/// The newest steps whose demand is averaged: one step's estimates are off by a
/// tenth, and each runner that changes its model has to load weights.
const STEPS: usize = 4;

/// Each model's demand by its newest batches: tokens, or items while a trainer
/// gives no estimates. Dealt by items, a model with texts of 6 events kept as
/// many engines as one with texts of 17, whose steps took twice as long.
pub fn demands(models: Vec<(String, Vec<Asked>)>) -> Vec<Demand> {
    let newest: Vec<(String, Vec<Asked>)> = models
        .into_iter()
        .map(|(model, mut batches)| {
            batches.sort_by_key(|batch| std::cmp::Reverse(batch.step));
            batches.truncate(STEPS);
            (model, batches)
        })
        .collect();
    let mut asked = newest.iter().flat_map(|(_, batches)| batches);
    let by_tokens = asked.all(|batch| batch.tokens > 0);
    let work = |batch: &Asked| match by_tokens {
        true => batch.tokens as f64,
        false => batch.items as f64,
    };
    let mut demands: Vec<Demand> = newest
        .into_iter()
        .map(|(model, batches)| {
            let total: f64 = batches.iter().map(work).sum();
            let mean = total / batches.len().max(1) as f64;
            Demand {
                model,
                work: mean.max(1.0),
            }
        })
        .collect();
    demands.sort_by(|a, b| a.model.cmp(&b.model));
    demands
}

/// Deals `count` runners out to the models by their demand, at least one to
/// each while there are enough; returns the model of each runner by its rank.
/// A runner more or less moves only those at the borders.
pub fn deal(demands: &[Demand], count: usize) -> Vec<usize> {
    let total: f64 = demands.iter().map(|demand| demand.work.max(1e-9)).sum();
    if demands.is_empty() || count == 0 {
        return Vec::new();
    }
    let ideal: Vec<f64> = demands
        .iter()
        .map(|demand| demand.work.max(1e-9) / total * count as f64)
        .collect();
    let mut shares: Vec<usize> = ideal.iter().map(|share| *share as usize).collect();
    // Each model keeps a runner while there are enough: without it a small
    // model's batches would wait for other models' runners.
    let least = usize::from(count >= demands.len());
    for share in &mut shares {
        *share = (*share).max(least);
    }
    while shares.iter().sum::<usize>() > count {
        let spare = |model: &usize| shares[*model] > least;
        let models = (0..shares.len()).filter(spare);
        let most = models.max_by(|a, b| over(&shares, &ideal, *a, *b));
        if let Some(model) = most {
            shares[model] -= 1;
        }
    }
    while shares.iter().sum::<usize>() < count {
        let fewest = (0..shares.len()).min_by(|a, b| over(&shares, &ideal, *a, *b));
        if let Some(model) = fewest {
            shares[model] += 1;
        }
    }
    shares
        .iter()
        .enumerate()
        .flat_map(|(model, share)| std::iter::repeat_n(model, *share))
        .collect()
}

fn over(shares: &[usize], ideal: &[f64], a: usize, b: usize) -> std::cmp::Ordering {
    let excess = |model: usize| shares[model] as f64 - ideal[model];
    excess(a).total_cmp(&excess(b))
}
