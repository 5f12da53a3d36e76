//! Slow start: limits on the work that a newly started member may be sent.

use super::Router;
use super::learning::HIT_OVERHEAD_SECONDS;
use crate::hash::{self, mix};
use crate::interface::{MemberId, Micros, Role, SlowStartRule, seconds};
use crate::state::{Attempt, MemberRecord, RequestState, SendingTime};

/// Share of the work allowed by the slow-start rule that is used.
const SLOW_START_HEADROOM_SHARE: f64 = 0.5;
/// Share of the requests of a window that may be sent in one burst.
const SLOW_START_BURST_SHARE: f64 = 0.25;
/// Share of the rule's window within which the charge for an unused fill is refunded. After that, another
/// request may already have been sent in its place.
const REFUND_WINDOW_SHARE: f64 = 0.5;
/// The mean of a small sample may be far below that of its class. It is increased by this ratio divided by
/// the squared number of requests.
const SMALL_SAMPLE_MARGIN: f64 = 2.0;
/// Requests that a lookup brings to its member: the health check, and the request that follows.
const REQUESTS_PER_LOOKUP: f64 = 2.0;

impl Router {
    /// Returns the slow-start rule for members of this role.
    pub(super) fn slow_start_rule(&self, role: Role) -> SlowStartRule {
        if role == Role::Cache { self.settings.cache_slow_start } else { self.settings.parent_slow_start }
    }

    /// Returns the minimum share of its capacity that a member has now, according to its slow-start rule.
    pub(super) fn capacity_share(&self, record: &MemberRecord) -> f64 {
        let started = record.member.started.filter(|_| record.member.role != Role::Origin);
        started.map_or(1.0, |started| {
            self.slow_start_rule(record.member.role).share(self.now.saturating_sub(started))
        })
    }

    /// Charges a request of `work` seconds of sending time to a member in slow start. Returns `false` if the
    /// request may not be sent. Each gateway has a share of what the rule allows per window. If that share is
    /// less than one request, the gateway draws a random number once per window. Fractions do not accumulate,
    /// because they would become due at many gateways at the same time.
    pub(super) fn charge_slow_start(&mut self, id: MemberId, work: f64) -> bool {
        let record = &self.members[&id];
        let available = self.capacity_share(record);
        let rule = self.slow_start_rule(record.member.role);
        if available >= 1.0 || rule.multiple <= 0.0 || rule.window == 0 {
            return true;
        }
        let share = record.capacity * available / (self.gateway_count(record.member.role) * self.processes);
        let allowed_requests = share * rule.multiple * seconds(rule.window) * SLOW_START_HEADROOM_SHARE
            / work.max(HIT_OVERHEAD_SECONDS);
        let slots = allowed_requests.floor().max(1.0);
        let interval = (rule.window as f64 / slots) as Micros;
        let draw = hash::unit_interval(mix(self.random_state ^ mix(u64::from(id.0) ^ self.now)));
        let (now, Some(record)) = (self.now, self.members.get_mut(&id)) else { return false };
        if record.slow_start_due > now + interval * (slots * SLOW_START_BURST_SHARE) as Micros {
            return false;
        }
        record.slow_start_due = record.slow_start_due.max(now) + interval;
        record.last_charge = interval;
        draw * slots < allowed_requests
    }

    /// Refunds the charge of a fill whose source was not used. Refunds no more than that charge, since other
    /// fills may have reached the source.
    pub(super) fn refund_slow_start(&mut self, source: MemberId, attempt: &Attempt) {
        let now = self.now;
        let Some(role) = self.members.get(&source).map(|record| record.member.role) else { return };
        let refund_deadline =
            attempt.sent_at + (self.slow_start_rule(role).window as f64 * REFUND_WINDOW_SHARE) as Micros;
        let Some(record) = self.members.get_mut(&source) else { return };
        if now <= refund_deadline && attempt.sent_at >= record.start_notified {
            record.slow_start_due = record.slow_start_due.saturating_sub(attempt.slow_start_charge).max(now);
        }
    }

    /// Returns the sending time that a request is charged, in seconds. The rule is defined on the mean of the
    /// class.
    pub(super) fn slow_start_work(&self, state: &RequestState) -> f64 {
        let SendingTime { mean, requests } = self.learned.sending_times[state.class];
        let objective = self.settings.classes[state.class].latency_objective;
        // Without any known size a request must not be free of charge. Its latency objective is used, since
        // most requests are served within it.
        let work = if mean > 0.0 {
            mean * (1.0 + SMALL_SAMPLE_MARGIN / requests.max(1.0).powi(2))
        } else {
            seconds(objective)
        };
        work * if state.request.is_lookup { REQUESTS_PER_LOOKUP } else { 1.0 }
    }

    /// Whether an attempt that was picked at `picked_at` was charged to the slow start of its member. Returns
    /// `false` if the member is in slow start and its start was reported after that.
    pub fn start_was_known(&self, id: MemberId, picked_at: Micros) -> bool {
        self.members
            .get(&id)
            .is_none_or(|record| picked_at >= record.start_notified || self.capacity_share(record) >= 1.0)
    }
}
