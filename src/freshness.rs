//! Freshness lease, and the budget of revalidations while the lease is expired. Neither applies before the first lease.

use crate::interface::{Micros, seconds};
use sagearch_feed::lease::Lease;

/// Capacity of the budget, as the time in which it refills at its rate.
const BUDGET_CAPACITY_SECONDS: f64 = 1.0;
/// Cost of one revalidation.
const REVALIDATION_COST_TOKENS: f64 = 1.0;

/// The freshness lease, and a token bucket for revalidations.
#[derive(Debug, Default)]
pub struct Freshness {
    lease: Option<Lease>,
    /// Refill rate of the budget.
    revalidations_per_second: f64,
    /// Tokens in the budget as of `refilled_at`.
    tokens: f64,
    /// When the budget was last refilled.
    refilled_at: Micros,
    /// Number of revalidations rejected because the budget was exhausted.
    refused: u64,
}

impl Freshness {
    /// Updates the lease and the number of revalidations per second that are allowed while the lease is expired.
    pub fn renew(&mut self, now: Micros, lease: Lease, revalidations_per_second: u32) {
        if self.lease.replace(lease).is_none() {
            self.tokens = f64::from(revalidations_per_second);
            self.refilled_at = now;
        }
        self.revalidations_per_second = f64::from(revalidations_per_second);
    }

    /// Returns the lease, or `None` before the first renewal.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Returns the time before which copies may have been purged without notice. Returns `None` while the lease is
    /// valid and before the first lease.
    pub fn purge_floor(&self, now: Micros) -> Option<Micros> {
        self.lease.as_ref()?.purge_floor(now)
    }

    /// Charges a revalidation to the budget. Returns `false` if the budget is exhausted.
    pub fn spend(&mut self, now: Micros) -> bool {
        let earned = self.revalidations_per_second * seconds(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + earned).min(self.capacity());
        self.refilled_at = now;
        if self.tokens < REVALIDATION_COST_TOKENS {
            self.refused += 1;
            return false;
        }
        self.tokens -= REVALIDATION_COST_TOKENS;
        true
    }

    /// Refunds the charge of a revalidation that did not reach the origin.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + REVALIDATION_COST_TOKENS).min(self.capacity());
    }

    /// Returns the number of revalidations rejected because the budget was exhausted.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the maximum number of tokens in the budget.
    fn capacity(&self) -> f64 {
        self.revalidations_per_second * BUDGET_CAPACITY_SECONDS
    }
}

#[cfg(test)]
mod tests;
