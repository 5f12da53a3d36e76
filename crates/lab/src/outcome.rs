//! What became of each request that clients wanted, and the figures of a run.

use crate::scenario::{Expect, Scenario};
use crate::trace::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Times beyond count as this, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// With what was asked for.
    Served,
    /// Refused to the last try.
    Refused,
    /// With an error.
    Failed,
    /// The connection ended without an answer.
    Broken,
    /// The client waited in vain.
    TimedOut,
    /// No gateway was there to be asked.
    NoGateway,
}

/// One request, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// When it was to be asked, from the load's begin.
    pub at: Micros,
    /// How it ended.
    pub kind: OutcomeKind,
    /// From when it was to be asked to its end, whenever it was really sent.
    pub took: Micros,
    /// How often it was tried.
    pub tries: u32,
}

/// Figures of one phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Its name.
    pub phase: String,
    /// How many requests were to be asked in it.
    pub asked: usize,
    /// The share of them that were served.
    pub served: f64,
    /// The share that were refused to the last try.
    pub refused: f64,
    /// The share of all others.
    pub failed: f64,
    /// Half of those served took no longer.
    pub p50_ms: f64,
    /// 99 of 100 of those served took no longer.
    pub p99_ms: f64,
    /// The mean number of tries.
    pub tries: f64,
    /// What was expected and does not hold.
    pub unmet: Vec<String>,
}

fn share(part: usize, whole: usize) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}

/// The figures of each phase, by when its requests were to be asked.
///
/// # Panics
///
/// Never: the bounds of its histogram are constants that it takes.
pub fn figures(scenario: &Scenario, outcomes: &[Outcome]) -> Vec<Figures> {
    let mut begins = 0;
    let mut all = Vec::new();
    for phase in &scenario.phases {
        let ends = begins + phase.lasts.as_micros() as Micros;
        let of_phase: Vec<&Outcome> =
            outcomes.iter().filter(|one| (begins..ends).contains(&one.at)).collect();
        begins = ends;
        let mut figures = phase_figures(&phase.name, &of_phase);
        figures.unmet = unmet(&phase.expect, &figures);
        all.push(figures);
    }
    all
}

fn phase_figures(phase: &str, outcomes: &[&Outcome]) -> Figures {
    let count = |kind| outcomes.iter().filter(|one| one.kind == kind).count();
    let times = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
    let mut times = times.expect("the bounds are constants that the histogram takes");
    for one in outcomes.iter().filter(|one| one.kind == OutcomeKind::Served) {
        times.saturating_record(one.took);
    }
    let quantile = |at: f64| times.value_at_quantile(at) as f64 / 1e3;
    let served = share(count(OutcomeKind::Served), outcomes.len());
    let refused = share(count(OutcomeKind::Refused), outcomes.len());
    Figures {
        phase: phase.into(),
        asked: outcomes.len(),
        served,
        refused,
        failed: if outcomes.is_empty() { 0.0 } else { 1.0 - served - refused },
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        tries: outcomes.iter().map(|one| f64::from(one.tries)).sum::<f64>() / outcomes.len().max(1) as f64,
        unmet: Vec::new(),
    }
}

/// What was expected of a phase and does not hold.
fn unmet(expect: &Expect, figures: &Figures) -> Vec<String> {
    let Figures { served, failed, p99_ms, .. } = *figures;
    let mut unmet = Vec::new();
    if let Some(min) = expect.served.filter(|min| served < *min) {
        unmet.push(format!("served {served:.3}, at least {min:.2} expected"));
    }
    if let Some(max) = expect.failed.filter(|max| failed > *max) {
        unmet.push(format!("failed {failed:.3}, at most {max:.2} expected"));
    }
    let within_ms = expect.within.map(|within| within.as_millis() as f64);
    if let Some(max) = within_ms.filter(|max| p99_ms > *max) {
        unmet.push(format!("p99 {p99_ms:.0} ms, {max:.0} ms expected"));
    }
    unmet
}

#[cfg(test)]
mod tests;
