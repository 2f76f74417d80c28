//! Draws the series of a case as an SVG plot.

use super::LoadError;
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    prelude::{LineSeries, PathElement, SVGBackend},
    style::{Color, Palette, Palette99, WHITE}, //
};
use std::path::Path;

/// One line of a plot.
#[derive(Clone, Debug, Default)]
pub struct Series {
    pub name: String,
    /// The points (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Draws `series` under `title` to the SVG file `path`.
pub fn draw(path: &Path, title: &str, series: &[Series]) -> Result<(), LoadError> {
    let failed = |error: &dyn std::fmt::Display| LoadError::Plot {
        file: path.display().to_string(),
        message: error.to_string(),
    };
    let points = || series.iter().flat_map(|one| &one.points);
    let max_x = points().map(|point| point.0).fold(1.0, f64::max);
    let max_y = points().map(|point| point.1).fold(1.0, f64::max);

    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .draw()
        .map_err(|error| failed(&error))?;
    for (at, one) in series.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(one.points.iter().copied(), color))
            .map_err(|error| failed(&error))?
            .label(&one.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
