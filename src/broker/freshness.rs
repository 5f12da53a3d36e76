//! The freshness lease of the broker: renewals, reports, and the check of attempts picked before it expired.

use super::{Broker, Waiter};
use crate::interface::{Event, Micros};
use sagearch_feed::lease::Lease;

/// The state of the freshness lease, and how many attempts and requests its expiry has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessReport {
    /// Whether the lease has expired, so that purges may have been missed.
    pub is_stale: bool,
    /// The time up to which all events have been applied.
    pub as_of: Option<Micros>,
    /// Number of attempts not sent because the lease expired after they were picked.
    pub unsent: u64,
    /// Number of requests refused because the revalidation budget was exhausted.
    pub refused: u64,
}

impl<W: Waiter> Broker<W> {
    /// Replaces the freshness lease. From the first call on, copies are revalidated while the lease is expired, at most
    /// `revalidations_per_second`.
    pub fn renew_freshness(&mut self, now: Micros, lease: Lease, revalidations_per_second: u32) {
        self.router.handle(now, Event::Freshness { lease, revalidations_per_second }, &mut Vec::new());
    }

    /// A report on the freshness lease; `None`: none was ever set.
    pub fn freshness(&self, now: Micros) -> Option<FreshnessReport> {
        let freshness = &self.router.freshness;
        let lease = freshness.lease()?;
        Some(FreshnessReport {
            is_stale: lease.is_expired(now),
            as_of: lease.as_of(),
            unsent: self.unsent_after_expiry.get(),
            refused: freshness.refused(),
        })
    }

    /// Whether the lease expired after an attempt was picked, so that the attempt's age limit does not allow for purges
    /// missed since. Counts the attempt if so.
    pub(super) fn lease_expired_since(&self, now: Micros, picked: Micros) -> bool {
        let Some(lease) = self.router.freshness.lease().filter(|lease| lease.is_expired(now)) else {
            return false;
        };
        let expired_since = lease.expires_at().is_some_and(|until| picked < until);
        self.unsent_after_expiry.set(self.unsent_after_expiry.get() + u64::from(expired_since));
        expired_since
    }
}
