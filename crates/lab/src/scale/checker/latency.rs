//! How long purges took until they were applied, over a group of gateways.

use super::finding::Rule;
use super::outcome::Outcome;
use serde::Serialize;

/// Times from the issue of purges until they were applied, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LatencySummary {
    /// Pairs of a purge and a gateway that applied it.
    pub pairs: usize,
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The maximum.
    #[serde(rename = "most_us")]
    pub max_us: u64,
    /// Pairs that were applied after the bound.
    pub late: usize,
    /// Pairs that were not applied.
    pub missing: usize,
    /// Pairs that were late or missing at a gateway which knew that it was stale.
    #[serde(rename = "in_doubt")]
    pub stale: usize,
}

/// Collects outcomes of a group of gateways.
#[derive(Default)]
pub(super) struct LatencyCollector {
    latencies: Vec<u64>,
    late: usize,
    missing: usize,
    stale: usize,
}

impl LatencyCollector {
    pub(super) fn summary(mut self) -> LatencySummary {
        self.latencies.sort_unstable();
        let percentile = |share: f64| {
            let rank = (self.latencies.len() as f64 * share).ceil() as usize;
            self.latencies.get(rank.saturating_sub(1)).copied().unwrap_or(0)
        };
        LatencySummary {
            pairs: self.latencies.len(),
            p50_us: percentile(0.5),
            p99_us: percentile(0.99),
            max_us: self.latencies.last().copied().unwrap_or(0),
            late: self.late,
            missing: self.missing,
            stale: self.stale,
        }
    }

    /// Counts an outcome. Returns the rule that it breaks, and by how much.
    pub(super) fn add(&mut self, outcome: &Outcome, bound: u64) -> Option<(Rule, u64)> {
        match *outcome {
            Outcome::NotApplicable => None,
            Outcome::Early(by) => Some((Rule::Early, by)),
            Outcome::Applied { after, stale } => {
                self.latencies.push(after);
                self.stale += usize::from(stale);
                let late = after > bound && !stale;
                self.late += usize::from(late);
                late.then_some((Rule::Late, after))
            }
            // A process that ended within the bound broke no rule.
            Outcome::Missing { after, .. } if after <= bound => None,
            Outcome::Missing { stale: true, .. } => {
                self.stale += 1;
                None
            }
            Outcome::Missing { after, .. } => {
                self.missing += 1;
                Some((Rule::Missing, after))
            }
        }
    }
}
