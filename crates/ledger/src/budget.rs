//! Budget settings and the quota parameters derived from them.

use crate::{Amount, MICROS_PER_SECOND, Micros};

/// One, expressed in thousandths.
const PER_MILLE: u64 = 1_000;
/// The largest overdraft for which the bound holds: once the budget.
const MAX_OVERDRAFT_PER_MILLE: u64 = PER_MILLE;
/// The smallest permitted ratio of the overdraft to the clock drift.
const MIN_OVERDRAFT_TO_DRIFT_RATIO: u64 = 8;
/// Divides the overdraft amount to give the capacity of a token bucket; see the proof in the crate documentation.
const CAPACITY_DIVISOR: u64 = 4;
/// Divides the overdraft share of the window to give the grant lifetime; see the proof in the crate documentation.
const LIFETIME_DIVISOR: u64 = 5;

/// Budget settings, as configured by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The amount that all gateways together may spend in a window.
    pub amount: Amount,
    /// The length of the window.
    pub window: Micros,
    /// The excess over the amount that a window may have, in thousandths of the amount.
    pub overdraft: u64,
    /// The share set aside for the local reserves of all gateways together, in thousandths of the amount.
    pub reserve: u64,
}

/// Reason why a budget can't be enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetError {
    /// The overdraft exceeds the budget.
    #[error("expected an overdraft of at most the budget, got {overdraft} thousandths of it")]
    OverdraftTooLarge {
        /// The configured overdraft, in thousandths.
        overdraft: u64,
    },
    /// The overdraft is too small for the clock drift.
    #[error(
        "expected an overdraft of at least {minimum} thousandths for a clock drift of {drift} thousandths"
    )]
    OverdraftBelowDrift {
        /// The configured clock drift, in thousandths.
        drift: u64,
        /// The smallest overdraft permitted with this drift, in thousandths.
        minimum: u64,
    },
}

/// Parameters of a quota allocator and its clients, derived from a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QuotaParameters {
    /// The refill rate of the allocator's token bucket, per second.
    pub rate: Amount,
    /// The capacity of the allocator's token bucket.
    pub capacity: Amount,
    /// The time during which a grant can be spent, measured from its request.
    pub grant_lifetime: Micros,
    /// The refill rate of each gateway's local reserve, per second.
    pub reserve_rate: Amount,
    /// The capacity of each gateway's local reserve.
    pub reserve_capacity: Amount,
}

impl Budget {
    /// Derives the parameters for a number of gateways whose clocks drift by at most `drift` thousandths.
    ///
    /// # Errors
    ///
    /// Returns a [`BudgetError`] if the bound on spending would not hold.
    pub fn parameters(&self, gateways: u64, drift: u64) -> Result<QuotaParameters, BudgetError> {
        let Budget { amount, window, overdraft, reserve } = *self;
        if overdraft > MAX_OVERDRAFT_PER_MILLE {
            return Err(BudgetError::OverdraftTooLarge { overdraft });
        }
        let minimum = drift * MIN_OVERDRAFT_TO_DRIFT_RATIO;
        if minimum > overdraft {
            return Err(BudgetError::OverdraftBelowDrift { drift, minimum });
        }
        let gateways = gateways.max(1);
        let reserved = amount * reserve.min(PER_MILLE) / PER_MILLE;
        let capacity = amount * overdraft / (PER_MILLE * CAPACITY_DIVISOR);
        Ok(QuotaParameters {
            rate: per_second(amount - reserved, window),
            capacity,
            grant_lifetime: window * overdraft / (PER_MILLE * LIFETIME_DIVISOR),
            reserve_rate: per_second(reserved, window) / gateways,
            reserve_capacity: capacity / gateways,
        })
    }
}

fn per_second(amount: Amount, window: Micros) -> Amount {
    amount.scaled(u128::from(MICROS_PER_SECOND), u128::from(window))
}

#[cfg(test)]
mod tests;
