//! Outlier detection: passive health checks that temporarily eject members with failing answers.

use super::Router;
use super::load::REPORT_HALF_LIFE;
use crate::interface::{Detail, MemberId, Micros, Outcome, RequestId, Role};
use crate::state::{Attempt, Penalty};
use std::collections::BTreeSet;

/// Weight of a failure in a member's failure rate.
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of a success in a member's failure rate.
const SUCCESS_WEIGHT: f64 = 0.25;
/// Failure rate from which a member is ejected: reached by three failures in a row, by sustained failure of
/// every other answer, or by one unreachable attempt.
const EJECTION_FAILURE_RATE: f64 = 0.55;
/// How long the penalty for a broken attempt can be reversed.
const PENALTY_REVERSAL_WINDOW: Micros = 250_000;
/// Duration of the first ejection; it doubles with each further ejection in a row.
const FIRST_EJECTION: Micros = 1_000_000;
/// Maximum duration of an ejection.
const MAX_EJECTION: Micros = 8_000_000;

impl Router {
    /// Whether the member is not ejected, or its ejection has ended and no probe is in flight.
    pub(super) fn is_healthy(&self, id: MemberId) -> bool {
        let record = &self.members[&id];
        record.health.ejected_until.is_none_or(|until| self.now >= until && !record.health.probe_in_flight)
    }

    /// Removes ejected members. If all parents or most caches are ejected, detection itself is assumed to be
    /// at fault and members are kept (fail open). If no cache of the zone is responsive and parents may be
    /// used directly, the caches are considered lost and ejected members are removed after all.
    pub(super) fn without_ejected(&self, members: Vec<MemberId>) -> Vec<MemberId> {
        let filter_members =
            |keep: &dyn Fn(&MemberId) -> bool| members.iter().copied().filter(keep).collect::<Vec<_>>();
        let healthy = filter_members(&|id| self.is_healthy(*id));
        let is_responsive = |id: &MemberId| {
            self.members[id]
                .last_success
                .is_some_and(|last_success| self.now < last_success + REPORT_HALF_LIFE)
        };
        let is_unresponsive_cache = |id: &MemberId| self.role(*id) == Role::Cache && !is_responsive(id);
        let caches_lost = self.settings.direct_requests && members.iter().all(is_unresponsive_cache);
        let cache_count = members.iter().filter(|id| self.role(**id) == Role::Cache).count();
        if !healthy.is_empty() && healthy.len() * 2 >= cache_count || caches_lost {
            return healthy;
        }
        // A member that has also failed its probe stays ejected: because it fails fast, its load is low and
        // it would attract all requests.
        let retained = filter_members(&|id| self.is_healthy(*id) || self.members[id].health.ejections < 2);
        if retained.is_empty() { members } else { retained }
    }

    /// Records a success or failure of the member or of the source of its fill. A failure is attributed to
    /// the source if the detail of the answer names it, if a fill timed out at a cache that has answered
    /// other requests since, or if a fill that was certain to be needed was rejected without details.
    pub(super) fn learn_health(&mut self, id: RequestId, attempt: &Attempt) {
        let last_success = self.members.get(&attempt.member).and_then(|record| record.last_success);
        let rejected = attempt.outcome == Some(Outcome::Rejected);
        let member_works = match attempt.outcome {
            Some(Outcome::TimedOut) => last_success > Some(attempt.sent_at),
            _ => rejected && attempt.detail == Detail::Unspecified && attempt.miss_probability >= 1.0,
        };
        let source_at_fault = attempt.detail.source_failed() || (member_works && attempt.source.is_some());
        let member_at_fault = if source_at_fault { attempt.source } else { Some(attempt.member) };
        match attempt.outcome.unwrap_or(Outcome::Unknown) {
            Outcome::Served => {
                self.penalize_all_broken(id);
                self.record_success(attempt.member);
                let filled_by = attempt.source.filter(|_| attempt.detail.filled());
                if let Some(source) = filled_by {
                    self.record_success(source);
                }
            }
            Outcome::Checked => self.record_success(attempt.member),
            Outcome::Unreachable => self.record_failure(attempt.member, 1.0),
            Outcome::Failed | Outcome::Reset if !source_at_fault => self.penalize_broken_attempt(id, attempt),
            Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Rejected
                if source_at_fault || !rejected =>
            {
                if let Some(member) = member_at_fault {
                    self.record_failure(member, FAILURE_WEIGHT);
                }
            }
            _ => {
                if let Some(record) = self.members.get_mut(&attempt.member) {
                    record.health.probe_in_flight = false;
                }
            }
        }
    }

