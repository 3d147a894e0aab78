//! Plots of the share of served requests over time.

use std::path::Path;

use plotters::prelude::*;

use crate::error::Error;
use crate::report::Series;
use crate::scenario::{Policy, Scenario};

/// Width and height in pixels.
const PLOT_SIZE: (u32, u32) = (900, 400);

/// Draws one line per run, into an SVG file.
pub fn draw(path: &Path, scenario: &Scenario, series: &[Series]) -> Result<(), Error> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    let fault = |error: DrawingAreaErrorKind<_>| Error::Plot(format!("{error}"));
    root.fill(&WHITE).map_err(fault)?;
    let seconds = scenario.duration().as_secs_f64();
    let caption = format!("{}: requests served, in percent", scenario.name);
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds, 0.0..105.0)
        .map_err(fault)?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(fault)?;
    for run in series {
        let color = color(run.policy);
        let line = chart.draw_series(LineSeries::new(run.points.iter().copied(), color));
        let line = line.map_err(fault)?;
        if run.seed == 1 {
            line.label(run.policy.name())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        }
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(fault)?;
    root.present().map_err(fault)
}

fn color(policy: Policy) -> RGBColor {
    match policy {
        Policy::Lavenderflow => RGBColor(120, 80, 180),
        Policy::RoundRobin => RGBColor(200, 110, 40),
        Policy::Random => RGBColor(60, 130, 90),
    }
}
