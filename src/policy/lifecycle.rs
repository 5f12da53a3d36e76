//! Lifecycle of a request, from its arrival to its final answer.

use super::admission::MAX_RECENT_PRIORITIES;
use super::learning::LEARNING_RATE;
use super::retry_budget::{
    IMMEDIATE_FAILURE_SECONDS, MAX_BROKEN_ATTEMPTS, MAX_RETRY_BUDGET, RETRIES_PER_REQUEST,
};
use super::{Actions, DEADLINE_MARGIN_TICKS, Router};
use crate::hash::{self, mix};
use crate::interface::{Action, Fill, MemberId, Micros, Outcome, Request, RequestId, Role, TimerId, seconds};
use crate::purges::object_hash;
use crate::state::{Attempt, RequestState};

/// Maximum number of requests in the mean sending time of a class; the bound lets the mean follow changes.
const MAX_AVERAGED_REQUESTS: f64 = 1_000.0;
/// Shortest Retry-After sent to a rejected client.
const MIN_BACKOFF: Micros = 200_000;

impl Router {
    /// Opens a request and sends its first attempt, or rejects the request.
    pub(super) fn start_request(&mut self, request: Request, actions: Actions) -> RequestId {
        let (id, timeout) = (request.id, request.timeout);
        let Some(class) = request.class.filter(|class| *class < self.settings.classes.len()) else {
            actions.push(Action::Fail { request: id });
            return id;
        };
        let object_hash = object_hash(&request.object);
        let routing_key = mix(hash::of_text(&request.object) ^ mix(u64::from(request.part)));
        let uncacheable = self.settings.classes[class].uncacheable;
        let cache_rank = if uncacheable { 0 } else { self.record_request(routing_key) };
        let pace = self.settings.pace_kb_per_s;
        let expected_seconds = if pace > 0.0 {
            request.size_kb / pace
        } else {
            seconds(self.settings.classes[class].latency_objective) / 2.0
        };
        let sending_time = &mut self.learned.sending_times[class];
        // A lookup has no size: it counts as the mean of its class, and does not update the mean.
        let send_seconds = if request.is_lookup { sending_time.mean } else { expected_seconds };
        if !request.is_lookup && expected_seconds > 0.0 {
            sending_time.requests = (sending_time.requests + 1.0).min(MAX_AVERAGED_REQUESTS);
            sending_time.mean += (send_seconds - sending_time.mean) / sending_time.requests;
        }
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        let deadline = self.now + timeout;
        let state = RequestState {
            request,
            class,
            routing_key,
            object_hash,
            cache_rank,
            send_seconds,
            deadline,
            ..RequestState::default()
        };
        if !uncacheable && !state.request.is_lookup {
            let priority = self.priority_per_second(&state);
            self.recent_priorities.push(priority, MAX_RECENT_PRIORITIES);
        }
        self.requests.insert(id, state);
        let deadline_margin = self.settings.tick * DEADLINE_MARGIN_TICKS;
        if timeout <= deadline_margin {
            self.reject(id, actions);
        } else {
            // This timer ends the request before its deadline, whatever the state of its attempts.
            actions.push(Action::SetTimer { timer: TimerId(id.0), after: timeout - deadline_margin });
            self.start_next_attempt(id, actions);
        }
        id
    }

    /// Handles a timer of the request: for its deadline, the end of a backoff, or a hedged request.
    pub(super) fn handle_timer(&mut self, id: RequestId, actions: Actions) -> RequestId {
        let Some(state) = self.requests.get_mut(&id).filter(|state| !state.finished) else { return id };
        let is_due = |time: Option<Micros>| time.is_some_and(|time| self.now >= time);
        if self.now + self.settings.tick * DEADLINE_MARGIN_TICKS >= state.deadline {
            self.reject(id, actions);
        } else if is_due(state.retry_at) {
            state.retry_at = None;
            self.start_next_attempt(id, actions);
        } else if is_due(state.attempts.last().and_then(|last| last.hedge_at)) {
            self.send_hedged_request(id, actions);
        }
        id
    }

    /// Sends the next attempt, or rejects the request at once if no attempt is allowed or could succeed.
    pub(super) fn start_next_attempt(&mut self, id: RequestId, actions: Actions) {
        let Some(state) = self.requests.get(&id).filter(|state| !state.finished) else { return };
        if state.attempts.iter().any(|attempt| attempt.outcome.is_none()) || state.retry_at.is_some() {
            return;
        }
        let last = state.attempts.last();
        // A lookup, a refused connection and an immediate error cost the member no work, so the next attempt
        // does not use the retry budget.
        let uses_retry_budget = last.is_some_and(|last| {
            let never_sent = matches!(last.outcome, Some(Outcome::Unreachable | Outcome::NotSent));
            let cost_nothing = never_sent || (last.broke() && last.duration <= IMMEDIATE_FAILURE_SECONDS);
            !(cost_nothing || (last.missed_lookup() && (last.source.is_none() || last.from_sibling)))
        });
        // When fetches are shed or the origin failed the fetch, another attempt would add to the overload. A
        // request whose attempts broke at several members is likely to break at others too.
        let broke_repeatedly =
            state.attempts.iter().filter(|attempt| attempt.broke()).count() >= MAX_BROKEN_ATTEMPTS;
        let cannot_succeed = broke_repeatedly || last.is_some_and(Attempt::fetch_failed);
        if !self.may_retry(state) || cannot_succeed || (uses_retry_budget && self.retry_budget < 1.0) {
            return self.reject(id, actions);
        }
        self.retry_budget -= f64::from(u8::from(uses_retry_budget));
        if self.settings.classes[state.class].uncacheable {
            self.send_to_origin(id, actions);
        } else {
            self.serve_cacheable(id, actions);
        }
    }

