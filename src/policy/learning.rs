//! Updates of the learned state from the outcome of an attempt.

use super::Router;
use crate::interface::{Detail, Micros, Outcome, RequestId, Role, decay};
use crate::state::Attempt;

/// Weight of one observation in an exponential moving average.
pub(super) const LEARNING_RATE: f64 = 0.1;
/// Time after which one observation moves an average at least halfway, however rare observations are.
const LEARNING_HALF_LIFE: Micros = 700_000;
/// Time that a hit takes in addition to its sending time.
pub(super) const HIT_OVERHEAD_SECONDS: f64 = 0.03;

impl Router {
    /// Returns the weight of a new observation, given the time of the last one. Rare observations weigh more;
    /// otherwise a fault would end before the average shows it.
    pub(super) fn learning_rate(&self, min_rate: f64, last_observation: Micros) -> f64 {
        min_rate.max(1.0 - decay(self.now - last_observation, LEARNING_HALF_LIFE))
    }

    /// Updates the learned state from an attempt that has ended.
    pub(super) fn learn_from_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        if let Some(source) = attempt.source {
            let source_at_fault = attempt.detail.source_failed() || attempt.detail == Detail::SourceLacks;
            if source_at_fault || attempt.outcome == Some(Outcome::Rejected) {
                state.failed_sources.push(source);
            }
            // A hit or a joined fill did not use the source, so its slow-start budget is refunded.
            let source_unused = attempt.detail.hit() || attempt.detail == Detail::Joined;
            if attempt.slow_start_charge > 0 && source_unused {
                self.refund_slow_start(source, attempt);
            }
        }
        // A hit, or an attempt that never ran, did not reach the origin.
        let origin_unused = attempt.detail.hit() || !attempt.may_have_run();
        if attempt.revalidates && origin_unused {
            self.freshness.refund();
        }
        // The duration of a lookup is no measurement of a fill.
        if !self.requests[&id].request.is_lookup {
            self.learn_fill_waits(id, attempt);
        }
        if attempt.outcome == Some(Outcome::Served) {
            self.learn_pace(id, attempt);
        }
        self.learn_health(id, attempt);
    }

    /// Updates the pace of answers, which shows congested links, and the miss rate from a served request.
    fn learn_pace(&mut self, id: RequestId, attempt: &Attempt) {
        let (send_seconds, rank, hit) =
            (self.requests[&id].send_seconds, self.requests[&id].cache_rank, attempt.detail.hit());
        let ideal = send_seconds + HIT_OVERHEAD_SECONDS;
        self.learned.served_pace.learn(attempt.duration, ideal, LEARNING_RATE / 2.0);
        let miss_rate = &mut self.learned.miss_rates[usize::from(rank)];
        *miss_rate += (f64::from(u8::from(!hit)) - *miss_rate) * LEARNING_RATE / 4.0;
        if hit && self.role(attempt.member) == Role::Cache {
            self.learned.hit_pace.learn(attempt.duration, ideal, LEARNING_RATE / 2.0);
        }
    }
}
