//! Reports: medians with their spread, a line fitted through each column, as text and as JSON.

use super::figure::{Figure, Unit};
use crate::fit;
use serde::Serialize;
use std::fmt::Write;

/// The median of some repeats, with the minimum and the maximum.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The value in the middle.
    pub median: f64,
    /// The smallest value.
    #[serde(rename = "least")]
    pub min: f64,
    /// The greatest value.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Spread {
    /// `None`: there are no values.
    pub fn of(values: &[f64]) -> Option<Spread> {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (min, max) = (*sorted.first()?, *sorted.last()?);
        let middle = sorted.len() / 2;
        let median = match sorted.len() % 2 {
            0 => f64::midpoint(sorted[middle - 1], sorted[middle]),
            _ => sorted[middle],
        };
        Some(Spread { median, min, max })
    }
}

/// One figure at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cell {
    /// The size.
    pub size: u64,
    /// The values of all repeats.
    pub spread: Spread,
}

/// One figure at all sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// The figure's name.
    pub name: &'static str,
    /// Of its values.
    pub unit: Unit,
    /// By size.
    pub cells: Vec<Cell>,
    /// Through the medians.
    pub fit: Option<fit::Line>,
    /// The line's value at a size that no run reached.
    pub extrapolated: Option<Extrapolated>,
}

/// A value at a size that no run reached.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Extrapolated {
    /// The size.
    pub size: u64,
    /// The value of the fitted line.
    pub value: f64,
}

/// All figures of one role.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleReport {
    /// The role's name.
    pub role: &'static str,
    /// What its size counts.
    pub size_of: &'static str,
    /// Repeats of each size.
    pub repeats: usize,
    /// One for each figure.
    pub series: Vec<Series>,
}

/// Puts repeats of a role together. `runs`: by size, the figures of each repeat. All repeats have the same figures.
pub fn role_report(
    role: &'static str,
    size_of: &'static str,
    runs: &[(u64, Vec<Vec<Figure>>)],
    extrapolated_to: Option<u64>,
) -> RoleReport {
    let first = runs.iter().flat_map(|(_, repeats)| repeats).next();
    let names = first.into_iter().flatten().map(|figure| (figure.name, figure.unit));
    let series = names.map(|(name, unit)| series(name, unit, runs, extrapolated_to)).collect();
    let repeats = runs.iter().map(|(_, repeats)| repeats.len()).min().unwrap_or(0);
    RoleReport { role, size_of, repeats, series }
}

fn series(
    name: &'static str,
    unit: Unit,
    runs: &[(u64, Vec<Vec<Figure>>)],
    extrapolated_to: Option<u64>,
) -> Series {
    let cell = |(size, repeats): &(u64, Vec<Vec<Figure>>)| {
        let same = |figure: &&Figure| figure.name == name;
        let values: Vec<f64> = repeats.iter().flatten().filter(same).map(|figure| figure.value).collect();
        Some(Cell { size: *size, spread: Spread::of(&values)? })
    };
    let cells: Vec<Cell> = runs.iter().filter_map(cell).collect();
    let points: Vec<(f64, f64)> = cells.iter().map(|cell| (cell.size as f64, cell.spread.median)).collect();
    let fit = fit::line(&points);
    let reached = cells.iter().map(|cell| cell.size).max();
    let beyond = extrapolated_to.filter(|size| reached.is_some_and(|reached| *size > reached));
    let extrapolated = beyond.zip(fit).map(|(size, line)| Extrapolated { size, value: line.at(size as f64) });
    Series { name, unit, cells, fit, extrapolated }
}

/// About four significant digits.
fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 1e6 => format!("{value:.3e}"),
        size if size >= 1e3 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

fn cell_text(cell: &Cell) -> String {
    let Spread { median, min, max } = cell.spread;
    if min.total_cmp(&max).is_eq() {
        return short(median);
    }
    format!("{} ({}..{})", short(median), short(min), short(max))
}

/// A role's results as a table of Markdown: a line for each figure, a column for each size.
pub fn text(report: &RoleReport) -> String {
    let mut text = format!("## {}, {} repeats, size: {}\n\n", report.role, report.repeats, report.size_of);
    let sizes: Vec<u64> =
        report.series.first().into_iter().flat_map(|series| &series.cells).map(|cell| cell.size).collect();
    let columns: Vec<String> = sizes.iter().map(u64::to_string).collect();
    let _ = writeln!(
        text,
        "| figure | unit | {} | slope | intercept | residual | shape | extrapolated |",
        columns.join(" | ")
    );
    let _ = writeln!(text, "|{}", " --- |".repeat(7 + columns.len()));
    for series in &report.series {
        let _ = writeln!(text, "{}", row(series));
    }
    text
}

fn row(series: &Series) -> String {
    let cells: Vec<String> = series.cells.iter().map(cell_text).collect();
    let fit = match &series.fit {
        None => "- | - | - | -".into(),
        Some(fit) => format!(
            "{} | {} | {} ({:.1}%) | {}{}",
            short(fit.slope),
            short(fit.intercept),
            short(fit.residual),
            fit.relative_residual * 100.0,
            fit.shape,
            exponent_text(fit),
        ),
    };
    let beyond = series.extrapolated.map_or("-".into(), |it| format!("{} at {}", short(it.value), it.size));
    format!("| {} | {} | {} | {fit} | {beyond} |", series.name, series.unit, cells.join(" | "))
}

/// The exponent of the power law, where the points are not on a line.
fn exponent_text(fit: &fit::Line) -> String {
    match (fit.shape, fit.power_law) {
        (fit::Shape::Line, _) | (_, None) => String::new(),
        (_, Some(law)) => format!(" (exponent {:.2})", law.exponent),
    }
}
