//! A verdict as text.

use crate::check::Finding;
use crate::outcome::Figures;
use crate::system_faults::InjectedFaults;
use crate::verdict::Verdict;
use std::fmt::{self, Write};

/// Findings that are shown; the result file holds all.
const MAX_FINDINGS: usize = 5;
/// Events around a finding that are shown, the latest ones.
const MAX_EVENTS: usize = 8;

/// The whole verdict.
pub fn text(verdict: &Verdict) -> String {
    let mut text = String::new();
    // Writing to a string never fails.
    let _ = write_verdict(&mut text, verdict);
    text
}

fn write_verdict(text: &mut String, verdict: &Verdict) -> fmt::Result {
    write_figures(text, &verdict.figures)?;
    for (rule, count) in &verdict.counts {
        writeln!(text, "rule {rule:?}: {count} findings")?;
    }
    for finding in verdict.findings.iter().take(MAX_FINDINGS) {
        write_finding(text, finding)?;
    }
    if let Some(injected) = &verdict.system_faults {
        write_injected(text, injected)?;
    }
    for failure in &verdict.process_failures {
        writeln!(text, "end: {failure}")?;
    }
    for void in &verdict.void {
        writeln!(text, "VOID: {void}")?;
    }
    write_lateness(text, verdict)?;
    let word = match (verdict.void.is_empty(), verdict.holds()) {
        (false, _) => "void",
        (true, true) => "holds",
        (true, false) => "DOES NOT HOLD",
    };
    writeln!(text, "{word}")
}

fn write_figures(text: &mut String, figures: &[Figures]) -> fmt::Result {
    writeln!(
        text,
        "{:<16} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>6}",
        "phase", "requests", "served", "refused", "failed", "p50 ms", "p99 ms", "tries"
    )?;
    for one in figures {
        write!(
            text,
            "{:<16} {:>8} {:>8.4} {:>8.4} {:>8.4} {:>9.1} {:>9.1} {:>6.2}",
            one.phase, one.asked, one.served, one.refused, one.failed, one.p50_ms, one.p99_ms, one.tries,
        )?;
        for unmet in &one.unmet {
            write!(text, "  NOT MET: {unmet}")?;
        }
        writeln!(text)?;
    }
    Ok(())
}

fn write_finding(text: &mut String, finding: &Finding) -> fmt::Result {
    writeln!(text, "{:.3} s  {}: {}", finding.at as f64 / 1e6, finding.rule, finding.text)?;
    let first = finding.around.len().saturating_sub(MAX_EVENTS);
    for event in &finding.around[first..] {
        writeln!(text, "    {:.3} s  {:?}", event.at as f64 / 1e6, event.what)?;
    }
    Ok(())
}

fn write_injected(text: &mut String, injected: &InjectedFaults) -> fmt::Result {
    for (call, calls) in injected.calls.iter().filter(|(_, calls)| **calls > 0) {
        let fired = injected.fired.get(call).copied().unwrap_or(0);
        writeln!(text, "shim: {call:<16} {fired:>7} faults in {calls} calls")?;
    }
    writeln!(
        text,
        "shim: {} short transfers, {} torn writes, {} of {} readings of a stepped clock",
        injected.short_transfers,
        injected.torn_writes,
        injected.stepped_readings,
        injected.wall_clock_readings
    )
}

fn write_lateness(text: &mut String, verdict: &Verdict) -> fmt::Result {
    let (received, sent) = verdict.relayed_bytes;
    let (p99, max) = verdict.relay_lateness_us;
    writeln!(
        text,
        "{} entries; relays took {received} and gave {sent} bytes, p99 {:.1} ms late, {:.1} at most; load p99 {:.1} ms late",
        verdict.events,
        p99 as f64 / 1e3,
        max as f64 / 1e3,
        verdict.load_lateness_us as f64 / 1e3
    )
}
