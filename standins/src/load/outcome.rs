//! The outcome of a case.

use super::{
    Row,
    plot::Series, //
};
use serde::Serialize;

/// The results of one run of a case.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    pub case: String,
    pub seed: u64,
    pub wall_ms: u64,
    pub results: Vec<Row>,
    /// The lines that `--svg` draws.
    #[serde(skip)]
    pub series: Vec<Series>,
}

impl Outcome {
    /// Whether any row has a figure.
    pub fn is_measured(&self) -> bool {
        self.results
            .iter()
            .any(|row| row.current.is_some() || row.baseline.is_some())
    }

    /// Prints the rows as a table.
    pub fn print(&self) {
        println!("{} (seed {}, {} ms)", self.case, self.seed, self.wall_ms);
        println!(
            "  {:<34} {:>8} {:>12} {:>12} {:>8}  aim",
            "", "unit", "baseline", "current", "ratio"
        );
        for row in &self.results {
            let holds = match row.holds {
                None => "",
                Some(false) => "  MISSED",
                Some(true) => "  holds",
            };
            println!(
                "  {:<34} {:>8} {:>12} {:>12} {:>8}  {}{holds}",
                row.name,
                row.unit,
                figure(row.baseline),
                figure(row.current),
                figure(row.ratio),
                row.aim
            );
        }
    }
}

fn figure(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.3}"))
}
