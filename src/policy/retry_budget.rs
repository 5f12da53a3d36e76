//! Conditions for retries: the idempotency of the request, its deadline, and the retry budget.

use super::{DEADLINE_MARGIN_TICKS, Router};
use crate::interface::{Idempotency, MemberId, RequestId};
use crate::state::{Attempt, RequestState};

/// Number of broken attempts after which a request is no longer retried.
pub(super) const MAX_BROKEN_ATTEMPTS: usize = 3;
/// Maximum duration of a broken attempt that has cost the member hardly any work.
pub(super) const IMMEDIATE_FAILURE_SECONDS: f64 = 0.05;
/// Retries that each request adds to the budget.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.3;
/// Maximum number of retries that can accumulate in the budget.
pub(super) const MAX_RETRY_BUDGET: f64 = 30.0;

impl Router {
    /// Whether another attempt is safe and can end before the deadline. A request that is not idempotent must
    /// not run twice.
    pub(super) fn may_retry(&self, state: &RequestState) -> bool {
        let deadline_margin = self.settings.tick * DEADLINE_MARGIN_TICKS;
        let max_attempts = self.settings.classes[state.class].max_attempts as usize;
        if state.attempts.len() >= max_attempts || self.now + deadline_margin >= state.deadline {
            return false;
        }
        let first_run = state.attempts.iter().find(|attempt| attempt.may_have_run());
        match (self.settings.classes[state.class].idempotency, first_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                self.now + deadline_margin < first.sent_at + window
            }
            (Idempotency::NotIdempotent, Some(_)) => false,
        }
    }

    /// Whether the member deduplicates the request against every member at which it may have run. Applies to
    /// each member that an attempt is sent to, whatever its role; the source of a fill runs no attempt.
    pub(super) fn in_idempotency_group(&self, state: &RequestState, member: MemberId) -> bool {
        self.deduplicates(state, &state.attempts, member)
    }

    /// Whether the member of a picked attempt, as listed now, still deduplicates the request against every
    /// member at which an earlier attempt may have run.
    pub fn is_in_idempotency_group_now(&self, request: RequestId, number: u32) -> bool {
        let Some(state) = self.requests.get(&request) else { return true };
        let number = number as usize;
        state
            .attempts
            .get(number)
            .is_none_or(|attempt| self.deduplicates(state, &state.attempts[..number], attempt.member))
    }

    /// Whether the member deduplicates the request against the member of each earlier attempt that may have
    /// run. A member at which the request may have run itself does, unless its listed locality has changed.
    fn deduplicates(&self, state: &RequestState, earlier: &[Attempt], member: MemberId) -> bool {
        let Idempotency::Keyed { group, .. } = self.settings.classes[state.class].idempotency else {
            return true;
        };
        let Some(record) = self.members.get(&member) else { return false };
        let locality = record.member.locality();
        let is_same_member = |attempt: &Attempt| attempt.member == member && attempt.locality == locality;
        earlier
            .iter()
            .filter(|attempt| attempt.may_have_run())
            .all(|attempt| group.contains_both(attempt.locality, locality) || is_same_member(attempt))
    }
}
