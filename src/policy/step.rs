//! One step of one trainer: which samples to generate, and which to deliver.

use super::{
    bitmap::Bitmap,
    step_spec::StepSpec, //
};
use crate::base::{
    Failure,
    Millis,
    RequestId,
    Span,
    Tokens,
    WeightVersion, //
};

/// A complete sample.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Why the generation ended.
    pub finish: &'static str,
    /// The request of the attempt that generated it.
    pub request: RequestId,
    pub score: f64,
    /// The weight version of each range of its tokens.
    pub spans: Vec<Span>,
    pub tokens: Tokens,
}

impl Sample {
    /// Whether the sample may be delivered to a trainer at `version`: its oldest token
    /// is at most `bound` versions behind.
    pub fn is_fresh(&self, version: WeightVersion, bound: u64) -> bool {
        Span::oldest(&self.spans).is_some_and(|oldest| oldest.behind(version) <= bound)
    }
}

/// The state of a sample.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// The trainer has it; its content is dropped.
    Delivered,
    /// Complete and scored.
    Ready(Box<Sample>),
    /// An attempt has been running since this time, or waits for its score.
    Running { since: Millis },
    /// To be dispatched, but not before this time.
    Waiting { after: Millis },
}

/// What a fetch delivers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fetched {
    /// Complete groups that the trainer does not have, by number.
    pub groups: Vec<u32>,
    /// The number of samples dropped because they had become too old; they are
    /// generated again.
    pub dropped: u32,
    /// Whether the trainer has everything once it has this answer.
    pub last: bool,
}

/// A step at the entry that owns it.
///
/// The trainer's bitmap is the delivery log: the samples in it are delivered, and all
/// others are still owed. So an owner that takes over needs only the specification and
/// the next fetch.
///
/// # Invariants
///
/// [`Step::fetch`] never delivers a sample whose oldest token is further behind the
/// version that the fetch names than the bound allows, nor one that is in the bitmap of
/// the fetch.
#[derive(Debug)]
pub struct Step {
    pub spec: StepSpec,
    /// The first sample number of each group, and the total at the end.
    firsts: Vec<u32>,
    regenerated: u32,
    /// By sample number.
    samples: Vec<State>,
    started: Millis,
}

/// The shortest wait before a failed sample is tried again.
const RETRY_DELAY: Millis = Millis(100);

impl Step {
    /// A new step, without any sample.
    pub fn new(spec: StepSpec, now: Millis) -> Self {
        let mut firsts = vec![0];
        let mut total = 0;
        for group in &spec.groups {
            total += group.samples;
            firsts.push(total);
        }
        let waiting = State::Waiting { after: Millis(0) };
        Self {
            firsts,
            regenerated: 0,
            samples: vec![waiting; total as usize],
            spec,
            started: now,
        }
    }

    /// The time by which the trainer wants the whole step.
    pub fn deadline(&self) -> Millis {
        self.started + self.spec.deadline_ms
    }

    /// Records a failed attempt; the sample waits for its next one.
    pub fn fail(&mut self, now: Millis, number: u32, failure: &Failure) {
        let wait = failure.retry_after.unwrap_or(RETRY_DELAY).max(RETRY_DELAY);
        self.restart(number, now + wait);
    }

    /// Delivers at most `limit` complete groups to a trainer at `version` that has the
    /// samples in `have`.
    pub fn fetch(
        &mut self,
        now: Millis,
        have: &Bitmap,
        version: WeightVersion,
        limit: usize,
    ) -> Fetched {
        self.acknowledge(have);
        let dropped = self.drop_stale(now, version);
        let owed: Vec<u32> = (0..self.groups())
            .filter(|group| self.numbers(*group).any(|number| !have.holds(number)))
            .collect();
        let groups: Vec<u32> = owed
            .iter()
            .copied()
            .filter(|group| self.is_ready(*group))
            .take(limit)
            .collect();
        Fetched {
            dropped,
            last: groups.len() == owed.len(),
            groups,
        }
    }

    /// The number of groups of the step.
    pub fn groups(&self) -> u32 {
        self.spec.groups.len() as u32
    }

    /// The group of sample `number`, and its index in the group.
    pub fn group_and_index(&self, number: u32) -> (u32, u32) {
        let group = self.firsts.partition_point(|first| *first <= number) - 1;
        (group as u32, number - self.firsts[group])
    }

    /// Whether there are samples still to be generated.
    pub fn is_unfinished(&self) -> bool {
        let mut states = self.samples.iter();
        states.any(|state| matches!(state, State::Running { .. } | State::Waiting { .. }))
    }

    /// Returns the next sample to dispatch, which counts as running from now on.
    pub fn next(&mut self, now: Millis) -> Option<u32> {
        let number = self
            .samples
            .iter()
            .position(|state| matches!(state, State::Waiting { after } if *after <= now))?;
        self.samples[number] = State::Running { since: now };
        Some(number as u32)
    }

    /// The sample numbers of `group`.
    pub fn numbers(&self, group: u32) -> std::ops::Range<u32> {
        let group = group as usize;
        self.firsts[group]..self.firsts[group + 1]
    }

    /// The number of times that a sample had to be generated again, for any reason.
    pub fn regenerated(&self) -> u32 {
        self.regenerated
    }

    /// Sample `number`, while it is ready.
    pub fn sample(&self, number: u32) -> Option<&Sample> {
        match self.samples.get(number as usize) {
            Some(State::Ready(sample)) => Some(sample),
            _ => None,
        }
    }

    /// Stores a complete and scored sample. Drops it and returns false if it is a
    /// second copy, or if its spans don't cover its tokens.
    pub fn store(&mut self, now: Millis, number: u32, sample: Sample) -> bool {
        let Some(state) = self.samples.get_mut(number as usize) else {
            return false;
        };
        if !matches!(state, State::Running { .. }) {
            return false;
        }
        // Tokens whose version is in doubt must not be delivered. No span covers them,
        // so the sample is generated again.
        if !Span::covers(&sample.spans, sample.tokens.len()) || sample.spans.is_empty() {
            self.restart(number, now);
            return false;
        }
        *state = State::Ready(Box::new(sample));
        true
    }

    /// Marks the samples in `have` as delivered: their content need not be kept.
    fn acknowledge(&mut self, have: &Bitmap) {
        for (number, state) in self.samples.iter_mut().enumerate() {
            if have.holds(number as u32) {
                *state = State::Delivered;
            }
        }
    }

    /// Drops the samples that are too old for a trainer at `version`; returns their
    /// number.
    fn drop_stale(&mut self, now: Millis, version: WeightVersion) -> u32 {
        let bound = self.spec.staleness;
        let stale: Vec<u32> = (0..self.samples.len() as u32)
            .filter(|number| {
                self.sample(*number)
                    .is_some_and(|sample| !sample.is_fresh(version, bound))
            })
            .collect();
        for number in &stale {
            self.restart(*number, now);
        }
        stale.len() as u32
    }

    /// Whether all samples of `group` are ready.
    fn is_ready(&self, group: u32) -> bool {
        self.numbers(group)
            .all(|number| self.sample(number).is_some())
    }

    /// Has sample `number` generated again, not before `after`, unless it is delivered.
    fn restart(&mut self, number: u32, after: Millis) {
        if let Some(state) = self.samples.get_mut(number as usize)
            && *state != State::Delivered
        {
            *state = State::Waiting { after };
            self.regenerated += 1;
        }
    }
}
