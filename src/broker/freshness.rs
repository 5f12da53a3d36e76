//! The freshness lease at the broker: renewals, reports, and the check of attempts that were picked before it expired.

use super::{Broker, Waiter};
use crate::interface::{Event, Micros};
use sagearch_feed::lease::Lease;

/// How fresh the feed is known to be, and what that has cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessReport {
    /// The lease has expired: purges may have been missed.
    pub is_stale: bool,
    /// All events up to this time have been applied.
    pub as_of: Option<Micros>,
    /// Attempts that were not written because the lease had expired since they were picked.
    pub unsent: u64,
    /// Requests that were refused as no revalidation could be paid for.
    pub refused: u64,
}

impl<W: Waiter> Broker<W> {
    /// Takes in the freshness lease as it stands. From the first call on copies are revalidated whenever it is expired,
    /// with so many revalidations a second.
    pub fn renew_freshness(&mut self, now: Micros, lease: Lease, revalidations: u32) {
        self.router.handle(now, Event::Freshness { lease, revalidations }, &mut Vec::new());
    }

    /// How fresh the feed is known to be; `None`: no lease was given.
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

    /// Whether the lease under which an attempt was picked has expired since: the age limit of the attempt was computed
    /// without that. Counts the attempt if so.
    pub(super) fn lease_expired_since(&self, now: Micros, picked: Micros) -> bool {
        let Some(lease) = self.router.freshness.lease().filter(|lease| lease.is_expired(now)) else {
            return false;
        };
        let expired = lease.expires_at().is_some_and(|until| picked < until);
        self.unsent_after_expiry.set(self.unsent_after_expiry.get() + u64::from(expired));
        expired
    }
}
