//! The report on service levels as a self-contained SVG file.

use plotters::prelude::*;

use crate::burn;
use crate::burn::report;

/// Objectives shown, worst first.
const SHOWN: usize = 24;

const WIDTH: u32 = 960;
const ROW_HEIGHT: u32 = 44;
const HEAD_HEIGHT: u32 = 90;
const LABEL_WIDTH: u32 = 260;

/// Burn rates above this are drawn as this.
const MOST: f64 = 20.0;

const COLOURS: [RGBColor; burn::WINDOWS.len()] = [
    RGBColor(178, 24, 43),
    RGBColor(239, 138, 98),
    RGBColor(103, 169, 207),
    RGBColor(33, 102, 172),
];

/// Why there is no plot.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It can't be drawn.
    #[error("the plot can't be drawn: {0}")]
    Draw(String),
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Error {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Error::Draw(error.to_string())
    }
}

/// The SVG text of `report`: a bar for each window of each objective, worst first.
///
/// # Errors
///
/// The drawing library fails.
pub fn svg(report: &report::Report) -> Result<String, Error> {
    let lines = report.lines.get(..SHOWN).unwrap_or(&report.lines);
    let rows = u32::try_from(lines.len()).unwrap_or(0).max(1);
    let mut text = String::new();
    {
        let size = (WIDTH, HEAD_HEIGHT + rows * ROW_HEIGHT);
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE)?;
        head(&area, report)?;
        for (place, line) in (0..).zip(lines) {
            row(&area, HEAD_HEIGHT + place * ROW_HEIGHT, line)?;
        }
        area.present()?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn head(area: &Area<'_>, report: &report::Report) -> Result<(), Error> {
    let coverage = &report.coverage;
    let partial = if coverage.complete { "" } else { "PARTIAL: " };
    let title = format!(
        "{partial}burn rates, heard from {} of {} nodes",
        coverage.answered, coverage.hosts
    );
    area.draw(&Text::new(title, (12, 12), ("sans-serif", 20).into_font()))?;
    for (place, (name, colour)) in (0..).zip(burn::NAMES.iter().zip(COLOURS)) {
        let left = 12 + place * 90;
        area.draw(&Rectangle::new([(left, 48), (left + 14, 62)], colour.filled()))?;
        area.draw(&Text::new(*name, (left + 20, 46), ("sans-serif", 15).into_font()))?;
    }
    Ok(())
}

fn row(area: &Area<'_>, top: u32, line: &report::Line) -> Result<(), Error> {
    let top = i32::try_from(top).unwrap_or(i32::MAX);
    let objective = match line.objective {
        report::Objective::Availability => "availability",
        report::Objective::Latency => "latency",
    };
    let label = format!("{} {objective}", line.service);
    area.draw(&Text::new(label, (12, top), ("sans-serif", 15).into_font()))?;
    let left = format!("{:.1} % of the budget left", line.budget_left * 100.0);
    area.draw(&Text::new(left, (12, top + 18), ("sans-serif", 12).into_font()))?;
    let start = i32::try_from(LABEL_WIDTH).unwrap_or(0);
    let room = f64::from(WIDTH - LABEL_WIDTH - 70);
    for (place, (&burn, colour)) in (0..).zip(line.burn.iter().zip(COLOURS)) {
        let y = top + place * 9;
        let length = (burn.min(MOST) / MOST * room).round() as i32;
        area.draw(&Rectangle::new([(start, y), (start + length, y + 7)], colour.filled()))?;
        let end = (start + length + 4, y - 2);
        area.draw(&Text::new(format!("{burn:.2}"), end, ("sans-serif", 10).into_font()))?;
    }
    Ok(())
}