    /// Ends the request without an answer: as refused if the client may safely retry it, as failed otherwise.
    pub(super) fn reject(&mut self, id: RequestId, actions: Actions) {
        let Some(state) = self.requests.get(&id).filter(|state| !state.finished) else { return };
        let may_have_run = state.attempts.iter().any(Attempt::may_have_run);
        if !may_have_run || self.settings.classes[state.class].idempotency.client_may_retry() {
            let jitter = MIN_BACKOFF as f64 * self.random_unit();
            let backoff =
                self.settings.max_backoff.map(|max_backoff| max_backoff.min(MIN_BACKOFF + jitter as Micros));
            actions.push(Action::Refuse { request: id, backoff });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(id, actions);
    }

    /// Marks the request as finished and cancels its attempts in flight.
    pub(super) fn finish(&mut self, id: RequestId, actions: Actions) -> RequestId {
        let Some(state) = self.requests.get_mut(&id).filter(|state| !state.finished) else { return id };
        state.finished = true;
        if self.settings.may_cancel {
            let in_flight =
                state.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none());
            actions
                .extend(in_flight.map(|(number, _)| Action::Cancel { request: id, attempt: number as u32 }));
        }
        id
    }

    /// Sends an attempt to a member and records it. Rejects the request instead if the member could run it a
    /// second time.
    pub(super) fn send_attempt(
        &mut self,
        id: RequestId,
        member: MemberId,
        fill: Option<Fill>,
        actions: Actions,
    ) {
        let state = &self.requests[&id];
        if !self.in_idempotency_group(state, member) {
            return self.reject(id, actions);
        }
        let now = self.now;
        let source = fill.and_then(|fill| fill.source);
        let lookup_only =
            source.is_none_or(|source| source == member) || fill.is_some_and(|fill| fill.cached_only);
        let from_sibling = source.is_some_and(|source| source != member && self.role(source) == Role::Cache);
        let certain_miss =
            self.role(member) == Role::Parent || state.attempts.last().is_some_and(Attempt::missed_lookup);
        let miss_probability =
            if certain_miss { 1.0 } else { self.learned.miss_rates[usize::from(state.cache_rank)] };
        let (timeout, hedge_at) = (self.attempt_timeout(state), self.hedging_time(state));
        // A background refresh uses the source even on a hit, so its charge cannot be refunded.
        let refundable_source =
            source.filter(|source| *source != member && fill.is_some_and(|fill| !fill.background_refresh));
        let slow_start_charge = refundable_source.map_or(0, |source| self.members[&source].last_charge);
        let (load, role) = (self.load(member), self.role(member) as usize);
        let half_life = self.in_flight_half_life(self.role(member));
        let record = self.members.get_mut(&member).expect("the member is listed");
        let locality = record.member.locality();
        record.average_in_flight.record(now, f64::from(record.in_flight), half_life);
        if record.reported_load.is_none() && record.member.role == Role::Cache {
            self.learned.usual_load[role] += (load - self.learned.usual_load[role]) * LEARNING_RATE / 2.0;
        }
        record.in_flight += 1;
        // After its ejection a member gets one request as a probe, and no other until the probe has ended.
        record.health.probe_in_flight |= record.health.ejected_until.is_some();
        // A lookup uses no source: the source is charged for the request that follows, but the outcome of the
        // lookup does not count towards the health of the source.
        let source = source.filter(|_| !self.requests[&id].request.is_lookup);
        let base_attempt =
            Attempt { member, locality, source, slow_start_charge, sent_at: now, ..Attempt::default() };
        let attempt = Attempt { lookup_only, from_sibling, miss_probability, hedge_at, ..base_attempt };
        if let Some(hedge_at) = hedge_at {
            actions.push(Action::SetTimer { timer: TimerId(id.0), after: hedge_at - now });
        }
        self.requests.get_mut(&id).expect("the request is open").attempts.push(attempt);
        actions.push(Action::Attempt { request: id, member, timeout, fill });
    }

    /// Records the end of an attempt in flight and returns the attempt; `None` if it was not in flight.
    pub(super) fn end_attempt(
        &mut self,
        id: RequestId,
        number: u32,
        record_end: impl FnOnce(&mut Attempt),
    ) -> Option<Attempt> {
        let attempts = &mut self.requests.get_mut(&id)?.attempts;
        let attempt = attempts.get_mut(number as usize).filter(|attempt| attempt.outcome.is_none())?;
        record_end(attempt);
        let attempt = attempt.clone();
        let half_life = self.in_flight_half_life(self.members.get(&attempt.member)?.member.role);
        let record = self.members.get_mut(&attempt.member)?;
        record.average_in_flight.record(self.now, f64::from(record.in_flight), half_life);
        record.in_flight = record.in_flight.saturating_sub(1);
        Some(attempt)
    }
}
