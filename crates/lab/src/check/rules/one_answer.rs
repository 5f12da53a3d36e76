//! Each request has exactly one answer, and in time.

use super::common::{Expiries, REMEMBERED_FOR, milliseconds};
use crate::check::rule::{Rule, RuleContext, Violations};
use crate::participant::ParticipantId;
use crate::trace::{EventKind, Micros, TraceEvent};
use std::collections::HashMap;

struct Request {
    asked: Micros,
    /// How long its client waits.
    timeout: Micros,
    gateway: ParticipantId,
    clients: ParticipantId,
    ended: bool,
}

impl Request {
    fn is_excused(&self, now: Micros, context: &RuleContext) -> bool {
        context.faults.on_link(self.clients, self.gateway, self.asked, now)
            || context.faults.on_process(self.gateway, self.asked, now)
    }

    /// Whether it was marked as ended before.
    fn end(&mut self) -> bool {
        std::mem::replace(&mut self.ended, true)
    }
}

/// Each request has exactly one answer, and has it before its client stops to wait.
#[derive(Default)]
pub(super) struct OneAnswer {
    requests: HashMap<u64, Request>,
    expiries: Expiries,
}

impl OneAnswer {
    fn answered(&mut self, id: u64, now: Micros, context: &RuleContext, violations: &mut Violations) {
        let Some(request) = self.requests.get_mut(&id) else {
            return violations.add_request(id, "an answer to a request that nobody asked");
        };
        if request.end() {
            return violations.add_request(id, "an answer when it had ended already");
        }
        let late = now.saturating_sub(request.asked + request.timeout + context.bounds.margin);
        if late > 0 && !request.is_excused(now, context) {
            let late = milliseconds(late);
            violations.add_request(id, format!("an answer {late} after its wait was over"));
        }
    }

    fn check_complete(&self, id: u64, now: Micros, context: &RuleContext, violations: &mut Violations) {
        let excused = self.requests.get(&id).is_some_and(|request| request.is_excused(now, context));
        if !excused {
            violations.add_request(id, "an answer that can't be read");
        }
    }

    fn unanswered(&mut self, id: u64, seen: &TraceEvent, context: &RuleContext, violations: &mut Violations) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.end() || request.is_excused(seen.at, context) {
            return;
        }
        let how =
            if matches!(seen.what, EventKind::Left { .. }) { "was never answered" } else { "broke off" };
        violations.add_request(id, format!("the request {how}, and no fault lay there"));
    }
}

impl Rule for OneAnswer {
    fn name(&self) -> &'static str {
        "one answer"
    }

    fn observe(&mut self, seen: &TraceEvent, context: &RuleContext, violations: &mut Violations) {
        match &seen.what {
            EventKind::Asked { id, gateway, clients, wait, .. } => {
                let (gateway, clients) = (*gateway, *clients);
                let request = Request { asked: seen.at, timeout: *wait, gateway, clients, ended: false };
                self.requests.insert(*id, request);
                self.expiries.add(seen.at + wait + REMEMBERED_FOR, *id);
            }
            EventKind::Answered { id, whole, .. } => {
                self.answered(*id, seen.at, context, violations);
                if !whole {
                    self.check_complete(*id, seen.at, context, violations);
                }
            }
            EventKind::Withdrawn { id } => drop(self.requests.remove(id)),
            EventKind::Broke { id } | EventKind::Left { id } => {
                self.unanswered(*id, seen, context, violations);
            }
            _ => {}
        }
        while let Some(id) = self.expiries.next_expired(seen.at) {
            self.requests.remove(&id);
        }
    }

    fn finish(&mut self, at: Micros, context: &RuleContext, violations: &mut Violations) {
        let is_over = |request: &Request| request.asked + request.timeout + context.bounds.margin < at;
        let is_lost =
            |request: &Request| !request.ended && is_over(request) && !request.is_excused(at, context);
        let lost = self.requests.iter().filter(|(_, request)| is_lost(request));
        let mut lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            violations.add_request(id, "never ended");
        }
    }
}
