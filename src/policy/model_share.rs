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
