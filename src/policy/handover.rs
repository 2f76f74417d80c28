//! Decides which texts are handed over when their engine leaves.
//!
//! Load pattern: some engines leave in the course of a day, after an announcement of a few
//! seconds. Most texts that run there end in that time. The longest do not: they are the ones
//! that their steps wait for, and without a handover they are interrupted when the engine
//! ends.

use super::text_length::expected_total;
use crate::base::Millis;

/// A text that runs on a leaving engine.
#[derive(Clone, Copy, Debug)]
pub struct LeavingText {
    /// The number of its events so far.
    pub events: usize,
    /// How long the engine takes for the whole text, in ms, by its estimate; 0 if unknown.
    pub expected_ms: f64,
    /// The engine's time per event, in ms; 0 if unknown.
    pub pace: f64,
}

/// The time before the engine's end that is kept for the writes of a handover.
const HANDOVER_TIME: Millis = Millis(500);

impl LeavingText {
    /// How long the text still takes on this engine; the longest time possible if that can't
    /// be estimated.
    pub fn rest(self) -> Millis {
        if self.expected_ms <= 0.0 {
            return Millis(u64::MAX);
        }
        let taken = self.events as f64 * self.pace;
        Millis((expected_total(self.expected_ms, taken) - taken) as u64)
    }
}

/// Which of the `texts` are handed over, by their index, the longest rest first: those that
/// won't end in time on an engine that serves for the time `left`.
pub fn texts_to_hand(texts: &[LeavingText], left: Millis) -> Vec<usize> {
    let late = |index: &usize| texts[*index].rest() > left.since(HANDOVER_TIME);
    let mut handed: Vec<usize> = (0..texts.len()).filter(late).collect();
    handed.sort_by_key(|index| std::cmp::Reverse(texts[*index].rest()));
    handed
}
