//! How long fills wait: overall, and at each source.

use super::Router;
use super::learning::LEARNING_RATE;
use super::load::REPORT_HALF_LIFE;
use crate::interface::{Detail, MemberId, Outcome, RequestId, decay, seconds};
use crate::state::{Attempt, FillWait};

/// Fills that must be in flight for their wait so far to count.
const MIN_PENDING_FILLS: f64 = 3.0;
/// A failed fill counts as this multiple of the slack of its request, and none as more.
const FAILED_FILL_WAIT_RATIO: f64 = 3.0;

impl Router {
    /// Seconds that fills of this source waited lately; fades while none are seen.
    pub(super) fn fill_wait(&self, id: MemberId) -> f64 {
        let FillWait { measured_at, seconds } = self.members[&id].fill_wait;
        seconds * decay(self.now - measured_at, REPORT_HALF_LIFE * 2)
    }

    /// The longest that an answer from this source is overdue now: timeouts alone would show it too late.
    pub(super) fn longest_overdue(&self, source: MemberId) -> f64 {
        let last =
            self.requests.values().filter_map(|state| Some((state.attempts.last()?, state.send_seconds)));
        let out = last.filter(|(it, _)| it.outcome.is_none() && it.source == Some(source));
        out.map(|(it, work)| seconds(self.now - it.sent_at) - work).fold(0.0, f64::max)
    }

    /// Whether the member has answered nobody since: then it may be unresponsive itself, which says nothing
    /// of the fill.
    fn silent_since(&self, attempt: &Attempt) -> bool {
        self.members.get(&attempt.member).is_none_or(|record| record.last_success <= Some(attempt.sent_at))
    }

    /// The mean wait so far of the fills in flight, over the slack of their requests: it shows a congested
    /// link before the first of them has ended. One or two alone show nothing.
    pub(super) fn current_fill_wait(&self) -> f64 {
        let last = self.requests.values().filter_map(|state| Some((state, state.attempts.last()?)));
        let fills = last.filter(|(_, it)| it.outcome.is_none() && it.source.is_some() && !it.from_sibling);
        let fills = fills.filter(|(_, it)| !self.silent_since(it));
        let (mut sum, mut count) = (0.0, 0.0);
        for (state, it) in fills {
            let waited = seconds(self.now - it.sent_at) - state.send_seconds;
            sum += it.miss_probability * (waited / self.slack(state)).clamp(0.0, FAILED_FILL_WAIT_RATIO);
            count += it.miss_probability;
        }
        if count < MIN_PENDING_FILLS { 0.0 } else { sum / count }
    }

    /// Learns how many answers are lost: by timeouts, and by attempts after the first that found its copy.
    fn learn_lost_answers(&mut self, id: RequestId, attempt: &Attempt) {
        let late = attempt.outcome == Some(Outcome::TimedOut);
        if !late && attempt.outcome != Some(Outcome::Served) {
            return;
        }
        let earlier = |other: &Attempt| other.outcome.is_none() && other.sent_at < attempt.sent_at;
        let overtook = self.requests[&id].attempts.iter().any(earlier);
        let lost = late || (overtook && !attempt.brought_by_fill());
        let observation = f64::from(u8::from(lost));
        self.learned.lost_answers += (observation - self.learned.lost_answers) * LEARNING_RATE / 2.0;
    }

    /// Learns waits of fills, overall and at the source, and how many answers are lost. A timeout counts
    /// against the fill as far as one was likely: the answer may have been lost instead.
    pub(super) fn learn_fill_waits(&mut self, id: RequestId, attempt: &Attempt) {
        let filled = attempt.brought_by_fill();
        let late = attempt.outcome == Some(Outcome::TimedOut);
        self.learn_lost_answers(id, attempt);
        let state = &self.requests[&id];
        // A fill from a sibling cache says nothing of the parents and the link.
        if attempt.from_sibling {
            return;
        }
        let failed = attempt.source.is_some() && (late || attempt.outcome == Some(Outcome::Rejected));
        if !filled && !failed {
            return;
        }
        let weight = if late { attempt.miss_probability * attempt.miss_probability } else { 1.0 };
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
            if late && self.silent_since(attempt) { 0 } else { 1 + usize::from(was_cached) };
        for ratio_index in 0..affected_ratios {
            let step =
                self.learning_rate(LEARNING_RATE / 2.0, self.fill_wait_updated_at[ratio_index]) * weight;
            self.learned.fill_wait_ratios[ratio_index] +=
                (ratio - self.learned.fill_wait_ratios[ratio_index]) * step;
            self.fill_wait_updated_at[ratio_index] = self.now;
        }
        let Some(source) = attempt.source.filter(|_| attempt.outcome != Some(Outcome::Rejected)) else {
            return;
        };
        // After a timeout a fill is known to take at least this long: quick fills alone would make timeouts
        // too short.
        self.learned.fill_delay +=
            (waited.clamp(0.0, 3.0) - self.learned.fill_delay) * LEARNING_RATE * weight;
        let (now, before) = (self.now, self.fill_wait(source));
        let measured_at = self.members.get(&source).map_or(0, |record| record.fill_wait.measured_at);
        let step = self.learning_rate(LEARNING_RATE * 2.0, measured_at) * weight;
        if let Some(record) = self.members.get_mut(&source) {
            record.fill_wait = FillWait { measured_at: now, seconds: before + (waited - before) * step };
        }
    }
}
