//! Counters of the event feed.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// The traffic of the event feed. Clones share their counters.
#[derive(Clone, Debug, Default)]
pub struct FeedCounters {
    /// Bytes that were sent to the feed.
    pub bytes_sent: Counter,
    /// Bytes that were received from the feed.
    pub bytes_received: Counter,
    /// Polls that were answered.
    pub answers: Counter,
    /// Calls that failed.
    pub failed_calls: Counter,
    /// Events that were applied.
    pub events: Counter,
    /// Effects of expired freshness leases.
    pub staleness: StalenessCounters,
}

/// Effects of expired freshness leases.
#[derive(Clone, Debug, Default)]
pub struct StalenessCounters {
    /// Leases that expired.
    pub times: Counter,
    /// Seconds without a valid lease.
    pub seconds: Counter<f64, AtomicU64>,
    /// Attempts that were not written because the lease had expired since they were picked.
    pub unsent: Counter,
    /// Requests that were refused because no revalidation could be paid for.
    pub refused: Counter,
}

impl FeedCounters {
    /// Registers the counters under their names.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("feed_bytes_sent", "Bytes sent to the event feed", self.bytes_sent.clone());
        let help = "Bytes that came from the event feed";
        registry.register("feed_bytes_received", help, self.bytes_received.clone());
        registry.register("feed_answers", "Polls of the event feed that were answered", self.answers.clone());
        let help = "Calls of the event feed that failed";
        registry.register("feed_failed_calls", help, self.failed_calls.clone());
        registry.register("feed_events", "Events of the feed brought into force", self.events.clone());
        self.staleness.register(registry);
    }
}

impl StalenessCounters {
    fn register(&self, registry: &mut Registry) {
        registry.register("feed_doubts", "Times that the freshness lease ended", self.times.clone());
        registry.register("feed_doubt_seconds", "Time in doubt", self.seconds.clone());
        registry.register("feed_doubt_held", "Attempts held back at their first byte", self.unsent.clone());
        let help = "Requests refused as no revalidation could be paid for";
        registry.register("feed_doubt_refused", help, self.refused.clone());
    }
}
