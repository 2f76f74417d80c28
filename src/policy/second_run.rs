//! Decides whether a second run of a bundle that another runner holds gains time.
//!
//! Load pattern: the engines of one service differ in speed by more than a factor of two
//! all the time. Runners with fast engines have free slots while a step's last texts run on
//! slow engines. Most of these texts end within a second of their claim, sooner than a
//! second run could end, which would only occupy slots and cut the first run's connection.

use super::text_length::expected_total;
use crate::base::Millis;

/// The longest unfinished text of a held bundle, as estimated by the runner that may join.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldText {
    /// The time until its step is due.
    pub due_in: Millis,
    /// How long this runner's engine takes for the whole text, in ms, by its estimate.
    pub own_ms: f64,
    /// The time per event of the holder's engine, as a multiple of that of this runner's.
    pub pace: f64,
    /// How long the holder has held the bundle.
    pub since: Millis,
}

/// What a second run of a bundle is expected to achieve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondRun {
    /// The time until the holder's run ends.
    pub holder_rest: Millis,
    /// The time until a second run ends, if it starts now.
    pub own_rest: Millis,
    /// Whether the step may be late without a second run.
    pub urgent: bool,
}

/// The time by which a second run has to end earlier: estimates of single texts are off by
/// half or more, so a smaller expected gain is mostly none.
const MIN_GAIN: Millis = Millis(500);

/// The time from the decision to join until the first further event: the claim, the reads
/// of the items and of the saved texts, and the engine's start of the run.
const START_TIME: Millis = Millis(300);

/// How much of a run is missing in its saved text on average: half of the time between two
/// saves.
const SAVE_LAG: Millis = Millis(350);

impl SecondRun {
    /// Estimates the ends of the holder's run and of a second run of `text`. `None` if the
    /// speed of one of the engines is unknown.
    pub fn estimate(text: HeldText) -> Option<Self> {
        if text.own_ms <= 0.0 || text.pace <= 0.0 {
            return None;
        }
        let taken = text.since.0 as f64;
        let total = expected_total(text.own_ms * text.pace, taken);
        let own_total = total / text.pace;
        let saved = text.since.since(SAVE_LAG).0 as f64 / total;
        let holder_rest = Millis((total - taken) as u64);
        // A second run that starts later than this can't be in time, should the holder turn
        // out to generate nothing.
        let last_start = Millis(own_total as u64) + START_TIME + MIN_GAIN;
        Some(Self {
            holder_rest,
            own_rest: Millis((own_total * (1.0 - saved)) as u64) + START_TIME,
            urgent: holder_rest + MIN_GAIN > text.due_in || last_start > text.due_in,
        })
    }

    /// Whether the second run brings the step forward by enough to take slots for it.
    pub fn gains_time(self) -> bool {
        self.urgent || self.holder_rest >= self.own_rest + MIN_GAIN
    }
}
