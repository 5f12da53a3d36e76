//! Checks when purges were applied, from what gateways and the event bus wrote down. No I/O, no clock, and nothing of the
//! gateway's own code.
//!
//! A purge is late at a gateway that served longer than the bound after the purge was issued without having applied it,
//! while its freshness lease was valid.

mod finding;
mod latency;
mod outcome;
mod timeline;

pub use finding::{Finding, Rule};
pub use latency::LatencySummary;
pub use timeline::{
    AppliedOffset, CALM, InjectedFault, Micros, Phase, ProcessLifetime, Purge, TimeSpan, phases,
};

use latency::LatencyCollector;
use outcome::purge_outcome;
use serde::Serialize;

/// Findings that are reported of each phase, the largest ones.
const REPORTED_FINDINGS: usize = 5;

/// The result of one phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PhaseResult {
    /// The phase's name.
    #[serde(rename = "stretch")]
    pub phase: String,
    /// Purges that were issued in it.
    pub purges: usize,
    /// At gateways that its fault does not affect.
    #[serde(rename = "others")]
    pub unaffected: LatencySummary,
    /// At gateways that its fault affects.
    #[serde(rename = "struck")]
    pub affected: LatencySummary,
    /// Purges that were reported as applied before they were issued.
    pub early: usize,
    /// The largest findings.
    pub findings: Vec<Finding>,
}

fn check_phase(phase: &Phase, purges: &[Purge], processes: &[ProcessLifetime], bound: u64) -> PhaseResult {
    let is_issued = |purge: &&Purge| (phase.issued.from..phase.issued.until).contains(&purge.issued);
    let purges: Vec<Purge> = purges.iter().filter(is_issued).copied().collect();
    let (mut unaffected, mut affected) = (LatencyCollector::default(), LatencyCollector::default());
    let (mut early, mut findings) = (0, Vec::new());
    for process in processes {
        let gateway = process.gateway;
        let group = if phase.affected.contains(&gateway) { &mut affected } else { &mut unaffected };
        for purge in &purges {
            let outcome = purge_outcome(process, *purge, bound);
            let Some((rule, after_us)) = group.add(&outcome, bound) else { continue };
            early += usize::from(rule == Rule::Early);
            findings.push(Finding { rule, gateway, offset: purge.offset, after_us });
        }
    }
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.after_us));
    findings.truncate(REPORTED_FINDINGS);
    PhaseResult {
        phase: phase.name.clone(),
        purges: purges.len(),
        unaffected: unaffected.summary(),
        affected: affected.summary(),
        early,
        findings,
    }
}

/// Checks each phase. `bound`: microseconds after its issue by which a purge must be applied.
pub fn check(
    phases: &[Phase],
    purges: &[Purge],
    processes: &[ProcessLifetime],
    bound: u64,
) -> Vec<PhaseResult> {
    phases.iter().map(|phase| check_phase(phase, purges, processes, bound)).collect()
}

#[cfg(test)]
mod tests;
