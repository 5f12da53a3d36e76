//! A run as one page that needs nothing else: charts as SVG, figures, findings, the schedule.

use crate::arrival_counts::{ArrivalCounts, COLUMN};
use crate::outcome::{Outcome, OutcomeKind};
use crate::participant::{ParticipantId, Roster};
use crate::report;
use crate::schedule::Schedule;
use crate::trace::Micros;
use plotters::prelude::*;
use std::fmt::Write;
use thiserror::Error;

const WIDTH: u32 = 1_000;
const HEIGHT: u32 = 260;
/// Rows of the heat map that are drawn: the stores that were asked most.
const MAX_ROWS: usize = 60;

/// The heat map's own sizes.
const HEADER_HEIGHT: i32 = 28;
const ROW_HEIGHT: i32 = 12;
const NAMES_WIDTH: i32 = 150;
const MAP_WIDTH: i32 = WIDTH.cast_signed() - NAMES_WIDTH - 10;
const COLD_COLOUR: RGBColor = RGBColor(200, 60, 0);
const WARM_COLOUR: RGBColor = RGBColor(0, 80, 160);

/// What a page is made of.
pub struct Run<'a> {
    /// Its title.
    pub title: &'a str,
    /// The verdict on the run.
    pub verdict: &'a crate::verdict::Verdict,
    /// What became of all requests.
    pub outcomes: &'a [Outcome],
    /// The requests that came to each store.
    pub arrival_counts: &'a ArrivalCounts,
    /// The faults.
    pub schedule: &'a Schedule,
    /// All participants.
    pub roster: &'a Roster,
    /// When the load began on the trace's clock.
    pub load_begin: Micros,
    /// How long the load lasted.
    pub duration: Micros,
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

/// The error of the drawing library, whose type names its backend.
type DrawingError = Box<dyn std::error::Error + Send + Sync>;

/// A chart could not be drawn.
#[derive(Debug, Error)]
#[error("the chart {chart:?}: {source}")]
pub struct PageError {
    /// Its caption.
    pub chart: &'static str,
    /// Why not.
    pub source: DrawingError,
}

/// A line of a chart.
struct Line {
    name: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// What stands over the charts.
const SHARES_CAPTION: &str = "Share of requests, by when they were to be asked";
const LATENCY_CAPTION: &str = "Milliseconds to the answer, of those served";
const STORES_CAPTION: &str = "Requests by store and time";

/// Columns of the run, and of each the outcomes that were to be asked in it.
fn columns<'a>(run: &Run<'a>) -> Vec<Vec<&'a Outcome>> {
    let mut columns = vec![Vec::new(); (run.duration / COLUMN + 1) as usize];
    for one in run.outcomes {
        if let Some(column) = columns.get_mut((one.at / COLUMN) as usize) {
            column.push(one);
        }
    }
    columns
}

