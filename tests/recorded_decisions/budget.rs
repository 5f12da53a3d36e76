//! A stub of the retry budget that gateways share, without other gateways.

use super::common::MS;
use sagearch::interface::{Micros, RetryBudget, RetryPayment};

const MAX_RETRIES: u64 = 5;
const REFILL_INTERVAL: Micros = 100 * MS;

/// A budget of up to [`MAX_RETRIES`], to which one is added every [`REFILL_INTERVAL`].
pub struct StubRetryBudget {
    remaining_retries: u64,
    last_refill: Micros,
}

impl StubRetryBudget {
    pub fn full(now: Micros) -> StubRetryBudget {
        StubRetryBudget { remaining_retries: MAX_RETRIES, last_refill: now }
    }
}

impl RetryBudget for StubRetryBudget {
    fn expect(&mut self, _now: Micros, _due: Micros) {}

    fn tick(&mut self, now: Micros) {
        let refills = now.saturating_sub(self.last_refill) / (REFILL_INTERVAL);
        self.remaining_retries = (self.remaining_retries + refills).min(MAX_RETRIES);
        self.last_refill += refills * REFILL_INTERVAL;
    }

    fn spend(&mut self, _now: Micros) -> Option<RetryPayment> {
        self.remaining_retries = self.remaining_retries.checked_sub(1)?;
        Some(RetryPayment { slice: sagearch_homes::Slice(0), claim: None })
    }

    fn is_valid(&self, _payment: &RetryPayment) -> bool {
        true
    }
}
