//! What is learned from the outcome of an attempt, and how fast.

use super::Router;
use crate::interface::{Detail, Micros, Outcome, RequestId, Role, decay};
use crate::state::Attempt;

/// Weight of one observation in an exponential moving average.
pub(super) const LEARNING_RATE: f64 = 0.1;
/// An average moves half of the way in this time, however few observations there are.
const LEARNING_HALF_LIFE: Micros = 700_000;
/// Seconds that a hit takes besides its sending.
pub(super) const HIT_OVERHEAD: f64 = 0.03;

impl Router {
    /// The weight of an observation after the last one. Rare observations weigh more: else a fault would be
    /// over before the average shows it.
    pub(super) fn learning_rate(&self, least: f64, last_observation: Micros) -> f64 {
        least.max(1.0 - decay(self.now - last_observation, LEARNING_HALF_LIFE))
    }

    /// Learns from an attempt that has ended.
    pub(super) fn learn_from_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        if let Some(source) = attempt.source {
            let of_source = attempt.detail.source_failed() || attempt.detail == Detail::SourceLacks;
            if of_source || attempt.outcome == Some(Outcome::Rejected) {
                state.failed_sources.push(source);
            }
            // Hits and joined fills never reached the source: its slow-start budget gets the charge back.
            let unused = attempt.detail.hit() || attempt.detail == Detail::Joined;
            if attempt.slow_start_charge > 0 && unused {
                self.refund_slow_start(source, attempt);
            }
        }
        // A hit, or an attempt that never ran, has cost the origin nothing.
        let free_of_cost = attempt.detail.hit() || !attempt.may_have_run();
        if attempt.revalidates && free_of_cost {
            self.freshness.refund();
        }
        // The duration of a health check says nothing of fills.
        if !self.requests[&id].request.is_lookup {
            self.learn_fill_waits(id, attempt);
        }
        if attempt.outcome == Some(Outcome::Served) {
            self.learn_pace(id, attempt);
        }
        self.learn_health(id, attempt);
    }

    /// Learns from a served request how full the links are, and how likely a miss is.
    fn learn_pace(&mut self, id: RequestId, attempt: &Attempt) {
        let (send_seconds, rank, hit) =
            (self.requests[&id].send_seconds, self.requests[&id].cache_rank, attempt.detail.hit());
        let ideal = send_seconds + HIT_OVERHEAD;
        self.learned.served_pace.learn(attempt.duration, ideal, LEARNING_RATE / 2.0);
        let miss_rate = &mut self.learned.miss_rates[usize::from(rank)];
        *miss_rate += (f64::from(u8::from(!hit)) - *miss_rate) * LEARNING_RATE / 4.0;
        if hit && self.role(attempt.member) == Role::Cache {
            self.learned.hit_pace.learn(attempt.duration, ideal, LEARNING_RATE / 2.0);
        }
    }
}