/// A plot over the run's time, with a band behind it for each fault.
fn over_time(run: &Run<'_>, caption: &str, most: f64, lines: &[Line]) -> Result<String, DrawingError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .caption(caption, ("sans-serif", 16))
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds(run.duration), 0.0..most)?;
        let band = |plan: &crate::schedule::ScheduledFault| {
            let (begins, ends) = (plan.begins.as_secs_f64(), plan.ends.as_secs_f64());
            // What has no length is drawn as a stroke.
            let ends = ends.max(begins + seconds(run.duration) / 500.0).min(seconds(run.duration));
            Rectangle::new([(begins, 0.0), (ends, most)], RED.mix(0.06).filled())
        };
        chart.draw_series(run.schedule.planned.iter().map(band))?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw()?;
        for Line { name, colour, points } in lines {
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn shares(run: &Run<'_>) -> Result<String, DrawingError> {
    let columns = columns(run);
    let line = |of: &dyn Fn(OutcomeKind) -> bool| -> Vec<(f64, f64)> {
        let share = |(at, column): (usize, &Vec<&Outcome>)| {
            let count = column.iter().filter(|one| of(one.kind)).count();
            let middle = seconds(at as Micros * COLUMN + COLUMN / 2);
            (!column.is_empty()).then(|| (middle, count as f64 / column.len() as f64))
        };
        columns.iter().enumerate().filter_map(share).collect()
    };
    let failed = |kind| !matches!(kind, OutcomeKind::Served | OutcomeKind::Refused);
    let chart_line = |name, colour, points| Line { name, colour, points };
    let lines = [
        chart_line("served", RGBColor(0, 120, 60), line(&|kind| kind == OutcomeKind::Served)),
        chart_line("refused", RGBColor(210, 140, 0), line(&|kind| kind == OutcomeKind::Refused)),
        chart_line("failed", RGBColor(200, 0, 0), line(&failed)),
    ];
    over_time(run, SHARES_CAPTION, 1.05, &lines)
}

fn latency(run: &Run<'_>) -> Result<String, DrawingError> {
    let (mut p50, mut p99, mut most) = (Vec::new(), Vec::new(), 1.0_f64);
    for (at, column) in columns(run).iter().enumerate() {
        let served = column.iter().filter(|one| one.kind == OutcomeKind::Served);
        let mut took: Vec<Micros> = served.map(|one| one.took).collect();
        if took.is_empty() {
            continue;
        }
        took.sort_unstable();
        let middle = seconds(at as Micros * COLUMN + COLUMN / 2);
        let quantile = |share: f64| took[((took.len() - 1) as f64 * share) as usize] as f64 / 1e3;
        p50.push((middle, quantile(0.5)));
        p99.push((middle, quantile(0.99)));
        most = most.max(quantile(0.99));
    }
    let lines = [
        Line { name: "median", colour: RGBColor(0, 90, 170), points: p50 },
        Line { name: "99 of 100", colour: RGBColor(120, 0, 140), points: p99 },
    ];
    over_time(run, LATENCY_CAPTION, most * 1.1, &lines)
}

/// The heat map's columns, and its fullest cell.
struct HeatMap {
    /// The first column of the load.
    first: usize,
    columns: usize,
    max: u32,
}

impl HeatMap {
    /// The cells of a store's row; those to a store that was warming up stand out.
    fn cells(&self, run: &Run<'_>, store: ParticipantId, top: i32) -> Vec<Rectangle<(i32, i32)>> {
        let row = &run.arrival_counts.all[&store];
        let cold = run.arrival_counts.cold.get(&store);
        let width = f64::from(MAP_WIDTH) / self.columns as f64;
        let mut cells = Vec::new();
        for column in 0..self.columns {
            let count = row.get(self.first + column).copied().unwrap_or(0);
            if count == 0 {
                continue;
            }
            let is_cold = cold.and_then(|row| row.get(self.first + column)).is_some_and(|cold| *cold > 0);
            let colour = if is_cold { COLD_COLOUR } else { WARM_COLOUR };
            let strength = 0.1 + 0.9 * f64::from(count) / f64::from(self.max);
            let left = f64::from(NAMES_WIDTH) + column as f64 * width;
            let corners = [(left as i32, top), ((left + width) as i32, top + ROW_HEIGHT - 2)];
            cells.push(Rectangle::new(corners, colour.mix(strength).filled()));
        }
        cells
    }
}

/// Requests by store and time; each row is drawn against the fullest cell of all.
fn heat_map(run: &Run<'_>) -> Result<String, DrawingError> {
    let mut stores: Vec<ParticipantId> = run.arrival_counts.all.keys().copied().collect();
    stores.sort_by_key(|store| std::cmp::Reverse(run.arrival_counts.total(*store)));
    stores.truncate(MAX_ROWS);
    stores.sort_unstable();
    let counts = stores.iter().flat_map(|store| &run.arrival_counts.all[store]);
    let max = counts.max().copied().unwrap_or(1).max(1);
    let columns = (run.duration / COLUMN + 1) as usize;
    let map = HeatMap { first: (run.load_begin / COLUMN) as usize, columns, max };
    let height = stores.len() as u32 * ROW_HEIGHT.unsigned_abs() + 40;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        root.fill(&WHITE)?;
        root.draw(&Text::new(STORES_CAPTION, (NAMES_WIDTH, 4), ("sans-serif", 16)))?;
        let mut top = HEADER_HEIGHT;
        for store in stores {
            root.draw(&Text::new(run.roster.get(store).to_string(), (4, top), ("sans-serif", 11)))?;
            for cell in map.cells(run, store, top) {
                root.draw(&cell)?;
            }
            top += ROW_HEIGHT;
        }
        root.present()?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The whole page.
///
/// # Errors
///
/// Where a chart can't be drawn.
pub fn page(run: &Run<'_>) -> Result<String, PageError> {
    let charts =
        [(SHARES_CAPTION, shares(run)), (LATENCY_CAPTION, latency(run)), (STORES_CAPTION, heat_map(run))];
    let mut page = String::new();
    let title = escaped(run.title);
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font:14px sans-serif;max-width:1020px;margin:24px auto}}pre{{overflow-x:auto}}</style>\
         <h1>{title}</h1><pre>{}</pre>",
        escaped(&report::text(run.verdict))
    );
    for (chart, drawn) in charts {
        let svg = drawn.map_err(|source| PageError { chart, source })?;
        let _ = write!(page, "<p>{svg}</p>");
    }
    let _ = write!(page, "<h2>Schedule</h2><pre>{}</pre></html>", escaped(&run.verdict.schedule.join("\n")));
    Ok(page)
}

#[cfg(test)]
mod tests;
