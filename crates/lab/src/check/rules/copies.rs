//! Served copies are what was asked for, and fresh.

use super::common::{Expiries, REMEMBERED_FOR, milliseconds, notified_by};
use crate::check::rule::{Rule, RuleContext, Violations};
use crate::model::world::group_of;
use crate::participant::ParticipantId;
use crate::trace::{AttemptStatus, Body, BusChange, EventKind, Micros, TraceEvent};
use std::collections::HashMap;

struct Request {
    asked: Micros,
    object: String,
    part: String,
    gateway: ParticipantId,
    /// The greatest age of a copy. `None`: nothing of it is cached.
    max_age: Option<Micros>,
    /// The attempt that was answered last.
    served_by: Option<Attempt>,
}

#[derive(Clone, Copy)]
struct Attempt {
    request: u64,
    sent: Micros,
    store: ParticipantId,
}

/// What is served is what was asked for, complete, young enough, and not older than a purge.
#[derive(Default)]
pub(super) struct Copies {
    requests: HashMap<u64, Request>,
    attempts: HashMap<u64, Attempt>,
    /// Times of purges by group.
    purges: HashMap<u8, Vec<Micros>>,
    expiries: Expiries,
}

impl Copies {
    fn check(&self, seen: &TraceEvent, context: &RuleContext, violations: &mut Violations) {
        let EventKind::Answered { id, status: 200, body, whole, .. } = &seen.what else { return };
        let Some(request) = self.requests.get(id) else { return };
        let Some(attempt) = request.served_by else {
            return violations.add_request(*id, "served, and no store had answered");
        };
        let Some(body) = body.as_ref().filter(|_| *whole) else {
            // A gateway can't know bytes that a link has changed from others.
            if !context.faults.corrupted(request.gateway, attempt.store, request.asked, seen.at) {
                violations.add_request(*id, "served with bytes that no store made");
            }
            return;
        };
        if (&body.object, &body.part) != (&request.object, &request.part) {
            let (served, asked) = ((&body.object, &body.part), (&request.object, &request.part));
            let text = format!("served {} {} in place of {} {}", served.0, served.1, asked.0, asked.1);
            return violations.add_request(*id, text);
        }
        let Some(max_age) = request.max_age else { return };
        let age = attempt.sent.saturating_sub(body.made);
        if age > max_age + context.bounds.margin {
            let (age, max_age) = (milliseconds(age), milliseconds(max_age));
            violations.add_request(*id, format!("served a copy that was {age} old; {max_age} are allowed"));
        }
        if let Some(purge) = self.missed_purge(body, request.gateway, attempt.sent, context) {
            let (before, after) = (milliseconds(purge - body.made), milliseconds(attempt.sent - purge));
            violations.add_request(
                *id,
                format!("served a copy made {before} before a purge, sent {after} after it"),
            );
        }
    }

    /// The latest purge of a copy that its gateway was notified of before it sent the attempt.
    fn missed_purge(
        &self,
        body: &Body,
        gateway: ParticipantId,
        sent: Micros,
        context: &RuleContext,
    ) -> Option<Micros> {
        let grace = context.bounds.purge_grace;
        let is_missed =
            |purge: &Micros| body.made < *purge && sent > notified_by(gateway, *purge, sent, grace, context);
        self.purges.get(&group_of(&body.object))?.iter().rev().copied().find(is_missed)
    }

    fn answered(&mut self, attempt: u64, word: AttemptStatus) {
        let Some(attempt) = self.attempts.remove(&attempt) else { return };
        if let (AttemptStatus::Ok | AttemptStatus::Current, Some(request)) =
            (word, self.requests.get_mut(&attempt.request))
        {
            request.served_by = Some(attempt);
        }
    }
}

impl Rule for Copies {
    fn name(&self) -> &'static str {
        "copies"
    }

    fn observe(&mut self, seen: &TraceEvent, context: &RuleContext, violations: &mut Violations) {
        match &seen.what {
            EventKind::Asked { id, object, part, gateway, fresh, wait, .. } => {
                let request = Request {
                    asked: seen.at,
                    object: object.clone(),
                    part: part.clone(),
                    gateway: *gateway,
                    max_age: *fresh,
                    served_by: None,
                };
                self.requests.insert(*id, request);
                self.expiries.add(seen.at + wait + REMEMBERED_FOR, *id);
            }
            EventKind::Arrived { id, attempt, sent, store, .. } => {
                self.attempts.insert(*attempt, Attempt { request: *id, sent: *sent, store: *store });
            }
            EventKind::Ended { attempt, word } => self.answered(*attempt, *word),
            EventKind::GivenUp { attempt, .. } | EventKind::Lost { attempt } => {
                self.attempts.remove(attempt);
            }
            EventKind::Stands { change: BusChange::Purge { group } } => {
                self.purges.entry(*group).or_default().push(seen.at);
            }
            EventKind::Answered { .. } => self.check(seen, context, violations),
            _ => {}
        }
        while let Some(id) = self.expiries.next_expired(seen.at) {
            self.requests.remove(&id);
        }
    }
}
