//! One step of one trainer: which samples to make, and which to hand out.

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

/// A whole sample.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub finish: &'static str,
    /// The request of the attempt that made it.
    pub request: RequestId,
    pub score: f64,
    pub spans: Vec<Span>,
    pub tokens: Tokens,
}

impl Sample {
    /// Whether a trainer at `version` may still get it under `bound`.
    pub fn is_fresh(&self, version: WeightVersion, bound: u64) -> bool {
        Span::oldest(&self.spans).is_some_and(|oldest| oldest.behind(version) <= bound)
    }
}

/// Where a sample stands.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// The trainer has it; its content is dropped.
    Delivered,
    /// Whole and scored.
    Ready(Box<Sample>),
    /// An attempt runs since the given time, or waits for its score.
    Running { since: Millis },
    /// To be dispatched, not before the given time.
    Waiting { after: Millis },
}

/// What a fetch hands out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fetched {
    /// Whole groups that the trainer does not have, by number.
    pub groups: Vec<u32>,
    /// Samples dropped because they had become too old; they are made anew.
    pub dropped: u32,
    /// Whether the trainer has everything with this answer.
    pub last: bool,
}

/// One step in the hands of its owner.
///
/// The trainer's bitmap is the delivery log: what it has, it has; all else is
/// still owed. So an owner that takes over needs only the specification and
/// the next fetch.
///
/// # Invariants
///
/// [`Step::fetch`] never hands out a sample whose oldest token is more than
/// the bound behind the version that this fetch names, nor one that the
/// fetch's bitmap holds.
#[derive(Debug)]
pub struct Step {
    pub spec: StepSpec,
    /// First sample number of each group, and the total at the end.
    firsts: Vec<u32>,
    regenerated: u32,
    samples: Vec<State>,
    started: Millis,
}

/// The wait before a failed sample is tried again.
const RETRY_DELAY: Millis = Millis(100);

impl Step {
    /// A step without any sample made.
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

    /// When the trainer wants the whole step.
    pub fn deadline(&self) -> Millis {
        self.started + self.spec.deadline_ms
    }

    /// An attempt failed; the sample waits for its next one.
    pub fn fail(&mut self, now: Millis, number: u32, failure: &Failure) {
        let wait = failure.retry_after.unwrap_or(RETRY_DELAY).max(RETRY_DELAY);
        self.restart(number, now + wait);
    }

    /// Hands out whole groups, at most `limit` of them.
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

    /// How many groups the step has.
    pub fn groups(&self) -> u32 {
        self.spec.groups.len() as u32
    }

    /// The group and the index in it of sample `number`.
    pub fn group_and_index(&self, number: u32) -> (u32, u32) {
        let group = self.firsts.partition_point(|first| *first <= number) - 1;
        (group as u32, number - self.firsts[group])
    }

    /// Whether samples are still to be made.
    pub fn is_unfinished(&self) -> bool {
        let mut states = self.samples.iter();
        states.any(|state| matches!(state, State::Running { .. } | State::Waiting { .. }))
    }

    /// The next sample to dispatch, which then counts as running.
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

    /// Samples made more than once, for any reason.
    pub fn regenerated(&self) -> u32 {
        self.regenerated
    }

    /// The whole sample `number`, while it is ready.
    pub fn sample(&self, number: u32) -> Option<&Sample> {
        match self.samples.get(number as usize) {
            Some(State::Ready(sample)) => Some(sample),
            _ => None,
        }
    }

    /// A sample is whole and scored. A second copy of one is dropped, as is
    /// one whose spans don't cover its tokens.
    pub fn store(&mut self, now: Millis, number: u32, sample: Sample) -> bool {
        let Some(state) = self.samples.get_mut(number as usize) else {
            return false;
        };
        if !matches!(state, State::Running { .. }) {
            return false;
        }
        // Tokens whose version is in doubt must not be delivered: their spans
        // don't cover them, and the sample is made anew.
        if !Span::cover(&sample.spans, sample.tokens.len()) || sample.spans.is_empty() {
            self.restart(number, now);
            return false;
        }
        *state = State::Ready(Box::new(sample));
        true
    }

    /// The trainer has what `have` holds: its content need not be kept.
    fn acknowledge(&mut self, have: &Bitmap) {
        for (number, state) in self.samples.iter_mut().enumerate() {
            if have.holds(number as u32) {
                *state = State::Delivered;
            }
        }
    }

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

    fn is_ready(&self, group: u32) -> bool {
        self.numbers(group)
            .all(|number| self.sample(number).is_some())
    }

    fn restart(&mut self, number: u32, after: Millis) {
        if let Some(state) = self.samples.get_mut(number as usize)
            && *state != State::Delivered
        {
            *state = State::Waiting { after };
            self.regenerated += 1;
        }
    }
}
