//! Creates the reports of a relay to its peers, and its status for operators.

use super::Relay;
use super::report::{Completion, Report, Status, SubscriberReport};
use crate::{MILLISECOND, Micros, Offset};
use std::cmp::Reverse;

/// The maximum number of lagging subscribers in a status.
const MAX_LAGGING_REPORTED: usize = 16;

impl Relay {
    /// Creates the report to the peer relays.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            relay: self.settings.name.clone(),
            feed: self.feed.clone(),
            offset: self.log.last_offset(),
            age_ms: self.age_ms(now),
            complete: self.is_ready && self.watermark.knows_all_subscribers(now),
            subscribers: self.watermark.own_subscribers(now),
        }
    }

    /// Returns the status for operators.
    pub fn status(&self, now: Micros) -> Status {
        let subscribers: Vec<SubscriberReport> = self.watermark.subscribers(now).collect();
        let count = subscribers.len();
        let last = self.log.last_offset();
        let mut lagging: Vec<_> =
            subscribers.into_iter().filter(|subscriber| subscriber.offset < last).collect();
        lagging.sort_by_key(|subscriber| (subscriber.offset, Reverse(subscriber.silent_ms)));
        lagging.truncate(MAX_LAGGING_REPORTED);
        Status {
            relay: self.settings.name.clone(),
            feed: self.feed.clone(),
            offset: last,
            age_ms: self.age_ms(now),
            watermark: self.watermark.watermark(now),
            complete: self.watermark.knows_all_subscribers(now),
            sessions: self.admission.len(),
            pending_polls: self.pending.len(),
            snapshots: self.snapshots_sent,
            log_base: self.log.base_offset(),
            log_events: self.log.len(),
            stores: self.topology.len(),
            purges: self.purges.count(),
            purge_floors: self.purges.floors().len(),
            subscribers: count,
            peers: self.watermark.peer_statuses(now),
            lagging,
        }
    }

    /// Whether and why all events up to `offset` are complete.
    pub fn completion(&self, now: Micros, offset: Offset) -> Option<Completion> {
        self.watermark.completion(now, offset)
    }

    /// The time since this relay's last proof of freshness, in milliseconds, rounded up.
    pub(super) fn age_ms(&self, now: Micros) -> Option<u64> {
        self.as_of.map(|as_of| now.saturating_sub(as_of).div_ceil(MILLISECOND))
    }
}
