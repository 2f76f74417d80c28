//! Assigns each runner its home model: the one that it serves first.
//!
//! Load pattern: several trainers share the engines, each with a model of its own, and
//! name a new weight version every few seconds. An engine that serves one model loads
//! each version once. One that serves all models loads the versions of all, and is
//! unavailable for a second each time.

/// The demand for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub model: String,
    /// The class of its texts by their mean length. Texts of one class are half as long
    /// again as those of the class below, so that estimates of single steps don't
    /// change the class.
    pub length_class: i32,
    /// The amount of work, in tokens or in another unit that is the same for all
    /// models.
    pub work: f64,
}

/// The demand of one batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchDemand {
    /// The number of its items.
    pub items: usize,
    /// The number of its step; the newest steps count.
    pub step: u64,
    /// The sum of its items' expected output tokens; 0 if its trainer gave no
    /// estimates.
    pub tokens: u64,
}

/// The number of newest steps over which demand is averaged. The estimates of one step
/// are off by a tenth, and each runner that changes its model has to load weights.
const AVERAGED_STEPS: usize = 4;

/// The capacity of an engine of the slower kind, relative to a usual one: it takes
/// about 1.3 times as long for an event.
const SLOWER_WEIGHT: f64 = 0.75;

/// The ratio of the text lengths of adjacent length classes.
const LENGTH_CLASS_RATIO: f64 = 1.5;

/// The length class of a model's texts; 0 without estimates.
fn length_class(batches: &[BatchDemand]) -> i32 {
    let tokens: u64 = batches.iter().map(|batch| batch.tokens).sum();
    let items: usize = batches.iter().map(|batch| batch.items).sum();
    let mean = tokens as f64 / items.max(1) as f64;
    mean.max(1.0).log(LENGTH_CLASS_RATIO).round() as i32
}

/// The demand for each model by its newest batches, longest texts first. It is counted
/// in tokens, or in items if a trainer gives no estimates. Counted in items throughout,
/// a model with texts of 6 events kept as many engines as one with texts of 17, whose
/// steps took twice as long.
pub fn demands(models: Vec<(String, Vec<BatchDemand>)>) -> Vec<Demand> {
    let newest: Vec<(String, Vec<BatchDemand>)> = models
        .into_iter()
        .map(|(model, mut batches)| {
            batches.sort_by_key(|batch| std::cmp::Reverse(batch.step));
            batches.truncate(AVERAGED_STEPS);
            (model, batches)
        })
        .collect();
    let mut asked = newest.iter().flat_map(|(_, batches)| batches);
    let by_tokens = asked.all(|batch| batch.tokens > 0);
    let work = |batch: &BatchDemand| match by_tokens {
        true => batch.tokens as f64,
        false => batch.items as f64,
    };
    let mut demands: Vec<Demand> = newest
        .into_iter()
        .map(|(model, batches)| {
            let total: f64 = batches.iter().map(work).sum();
            let mean = total / batches.len().max(1) as f64;
            Demand {
                length_class: length_class(&batches),
                model,
                work: mean.max(1.0),
            }
        })
        .collect();
    demands.sort_by(|a, b| (b.length_class, &a.model).cmp(&(a.length_class, &b.model)));
    demands
}

/// A runner and its home model so far.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// The index of its home model among the demands; `None` before it has one.
    pub home: Option<usize>,
    /// Whether its engine has counted as slower for a while.
    pub slower: bool,
}

impl Member {
    /// The capacity of its engine, relative to a usual one.
    fn weight(self) -> f64 {
        match self.slower {
            true => SLOWER_WEIGHT,
            false => 1.0,
        }
    }
}

/// How much the gain of moving a runner must exceed the runner's own weight. A runner
/// that moves has to load weights, for a second or more. When runners were reassigned
/// at every step, an engine loaded three models' weights within 15 s, and 40 to 70
/// items of a step waited for engines that held their weights while half of the slots
/// were free.
const MOVE_MARGIN: f64 = 0.6;

