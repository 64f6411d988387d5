//! Plots the report on service-level objectives as a self-contained SVG file.

use plotters::prelude::*;

use crate::burn;
use crate::burn::report;

/// Maximum number of objectives in the plot.
const MAX_ROWS: usize = 24;

const WIDTH: u32 = 960;
const ROW_HEIGHT: u32 = 44;
const HEAD_HEIGHT: u32 = 90;
const LABEL_WIDTH: u32 = 260;

/// Burn rate at the full width of a bar; higher rates are drawn at this width.
const MAX_RATE: f64 = 20.0;

/// Colour of the bar of each window.
const COLOURS: [RGBColor; burn::WINDOWS.len()] = [
    RGBColor(178, 24, 43),
    RGBColor(239, 138, 98),
    RGBColor(103, 169, 207),
    RGBColor(33, 102, 172),
];

/// Why the plot could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The drawing library failed.
    #[error("the plot can't be drawn: {0}")]
    Draw(String),
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Error {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Error::Draw(error.to_string())
    }
}

/// Renders `report` as SVG, with one bar for each window of each objective. The worst objectives
/// come first.
///
/// # Errors
///
/// Fails if the drawing library fails.
pub fn svg(report: &report::Report) -> Result<String, Error> {
    let lines = report.lines.get(..MAX_ROWS).unwrap_or(&report.lines);
    let rows = u32::try_from(lines.len()).unwrap_or(0).max(1);
    let mut text = String::new();
    {
        let size = (WIDTH, HEAD_HEIGHT + rows * ROW_HEIGHT);
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE)?;
        draw_head(&area, report)?;
        for (index, line) in (0..).zip(lines) {
            draw_row(&area, HEAD_HEIGHT + index * ROW_HEIGHT, line)?;
        }
        area.present()?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws the title and the legend.
fn draw_head(area: &Area<'_>, report: &report::Report) -> Result<(), Error> {
    let coverage = &report.coverage;
    let partial = if coverage.complete { "" } else { "PARTIAL: " };
    let title = format!(
        "{partial}burn rates, heard from {} of {} nodes",
        coverage.answered, coverage.hosts
    );
    area.draw(&Text::new(title, (12, 12), ("sans-serif", 20).into_font()))?;
    for (index, (name, colour)) in (0..).zip(burn::WINDOW_NAMES.iter().zip(COLOURS)) {
        let left = 12 + index * 90;
        area.draw(&Rectangle::new([(left, 48), (left + 14, 62)], colour.filled()))?;
        area.draw(&Text::new(*name, (left + 20, 46), ("sans-serif", 15).into_font()))?;
    }
    Ok(())
}

/// Draws the label and the bars of one objective, with their upper edge at `top`.
fn draw_row(area: &Area<'_>, top: u32, line: &report::Line) -> Result<(), Error> {
    let top = i32::try_from(top).unwrap_or(i32::MAX);
    let objective = match line.objective {
        report::Objective::Availability => "availability",
        report::Objective::Latency => "latency",
    };
    let label = format!("{} {objective}", line.service);
    area.draw(&Text::new(label, (12, top), ("sans-serif", 15).into_font()))?;
    let remaining = format!("{:.1} % of the budget left", line.budget_left * 100.0);
    area.draw(&Text::new(remaining, (12, top + 18), ("sans-serif", 12).into_font()))?;
    let start = i32::try_from(LABEL_WIDTH).unwrap_or(0);
    let width = f64::from(WIDTH - LABEL_WIDTH - 70);
    for (index, (&burn, colour)) in (0..).zip(line.burn.iter().zip(COLOURS)) {
        let y = top + index * 9;
        let length = (burn.min(MAX_RATE) / MAX_RATE * width).round() as i32;
        area.draw(&Rectangle::new([(start, y), (start + length, y + 7)], colour.filled()))?;
        let end = (start + length + 4, y - 2);
        area.draw(&Text::new(format!("{burn:.2}"), end, ("sans-serif", 10).into_font()))?;
    }
    Ok(())
}
