//! Logs and counts the time during which a gateway's freshness lease is expired, which log lines and metrics call
//! *in doubt*.

use crate::broker::FreshnessReport;
use crate::interface::{Micros, seconds};
use crate::metrics::StalenessCounters;
use sagearch_feed::MILLISECOND as MICROS_PER_MILLISECOND;

/// Logs and counts changes between consecutive freshness reports of a gateway.
#[derive(Debug, Default)]
pub(in crate::net) struct StalenessMonitor {
    /// When the lease was first reported as expired; `None` if it is valid.
    expired_since: Option<Micros>,
    /// The end of the period that has been counted.
    counted_until: Micros,
    /// The number of unsent attempts in the last report.
    unsent: u64,
    /// The number of refused requests in the last report.
    refused: u64,
}

impl StalenessMonitor {
    /// Records a report; must be called at each tick. `cause` returns why the lease is not renewed.
    pub fn record(
        &mut self,
        now: Micros,
        report: &FreshnessReport,
        cause: impl FnOnce() -> String,
        counters: &StalenessCounters,
    ) {
        counters.unsent.inc_by(report.unsent.saturating_sub(self.unsent));
        counters.refused.inc_by(report.refused.saturating_sub(self.refused));
        (self.unsent, self.refused) = (report.unsent, report.refused);
        if self.expired_since.is_some() {
            counters.seconds.inc_by(seconds(now.saturating_sub(self.counted_until)));
        }
        self.counted_until = now;
        match (self.expired_since, report.is_stale) {
            (None, true) => {
                self.expired_since = Some(now);
                counters.times.inc();
                log::warn!("event feed: in doubt, {}: {}", age_text(now, report.as_of), cause());
            }
            (Some(since), false) => {
                self.expired_since = None;
                let expired_millis = now.saturating_sub(since) / MICROS_PER_MILLISECOND;
                log::info!("event feed: no longer in doubt, after {expired_millis} ms");
            }
            _ => {}
        }
    }
}

/// Describes how old the state that the lease confirms is.
fn age_text(now: Micros, as_of: Option<Micros>) -> String {
    match as_of {
        Some(as_of) => {
            format!(
                "the last confirmed state is {} ms old",
                now.saturating_sub(as_of) / MICROS_PER_MILLISECOND
            )
        }
        None => "no response received yet".into(),
    }
}
