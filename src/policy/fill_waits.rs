//! Waiting times of fills, overall and at each source.

use super::Router;
use super::learning::LEARNING_RATE;
use super::load::REPORT_HALF_LIFE;
use crate::interface::{Detail, MemberId, Outcome, RequestId, decay, seconds};
use crate::state::{Attempt, FillWait};

/// Minimum number of fills in flight from which their waits so far are evaluated.
const MIN_PENDING_FILLS: f64 = 3.0;
/// Ratio of wait to slack that is recorded for a failed fill; it is the maximum for all fills.
const FAILED_FILL_WAIT_RATIO: f64 = 3.0;

impl Router {
    /// Returns the recent average wait of fills from this source, in seconds. It decays while no fills are
    /// observed.
    pub(super) fn fill_wait(&self, id: MemberId) -> f64 {
        let FillWait { measured_at, seconds } = self.members[&id].fill_wait;
        seconds * decay(self.now - measured_at, REPORT_HALF_LIFE * 2)
    }

    /// Returns for how many seconds the most overdue answer from this source has been late. Timeouts alone
    /// would reveal a slow source too late.
    pub(super) fn longest_overdue(&self, source: MemberId) -> f64 {
        let last_attempts =
            self.requests.values().filter_map(|state| Some((state.attempts.last()?, state.send_seconds)));
        let in_flight =
            last_attempts.filter(|(attempt, _)| attempt.outcome.is_none() && attempt.source == Some(source));
        in_flight
            .map(|(attempt, send_seconds)| seconds(self.now - attempt.sent_at) - send_seconds)
            .fold(0.0, f64::max)
    }

    /// Whether the member has sent no good answer since the attempt was sent. It may then be unresponsive
    /// itself, so the wait cannot be attributed to the fill.
    fn silent_since(&self, attempt: &Attempt) -> bool {
        self.members.get(&attempt.member).is_none_or(|record| record.last_success <= Some(attempt.sent_at))
    }

    /// Returns the mean wait so far of the fills in flight, as a ratio to the slack of their requests. It
    /// shows a congested link before the first of these fills ends. Returns 0 below `MIN_PENDING_FILLS`,
    /// since one or two fills are no evidence.
    pub(super) fn current_fill_wait(&self) -> f64 {
        let last_attempts = self.requests.values().filter_map(|state| Some((state, state.attempts.last()?)));
        let fills = last_attempts.filter(|(_, attempt)| {
            attempt.outcome.is_none() && attempt.source.is_some() && !attempt.from_sibling
        });
        let fills = fills.filter(|(_, attempt)| !self.silent_since(attempt));
        let (mut weighted_sum, mut expected_fills) = (0.0, 0.0);
        for (state, attempt) in fills {
            let waited = seconds(self.now - attempt.sent_at) - state.send_seconds;
            weighted_sum +=
                attempt.miss_probability * (waited / self.slack(state)).clamp(0.0, FAILED_FILL_WAIT_RATIO);
            expected_fills += attempt.miss_probability;
        }
        if expected_fills < MIN_PENDING_FILLS { 0.0 } else { weighted_sum / expected_fills }
    }

    /// Updates the share of lost answers. An answer counts as lost if the attempt timed out, or if an earlier
    /// attempt is still in flight when this one is served without a fill.
    fn learn_lost_answers(&mut self, id: RequestId, attempt: &Attempt) {
        let timed_out = attempt.outcome == Some(Outcome::TimedOut);
        if !timed_out && attempt.outcome != Some(Outcome::Served) {
            return;
        }
        let is_earlier_in_flight =
            |other: &Attempt| other.outcome.is_none() && other.sent_at < attempt.sent_at;
        let overtook = self.requests[&id].attempts.iter().any(is_earlier_in_flight);
        let lost = timed_out || (overtook && !attempt.brought_by_fill());
        let observation = f64::from(u8::from(lost));
        self.learned.lost_answers += (observation - self.learned.lost_answers) * LEARNING_RATE / 2.0;
    }

    /// Updates the waits of fills, overall and of the source, and the share of lost answers. A timeout is
    /// weighted by the probability of a miss, since the answer of a hit may have been lost instead.
    pub(super) fn learn_fill_waits(&mut self, id: RequestId, attempt: &Attempt) {
        let filled = attempt.brought_by_fill();
        let timed_out = attempt.outcome == Some(Outcome::TimedOut);
        self.learn_lost_answers(id, attempt);
        let state = &self.requests[&id];
        // A fill from a sibling cache uses neither the parents nor the ingress link.
        if attempt.from_sibling {
            return;
        }
        let failed = attempt.source.is_some() && (timed_out || attempt.outcome == Some(Outcome::Rejected));
        if !filled && !failed {
            return;
        }
        let weight = if timed_out { attempt.miss_probability * attempt.miss_probability } else { 1.0 };
        let waited = attempt.duration - state.send_seconds;
        let ratio = if failed {
            FAILED_FILL_WAIT_RATIO
        } else {
            (waited / self.slack(state)).clamp(0.0, FAILED_FILL_WAIT_RATIO)
        };
        self.learned.reports_origin_fills |= attempt.detail == Detail::FilledByOrigin;
        let was_cached =
            attempt.lookup_only || (self.learned.reports_origin_fills && attempt.detail == Detail::Filled);
        let affected_ratios =
            if timed_out && self.silent_since(attempt) { 0 } else { 1 + usize::from(was_cached) };
        for ratio_index in 0..affected_ratios {
            let rate =
                self.learning_rate(LEARNING_RATE / 2.0, self.fill_wait_updated_at[ratio_index]) * weight;
            self.learned.fill_wait_ratios[ratio_index] +=
                (ratio - self.learned.fill_wait_ratios[ratio_index]) * rate;
            self.fill_wait_updated_at[ratio_index] = self.now;
        }
        let Some(source) = attempt.source.filter(|_| attempt.outcome != Some(Outcome::Rejected)) else {
            return;
        };
        // A fill that timed out took at least this long. Learning from completed fills alone would make the
        // timeouts too short.
        self.learned.fill_delay +=
            (waited.clamp(0.0, 3.0) - self.learned.fill_delay) * LEARNING_RATE * weight;
        let (now, previous_wait) = (self.now, self.fill_wait(source));
        let measured_at = self.members.get(&source).map_or(0, |record| record.fill_wait.measured_at);
        let rate = self.learning_rate(LEARNING_RATE * 2.0, measured_at) * weight;
        if let Some(record) = self.members.get_mut(&source) {
            record.fill_wait =
                FillWait { measured_at: now, seconds: previous_wait + (waited - previous_wait) * rate };
        }
    }
}
