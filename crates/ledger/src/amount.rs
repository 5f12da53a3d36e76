//! Amounts of a budget, with saturating addition.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Rem, Sub, SubAssign};

const THOUSANDTHS_PER_CALL: u64 = 1_000;

/// An amount of a budget, in thousandths of one call, so that small shares are not rounded down to zero.
///
/// Addition saturates, because requested amounts come from other processes. A subtraction with a negative result is a
/// programming error: use [`Amount::saturating_sub`] where it can occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Amount(u64);

/// The cost of one call.
pub const ONE_CALL: Amount = Amount(THOUSANDTHS_PER_CALL);

impl Amount {
    /// The zero amount.
    pub const ZERO: Amount = Amount(0);

    /// The cost of a number of calls.
    pub const fn calls(calls: u64) -> Amount {
        Amount(calls * THOUSANDTHS_PER_CALL)
    }

    /// Creates an amount from thousandths of a call.
    pub const fn from_thousandths(thousandths: u64) -> Amount {
        Amount(thousandths)
    }

    /// The amount in thousandths of a call.
    pub const fn thousandths(self) -> u64 {
        self.0
    }

    /// The difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Amount) -> Amount {
        Amount(self.0.saturating_sub(other.0))
    }

    /// The amount rounded down to whole calls.
    #[must_use]
    pub fn whole_calls(self) -> Amount {
        self - self % ONE_CALL
    }

    /// `self * numerator / denominator`, rounded down. A denominator of zero is treated as one.
    pub(crate) fn scaled(self, numerator: u128, denominator: u128) -> Amount {
        Amount((u128::from(self.0) * numerator / denominator.max(1)) as u64)
    }
}

impl fmt::Display for Amount {
    /// Writes the amount in thousandths of a call, without a unit.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl Add for Amount {
    type Output = Amount;

    fn add(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        *self = *self + other;
    }
}

impl Sum for Amount {
    fn sum<I: Iterator<Item = Amount>>(amounts: I) -> Amount {
        amounts.fold(Amount::ZERO, Add::add)
    }
}

impl Sub for Amount {
    type Output = Amount;

    fn sub(self, other: Amount) -> Amount {
        Amount(self.0 - other.0)
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Amount) {
        *self = *self - other;
    }
}

impl Mul<u64> for Amount {
    type Output = Amount;

    fn mul(self, factor: u64) -> Amount {
        Amount(self.0 * factor)
    }
}

impl Div<u64> for Amount {
    type Output = Amount;

    fn div(self, divisor: u64) -> Amount {
        Amount(self.0 / divisor)
    }
}

impl Rem for Amount {
    type Output = Amount;

    fn rem(self, divisor: Amount) -> Amount {
        Amount(self.0 % divisor.0)
    }
}
