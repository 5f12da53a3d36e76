//! Hedged requests: a second attempt while the first is in flight.

use super::admission::SHEDDING_START_PRESSURE;
use super::learning::HIT_OVERHEAD_SECONDS;
use super::{Actions, Router};
use crate::interface::{Idempotency, Micros, RequestId};
use crate::state::RequestState;

/// Share of lost answers from which hedged requests are sent.
const MIN_LOST_ANSWER_SHARE: f64 = 0.02;

impl Router {
    /// Sends a second attempt at the latest time at which its answer can still meet the latency objective.
    /// The attempt names no source: a lost answer has left its copy at the cache, and a fill in progress is
    /// not requested twice. Covers lost answers and members that stall or stop responding.
    pub(super) fn send_hedged_request(&mut self, id: RequestId, actions: Actions) {
        let state = &self.requests[&id];
        let in_flight = state.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        if in_flight != 1
            || self.learned.lost_answers < MIN_LOST_ANSWER_SHARE
            || self.retry_budget < 1.0
            || !self.may_retry(state)
        {
            return;
        }
        let Some(cache) = self.pick_cache(id) else { return };
        if self.pressure(self.load(cache)) <= SHEDDING_START_PRESSURE {
            self.retry_budget -= 1.0;
            self.send_with_fill(id, cache, None, false, actions);
        }
    }

    /// Returns the latest time at which a hedged request can still be answered within the latency objective;
    /// `None` if no hedged request is allowed.
    pub(super) fn hedging_time(&self, state: &RequestState) -> Option<Micros> {
        let class = &self.settings.classes[state.class];
        let is_idempotent = class.idempotency == Idempotency::Idempotent && !class.uncacheable;
        let stretch = self.learned.hit_pace.stretch();
        let slack_seconds = self.slack(state) + (1.0 - stretch) * state.send_seconds - HIT_OVERHEAD_SECONDS;
        let allowed =
            self.settings.hedging && is_idempotent && state.attempts.is_empty() && slack_seconds > 0.0;
        allowed.then_some(self.now + (slack_seconds * 1e6) as Micros)
    }
}
