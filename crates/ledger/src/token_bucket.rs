//! Token bucket in integer arithmetic that always rounds down.

use crate::{Amount, MICROS_PER_SECOND, Micros};

/// A token bucket. It starts empty, so that a restart never creates tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TokenBucket {
    capacity: Amount,
    /// In the unit of [`amount_micros`].
    level: u128,
    refilled_until: Micros,
}

impl TokenBucket {
    /// Creates an empty bucket that holds at most `capacity`.
    pub fn new(capacity: Amount, now: Micros) -> TokenBucket {
        TokenBucket { capacity, level: 0, refilled_until: now }
    }

    /// Refills the bucket at `rate`, an amount per second, up to `now`. A time before the last refill adds nothing.
    pub fn refill(&mut self, now: Micros, rate: Amount) {
        self.add(amount_micros(rate, now.saturating_sub(self.refilled_until)));
        self.refilled_until = self.refilled_until.max(now);
    }

    /// Adds an amount in the unit of [`amount_micros`]. The excess over the capacity is discarded.
    pub(crate) fn add(&mut self, added: u128) {
        self.level = (self.level + added).min(amount_micros(self.capacity, MICROS_PER_SECOND));
    }

    /// The time up to which the bucket has been refilled.
    pub fn refilled_until(&self) -> Micros {
        self.refilled_until
    }

    /// The available amount, rounded down.
    pub fn level(&self) -> Amount {
        Amount::from_thousandths((self.level / u128::from(MICROS_PER_SECOND)) as u64)
    }

    /// Takes the full amount and returns true, or takes nothing and returns false if less is available.
    pub fn take(&mut self, amount: Amount) -> bool {
        let required = amount_micros(amount, MICROS_PER_SECOND);
        let sufficient = required <= self.level;
        if sufficient {
            self.level -= required;
        }
        sufficient
    }
}

/// The yield of a rate (an amount per second) over a duration, in millionths of a thousandth of a call and therefore
/// without rounding.
pub(crate) fn amount_micros(rate: Amount, duration: Micros) -> u128 {
    u128::from(rate.thousandths()) * u128::from(duration)
}