    /// Penalizes the first member at which an attempt of the request breaks. If an attempt breaks at a second
    /// member, the request itself is the likely cause: it must not eject healthy members, and the first
    /// penalty is reversed.
    fn penalize_broken_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        let (now, member) = (self.now, attempt.member);
        let (Some(state), Some(record)) = (self.requests.get_mut(&id), self.members.get_mut(&member)) else {
            return;
        };
        let broken = state.attempts.iter().filter(|attempt| attempt.broke());
        if broken.clone().all(|attempt| attempt.member == member) {
            // Connections of one process break together, so attempts sent before the last penalty add no new
            // evidence.
            if attempt.outcome == Some(Outcome::Failed) || attempt.sent_at >= record.last_break.unwrap_or(0) {
                record.last_break = Some(now);
                state.penalties.push(Penalty { member, previous_health: record.health, penalized_at: now });
                self.record_failure(member, FAILURE_WEIGHT);
            }
            return;
        }
        record.health.probe_in_flight = false;
        let is_reversible = |penalty: &Penalty| now < penalty.penalized_at + PENALTY_REVERSAL_WINDOW;
        for penalty in state.penalties.drain(..).rev().filter(is_reversible) {
            if let Some(record) = self.members.get_mut(&penalty.member) {
                record.health = penalty.previous_health;
            }
        }
    }

    /// Penalizes the members at which attempts of a request broke, if there are several: the request was
    /// served after all, so the members were at fault.
    fn penalize_all_broken(&mut self, id: RequestId) {
        let broken = self.requests[&id]
            .attempts
            .iter()
            .filter(|attempt| attempt.broke())
            .map(|attempt| attempt.member);
        let members: BTreeSet<MemberId> = broken.collect();
        if members.len() > 1 {
            for member in members {
                self.record_failure(member, FAILURE_WEIGHT);
            }
        }
    }

    /// Records a good answer of a member.
    fn record_success(&mut self, id: MemberId) {
        let now = self.now;
        let Some(record) = self.members.get_mut(&id) else { return };
        record.last_success = Some(now);
        record.health.probe_in_flight = false;
        record.health.failure_rate -= record.health.failure_rate * SUCCESS_WEIGHT;
        if record.health.ejected_until.is_none_or(|until| now >= until) {
            record.health.ejected_until = None;
            if record.health.failure_rate < EJECTION_FAILURE_RATE / 4.0 {
                record.health.ejections = 0;
            }
        }
    }

    /// Records a failure of a member and ejects the member if its failure rate is high or its probe failed.
    /// The ejection time doubles with each ejection in a row. Covers members that crash, stop responding or
    /// fail intermittently before discovery reports it.
    fn record_failure(&mut self, id: MemberId, weight: f64) {
        let now = self.now;
        let Some(record) = self.members.get_mut(&id) else { return };
        record.health.failure_rate += (1.0 - record.health.failure_rate) * weight;
        let failed_probe = std::mem::take(&mut record.health.probe_in_flight);
        let is_ejected = record.health.ejected_until.is_some_and(|until| now < until);
        let is_outlier = failed_probe || record.health.failure_rate >= EJECTION_FAILURE_RATE;
        if record.member.role != Role::Origin && !is_ejected && is_outlier {
            let ejection = (FIRST_EJECTION << record.health.ejections.min(8)).min(MAX_EJECTION);
            record.health.ejected_until = Some(now + ejection);
            record.health.ejections += 1;
            // A member that returns starts at half of the ejection threshold, so that its first answers soon
            // decide.
            record.health.failure_rate = record.health.failure_rate.min(EJECTION_FAILURE_RATE / 2.0);
        }
    }
}
