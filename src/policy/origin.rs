//! Requests that run only at the origin, and their retry budget.

use super::{Actions, Router};
use crate::hash::{self, mix};
use crate::interface::{Action, Fill, Micros, Outcome, RequestId, Role, TimerId};

/// Base of the exponential backoff before retries at the origin.
const ORIGIN_BACKOFF: Micros = 60_000;
/// Retries that each request to the origin adds to the budget.
const ORIGIN_RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries that all gateways together can accumulate.
const MAX_ORIGIN_RETRY_BUDGET: f64 = 10.0;

impl Router {
    /// Sends a request of an uncacheable class to the origin, directly or through a cache.
    pub(super) fn send_to_origin(&mut self, id: RequestId, actions: Actions) {
        let origins = self.rendezvous_order(Role::Origin, self.requests[&id].routing_key);
        let target = if self.settings.direct_requests {
            origins.iter().copied().find(|origin| self.in_idempotency_group(&self.requests[&id], *origin))
        } else {
            self.pick_cache(id)
        };
        let state = &self.requests[&id];
        let (Some(first_origin), Some(target)) = (origins.first().copied(), target) else {
            return self.reject(id, actions);
        };
        // The origin has no replica: retries use exponential backoff and are limited to a share of the
        // requests. More retries would keep an origin overloaded that rejects requests above a rate. The
        // budget is this gateway's share of the budget of all gateways, and starts at a random level. One
        // attempt that was never sent is free.
        let had_unsent_attempt =
            state.attempts.iter().any(|attempt| attempt.outcome == Some(Outcome::NotSent));
        let retries = state.attempts.len() as u32 - u32::from(had_unsent_attempt);
        if retries > 0 && !self.shared_retry_budget.is_set() && self.origin_retry_budget < 1.0 {
            return self.reject(id, actions);
        }
        let last = state.attempts.last().filter(|last| last.outcome != Some(Outcome::TimedOut));
        if let Some(last) = last.filter(|_| retries > 0) {
            let (sent_at, deadline) = (last.sent_at, state.deadline);
            // Derived from the request id, so that the value is the same when the backoff ends.
            let jitter = 0.5 + hash::unit_interval(mix(id.0 ^ u64::from(retries)));
            let retry_at = sent_at + ((ORIGIN_BACKOFF << retries.min(6)) as f64 * jitter) as Micros;
            if self.now < retry_at && retry_at < deadline {
                self.requests.get_mut(&id).expect("the request is open").retry_at = Some(retry_at);
                self.shared_retry_budget.expect(self.now, retry_at);
                return actions.push(Action::SetTimer { timer: TimerId(id.0), after: retry_at - self.now });
            }
        }
        if retries > 0 && !self.shared_retry_budget.pay(self.now) {
            return self.reject(id, actions);
        }
        let max_budget = 1.0 + MAX_ORIGIN_RETRY_BUDGET / self.gateway_count(Role::Origin);
        let earned = if retries == 0 { ORIGIN_RETRIES_PER_REQUEST } else { -1.0 };
        self.origin_retry_budget = (self.origin_retry_budget + earned).min(max_budget);
        let fill = Fill { source: Some(first_origin), ..Fill::default() };
        self.send_attempt(id, target, (!self.settings.direct_requests).then_some(fill), actions);
    }
}
