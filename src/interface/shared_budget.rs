//! The retry budget that gateways share.

use super::Micros;

/// The payment for one attempt from a shared retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPayment {
    /// The budget slice that the payment was taken from.
    pub slice: sagearch_homes::Slice,
    /// The claim under which the payment was granted; fencing the claim voids the payment. `None`: it came from this
    /// gateway's reserve, or from a grant by the quorum of the region.
    pub claim: Option<sagearch_homes::Claim>,
}

/// A retry budget shared among gateways, as seen by one of them.
pub trait RetryBudget: Send {
    /// Announces that an attempt will need a payment at the time `at`.
    fn expect(&mut self, now: Micros, at: Micros);
    /// Runs periodic work, such as requests for more quota. Called at each tick of the broker.
    fn tick(&mut self, now: Micros);
    /// Pays for one attempt; `None`: the budget is exhausted.
    fn spend(&mut self, now: Micros) -> Option<RetryPayment>;
    /// Whether a payment is still valid, which it is unless its claim has been fenced.
    fn is_valid(&self, payment: &RetryPayment) -> bool;
}

/// The optional shared budget for retries at the origin. Without a budget, [`pay`](Self::pay) allows every retry.
#[derive(Default)]
pub struct SharedRetryBudget {
    budget: Option<Box<dyn RetryBudget>>,
    /// The payment for the next attempt, until it is picked.
    payment: Option<RetryPayment>,
}

impl SharedRetryBudget {
    /// Sets the shared budget.
    pub fn set(&mut self, budget: Box<dyn RetryBudget>) {
        self.budget = Some(budget);
    }

    /// Whether a shared budget is set. It replaces the gateway's own retry budget.
    pub fn is_set(&self) -> bool {
        self.budget.is_some()
    }

    /// Announces that an attempt will need a payment at the time `at`, after a backoff.
    pub fn expect(&mut self, now: Micros, at: Micros) {
        if let Some(budget) = &mut self.budget {
            budget.expect(now, at);
        }
    }

    /// Runs the periodic work of the shared budget.
    pub fn tick(&mut self, now: Micros) {
        if let Some(budget) = &mut self.budget {
            budget.tick(now);
        }
    }

    /// Pays for the next attempt; `false`: the budget is exhausted.
    pub fn pay(&mut self, now: Micros) -> bool {
        let Some(budget) = &mut self.budget else { return true };
        self.payment = budget.spend(now);
        self.payment.is_some()
    }

    /// Takes the payment for the attempt that was just picked, if one was needed.
    pub fn take_payment(&mut self) -> Option<RetryPayment> {
        self.payment.take()
    }

    /// Whether a payment is still valid; true without a shared budget.
    pub fn is_valid(&self, payment: &RetryPayment) -> bool {
        self.budget.as_ref().is_none_or(|budget| budget.is_valid(payment))
    }
}