/// Returns the home model of each of `members`, as an index into `demands`. Members
/// keep their home models while every model has its share by demand, to within about
/// one runner. All runners compute the same result from each other's heartbeats.
///
/// `demands` has the longest texts first: their models exchange slower engines for
/// usual ones. Each model gets at least one runner while there are enough. Without one,
/// a small model's batches would wait for the runners of other models.
pub fn assign_models(demands: &[Demand], members: &[Member]) -> Vec<usize> {
    if demands.is_empty() {
        return Vec::new();
    }
    let mut shares = Shares::new(demands, members);
    let kept = |member: &Member| member.home.filter(|home| *home < demands.len());
    for member in members {
        if let Some(home) = kept(member) {
            shares.add(home, member.weight());
        }
    }
    // Members without a home model are assigned once all others are counted.
    let take = |member: &Member| {
        kept(member).unwrap_or_else(|| {
            let most_lacking = shares.most_lacking();
            shares.add(most_lacking, member.weight());
            most_lacking
        })
    };
    let mut homes: Vec<usize> = members.iter().map(take).collect();
    for _ in 0..members.len() {
        if !shares.rebalance_one(demands, members, &mut homes) {
            break;
        }
    }
    swap_slower(demands, members, &mut homes);
    homes
}

/// The capacity that each model has, and its share.
struct Shares {
    /// The number of runners of each model.
    counts: Vec<usize>,
    /// The sum of the weights of each model's runners.
    have: Vec<f64>,
    /// The sum of weights that each model should have by demand.
    share: Vec<f64>,
}

impl Shares {
    fn new(demands: &[Demand], members: &[Member]) -> Self {
        let all: f64 = members.iter().map(|member| member.weight()).sum();
        let work = |demand: &Demand| demand.work.max(1e-9);
        let total: f64 = demands.iter().map(work).sum();
        let share = demands.iter().map(|demand| work(demand) / total * all);
        Self {
            counts: vec![0; demands.len()],
            have: vec![0.0; demands.len()],
            share: share.collect(),
        }
    }

    /// Adds a runner of `weight` to `model`.
    fn add(&mut self, model: usize, weight: f64) {
        self.counts[model] += 1;
        self.have[model] += weight;
    }

    /// How much the model lacks of its share.
    fn deficit(&self, model: usize) -> f64 {
        self.share[model] - self.have[model]
    }

    /// The model that lacks the most of its share; models without a runner come first.
    fn most_lacking(&self) -> usize {
        let models = 0..self.counts.len();
        let order = |model: &usize| (self.counts[*model] == 0, self.deficit(*model));
        let by_deficit = |a: &usize, b: &usize| {
            let ((a_none, a_deficit), (b_none, b_deficit)) = (order(a), order(b));
            a_none.cmp(&b_none).then(a_deficit.total_cmp(&b_deficit))
        };
        models.max_by(by_deficit).unwrap_or_default()
    }

    /// The model that exceeds its share the most, of those with two or more runners.
    fn most_exceeding(&self) -> Option<usize> {
        let models = (0..self.counts.len()).filter(|model| self.counts[*model] > 1);
        models.min_by(|a, b| self.deficit(*a).total_cmp(&self.deficit(*b)))
    }

    /// Moves one runner from the model that exceeds its share the most to the one that
    /// lacks the most; returns false if that would gain too little.
    fn rebalance_one(
        &mut self,
        demands: &[Demand],
        members: &[Member],
        homes: &mut [usize],
    ) -> bool {
        let most_lacking = self.most_lacking();
        let Some(most_exceeding) = self
            .most_exceeding()
            .filter(|most_exceeding| *most_exceeding != most_lacking)
        else {
            return false;
        };
        let to_longer = demands[most_lacking].length_class >= demands[most_exceeding].length_class;
        let movable = (0..members.len()).filter(|member| homes[*member] == most_exceeding);
        // Prefers a usual engine for a model whose texts are as long or longer, and a
        // slower engine otherwise; takes the last one.
        let best = movable.max_by_key(|member| (members[*member].slower != to_longer, *member));
        let Some(mover) = best else {
            return false;
        };
        let weight = members[mover].weight();
        let gain = self.deficit(most_lacking) - self.deficit(most_exceeding);
        if self.counts[most_lacking] > 0 && gain <= weight + MOVE_MARGIN {
            return false;
        }
        self.counts[most_exceeding] -= 1;
        self.have[most_exceeding] -= weight;
        self.add(most_lacking, weight);
        homes[mover] = most_lacking;
        true
    }
}

/// Exchanges slower engines of models with longer texts for usual engines of models
/// with shorter texts.
fn swap_slower(demands: &[Demand], members: &[Member], homes: &mut [usize]) {
    let kind = |slower: bool| (0..members.len()).filter(move |of| members[*of].slower == slower);
    for slower in kind(true) {
        let length_class = demands[homes[slower]].length_class;
        let usual = kind(false).filter(|usual| demands[homes[*usual]].length_class < length_class);
        if let Some(usual) = usual.min_by_key(|usual| demands[homes[*usual]].length_class) {
            homes.swap(slower, usual);
        }
    }
}
