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
    /// The kind of its texts by their mean length; a kind is half as long again
    /// as the one below, so that estimates of single steps don't change it.
    pub length: i32,
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

/// What an engine of the slower kind can do, against a usual one; it takes some
/// 1.3 times as long for an event.
pub const SLOWER_WEIGHT: f64 = 0.75;

/// How much longer the texts of one kind are than those of the kind below.
const LENGTH_STEP: f64 = 1.5;

/// The kind of a model's texts by their mean length; 0 without estimates.
fn kind_of_length(batches: &[Asked]) -> i32 {
    let tokens: u64 = batches.iter().map(|batch| batch.tokens).sum();
    let items: usize = batches.iter().map(|batch| batch.items).sum();
    let mean = tokens as f64 / items.max(1) as f64;
    mean.max(1.0).log(LENGTH_STEP).round() as i32
}

/// Each model's demand by its newest batches, the longest texts first: tokens, or items while a trainer
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
                length: kind_of_length(&batches),
                model,
                work: mean.max(1.0),
            }
        })
        .collect();
    demands.sort_by(|a, b| (b.length, &a.model).cmp(&(a.length, &b.model)));
    demands
}

/// Deals runners out to the models by their demand; returns the model of each
/// runner. `weights` tells what each runner's engine can do, in the runners' order.
///
/// Runners are dealt in their order and models in that of the demands, so a
/// runner more or less moves only those at the borders, and the models with the
/// longest texts get the first runners. Each model gets at least one while there
/// are enough: without it a small model's batches would wait for other models'
/// runners.
pub fn deal(demands: &[Demand], weights: &[f64]) -> Vec<usize> {
    let total: f64 = demands.iter().map(|demand| demand.work.max(1e-9)).sum();
    if demands.is_empty() {
        return Vec::new();
    }
    let all: f64 = weights.iter().sum();
    let mut bounds = Vec::new();
    let mut sum = 0.0;
    for demand in demands {
        sum += demand.work.max(1e-9) / total * all;
        bounds.push(sum);
    }

    let mut shares = vec![0; demands.len()];
    let mut before = 0.0;
    for weight in weights {
        let middle = before + weight / 2.0;
        let model = bounds.partition_point(|bound| *bound <= middle);
        shares[model.min(demands.len() - 1)] += 1;
        before += weight;
    }
    if weights.len() >= demands.len() {
        leave_none_out(&mut shares);
    }
    let shares = shares.iter().enumerate();
    shares
        .flat_map(|(model, share)| std::iter::repeat_n(model, *share))
        .collect()
}

/// Gives each model without a runner one of the model that has the most.
fn leave_none_out(shares: &mut [usize]) {
    while let Some(without) = shares.iter().position(|share| *share == 0) {
        let most = (0..shares.len()).max_by_key(|model| shares[*model]);
        let Some(most) = most.filter(|most| shares[*most] > 1) else {
            return;
        };
        shares[most] -= 1;
        shares[without] += 1;
    }
}
