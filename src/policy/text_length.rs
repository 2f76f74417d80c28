//! The expected duration of a text whose length is only estimated.

/// The factor by which the estimate of a text is raised once the text has overrun it.
const OVERRUN_FACTOR: f64 = 1.5;

/// The expected duration of a text in ms, given its estimate and how long it has run.
///
/// Estimates are right at the median only. A text that has overrun its estimate would
/// otherwise count as about to end for all of the rest of its run.
pub fn expected_total(estimate: f64, taken: f64) -> f64 {
    let mut total = estimate.max(1.0);
    while total <= taken {
        total *= OVERRUN_FACTOR;
    }
    total
}
