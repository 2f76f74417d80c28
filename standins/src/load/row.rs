//! One row of a case's results.

use serde::Serialize;

/// The bound that a figure should meet.
#[derive(Clone, Copy, Debug)]
pub enum Aim {
    /// The current figure is at least this.
    AtLeast(f64),
    /// The current figure is at most this.
    AtMost(f64),
    /// No bound.
    None,
    /// The ratio of current to baseline is at most this.
    RatioAtMost(f64),
}

/// A figure under both policies, with its aim.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub name: String,
    pub unit: &'static str,
    pub baseline: Option<f64>,
    pub current: Option<f64>,
    /// The current figure divided by the baseline's.
    pub ratio: Option<f64>,
    /// The aim as text.
    pub aim: String,
    /// Whether the figures meet the aim; `None` without an aim or without its figures.
    pub holds: Option<bool>,
}

impl Row {
    /// A row with `ratio` and `holds` computed from the figures.
    pub fn new(
        name: impl Into<String>,
        unit: &'static str,
        baseline: Option<f64>,
        current: Option<f64>,
        aim: Aim,
    ) -> Self {
        let ratio = match (baseline, current) {
            (Some(baseline), Some(current)) if baseline != 0.0 => Some(current / baseline),
            _ => None,
        };
        let (aim, holds) = match aim {
            Aim::AtLeast(least) => (format!(">= {least}"), current.map(|c| c >= least)),
            Aim::AtMost(most) => (format!("<= {most}"), current.map(|c| c <= most)),
            Aim::None => (String::new(), None),
            Aim::RatioAtMost(most) => {
                let holds = ratio.map(|ratio| ratio <= most);
                (format!("<= {most} x baseline"), holds)
            }
        };
        Self {
            name: name.into(),
            unit,
            baseline,
            current,
            ratio,
            aim,
            holds,
        }
    }
}
