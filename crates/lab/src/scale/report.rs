//! The result of a scale run as text.

use super::checker::{LatencySummary, PhaseResult};
use super::cost::{Comparison, Cost, Growth};
use super::result::{FailedSize, PhaseCosts, RunResult, SizeResult};
use super::scenario::Targets;
use std::fmt::Write;

const MICROS_PER_MILLI: f64 = 1_000.0;
const PERCENT: f64 = 100.0;

fn latencies(summary: &LatencySummary) -> String {
    let ms = |us: u64| us as f64 / MICROS_PER_MILLI;
    format!(
        "{:>10} {:>8.1} {:>8.1} {:>9.1} {:>7} {:>7} {:>8}",
        summary.pairs,
        ms(summary.p50_us),
        ms(summary.p99_us),
        ms(summary.max_us),
        summary.late,
        summary.missing,
        summary.stale
    )
}

fn phase(text: &mut String, phase: &PhaseResult) {
    let _ = writeln!(text, "  {:<9} {:<7} {}", phase.phase, "others", latencies(&phase.unaffected));
    if phase.affected.pairs + phase.affected.missing + phase.affected.stale > 0 {
        let _ = writeln!(text, "  {:<9} {:<7} {}", "", "struck", latencies(&phase.affected));
    }
}

fn figure(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| format!("{value:.2}"))
}

fn cost(text: &mut String, phase: &str, cost: &Cost, targets: &Targets) {
    let exceeded = cost.exceeded(targets);
    let _ = writeln!(
        text,
        "  {phase:<6} {:<15} {:>5} {:>8.3} {:>8.2} {:>9.1} {:>8} {:>10}  {}",
        cost.role.name(),
        cost.count,
        cost.rates.core * PERCENT,
        cost.rates.memory_mb,
        cost.rates.wake_ups_per_second,
        figure(cost.traffic_kb_per_second),
        figure(cost.messages_per_second),
        if exceeded.is_empty() { "-".into() } else { exceeded.join(", ") }
    );
}

fn costs(text: &mut String, costs: &PhaseCosts, targets: &Targets) {
    costs.costs.iter().for_each(|one| cost(text, &costs.phase, one, targets));
    let busy = costs.machine_busy * PERCENT;
    let _ = writeln!(text, "  {:<6} the whole machine was {busy:.0}% busy", costs.phase);
}

fn comparison(text: &mut String, compared: &Comparison) {
    let word = |similar: bool| if similar { "alike within 20%" } else { "NOT alike within 20%" };
    let _ = writeln!(
        text,
        "  hollow against real: traffic {:.2} and {:.2} KB/s, {}; events take {:.3}% and {:.3}% of a core, {}",
        compared.hollow_kb_per_second,
        compared.real_kb_per_second,
        word(compared.traffic_is_similar()),
        compared.hollow_core * PERCENT,
        compared.real_core * PERCENT,
        word(compared.core_is_similar())
    );
}

/// The result of one size.
pub fn size(size: &SizeResult, targets: &Targets) -> String {
    let mut text = format!(
        "\n{} gateways, {} of them real processes, {} connections at the event bus\n",
        size.gateways, size.real, size.bus_connections
    );
    let _ = writeln!(
        text,
        "  stretch   gateways      pairs   p50 ms   p99 ms   most ms    late missing in-doubt"
    );
    size.phases.iter().for_each(|one| phase(&mut text, one));
    let _ = writeln!(
        text,
        "  cost   of one          count   core %       MB wake-ups/s     KB/s messages/s  over budget"
    );
    size.costs.iter().for_each(|one| costs(&mut text, one, targets));
    size.comparison.iter().for_each(|one| comparison(&mut text, one));
    for violation in &size.violations {
        let _ = writeln!(text, "  DOES NOT HOLD: {violation}");
    }
    text
}

fn growth(text: &mut String, growth: &Growth) {
    let _ = writeln!(
        text,
        "  {:<15} {:<15} {:>12.6} {:>12.4} {:>10.4}  {}",
        growth.role.name(),
        growth.figure,
        growth.line.slope,
        growth.line.intercept,
        growth.line.residual,
        growth.line.shape
    );
}

/// The result of all sizes.
pub fn summary(result: &RunResult) -> String {
    let mut text = String::from("\ncosts in calm by size: slope for each gateway, intercept, residual\n");
    result.growth.iter().for_each(|one| growth(&mut text, one));
    for FailedSize(gateways, cause) in &result.failed_sizes {
        let _ = writeln!(text, "{gateways} gateways were not run: {cause}");
    }
    let verdict = if result.holds() { "all that must hold does" } else { "not all that must hold does" };
    let _ = writeln!(text, "{verdict}");
    let _ = writeln!(text, "KB/s: both ways, with 40 bytes of TCP/IP headers a segment");
    text
}
