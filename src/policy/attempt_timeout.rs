//! Timeouts of attempts.

use super::{DEADLINE_MARGIN_TICKS, Router};
use crate::interface::{Micros, seconds};
use crate::state::RequestState;

/// Multiple of the expected duration of an attempt after which it times out, plus `TIMEOUT_MARGIN`.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to the timeout of every attempt.
const TIMEOUT_MARGIN: Micros = 250_000;

impl Router {
    /// Returns the time beyond its sending time after which an answer is late, in seconds.
    pub(super) fn slack(&self, state: &RequestState) -> f64 {
        let class = &self.settings.classes[state.class];
        (seconds(class.latency_objective) + (class.objective_stretch - 1.0) * state.send_seconds).max(0.05)
    }

    /// Returns the timeout of the next attempt: long enough for a slow answer, and short enough to leave time
    /// for a retry where the deadline allows one.
    pub(super) fn attempt_timeout(&self, state: &RequestState) -> Micros {
        let remaining = (state.deadline - self.now)
            .saturating_sub(self.settings.tick * (DEADLINE_MARGIN_TICKS + 1))
            .max(1);
        // A lookup involves no transfer and no fill, so an unresponsive member must leave time to try the
        // next one.
        let expected_seconds =
            if state.request.is_lookup { 0.0 } else { state.send_seconds + self.learned.fill_delay };
        let timeout = (expected_seconds * TIMEOUT_FACTOR * 1e6) as Micros + TIMEOUT_MARGIN;
        let retry_duration = (expected_seconds * 1e6) as Micros;
        if timeout + retry_duration < remaining { timeout } else { remaining }
    }
}
