//! Tells operators when a gateway is in doubt, that is when its freshness lease is over: log lines and counters.

use crate::broker::FreshnessReport;
use crate::interface::{Micros, seconds};
use crate::metrics::DoubtCounters;

/// What was last seen of a gateway's freshness.
#[derive(Debug, Default)]
pub(super) struct DoubtWatch {
    /// Since when it is in doubt.
    since: Option<Micros>,
    /// Up to when the time in doubt has been counted.
    counted_to: Micros,
    held: u64,
    refused: u64,
}

impl DoubtWatch {
    /// Looks at a report, often. `cause` says what keeps the lease from being renewed.
    pub fn look(
        &mut self,
        now: Micros,
        report: &FreshnessReport,
        cause: impl FnOnce() -> String,
        counters: &DoubtCounters,
    ) {
        counters.held.inc_by(report.held.saturating_sub(self.held));
        counters.refused.inc_by(report.refused.saturating_sub(self.refused));
        (self.held, self.refused) = (report.held, report.refused);
        if self.since.is_some() {
            counters.seconds.inc_by(seconds(now.saturating_sub(self.counted_to)));
        }
        self.counted_to = now;
        match (self.since, report.in_doubt) {
            (None, true) => {
                self.since = Some(now);
                counters.times.inc();
                log::warn!("event feed: in doubt, {}: {}", age_text(now, report.as_of), cause());
            }
            (Some(since), false) => {
                self.since = None;
                let lasted = now.saturating_sub(since) / 1_000;
                log::info!("event feed: no longer in doubt, after {lasted} ms");
            }
            _ => {}
        }
    }
}

fn age_text(now: Micros, as_of: Option<Micros>) -> String {
    match as_of {
        Some(as_of) => format!("as what is known is {} ms old", now.saturating_sub(as_of) / 1_000),
        None => "as nothing has been heard yet".into(),
    }
}
