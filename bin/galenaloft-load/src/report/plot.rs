//! The latency distribution of each kind as a plot.

use std::error::Error;
use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use crate::error::LoadError;
use crate::load::Outcome;
use crate::load::Tally;

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (900, 500);

/// Greatest number of nines on the axis of quantiles.
const MAX_NINES: f64 = 3.0;

/// Points of each line.
const POINTS: u32 = 120;

/// Writes the plot to an SVG file.
pub fn write_plot(outcome: &Outcome, path: &Path) -> Result<(), LoadError> {
    draw(outcome, path).map_err(|e| LoadError::Report(path.to_owned(), e.to_string()))
}

fn draw(outcome: &Outcome, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let slowest = outcome.kinds.iter().map(|kind| kind.tally.millis(1.0)).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..MAX_NINES, (0.5..slowest).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile: 1 is 90%, 2 is 99%, 3 is 99.9%")
        .y_desc("latency from the intended time, ms")
        .draw()?;
    for (index, kind) in outcome.kinds.iter().enumerate() {
        let colour = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(line(&kind.tally), colour.stroke_width(2)))?
            .label(kind.name.clone());
    }
    chart.configure_series_labels().border_style(Palette99::pick(0)).draw()?;
    root.present()?;
    Ok(())
}

fn line(tally: &Tally) -> Vec<(f64, f64)> {
    let nines = (0..=POINTS).map(|i| MAX_NINES * f64::from(i) / f64::from(POINTS));
    nines.map(|n| (n, tally.millis(1.0 - 10_f64.powf(-n)).max(0.5))).collect()
}
