//! The broker: the routing policies behind a facade of requests, attempts and outcomes.
//!
//! A frontend calls [`Broker::pick`] with a request and gets a [`Verdict`]: an attempt to send, a refusal
//! or a failure. It sends the attempt and passes the outcome to [`Broker::report`], which returns the next
//! verdict. Verdicts from [`Broker::tick`] (an attempt timed out, a backoff ended, a deadline is near) go to
//! the request's [`Waiter`]. The broker does no I/O and reads no clock: frontends and tests pass in the
//! time, in microseconds of a monotonic clock.

mod administration;
mod freshness;
mod open_request;
mod timers;
mod verdicts;

pub use freshness::FreshnessReport;
pub use verdicts::{AttemptReport, NextStep, PlannedAttempt, Verdict, Waiter};

use crate::Router;
use crate::interface::{
    Action, Event, Fill, ListKind, Member, MemberId, MemberState, Micros, Outcome, Request, RequestId,
    Settings, TimerId,
};
use crate::purges::Purges;
use open_request::{InFlightAttempt, OpenRequest};
use sagearch_identity::Caller;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use timers::{DueTimer, Timers};

/// How many ticks before the shutdown deadline open requests get their final verdict.
const SHUTDOWN_MARGIN_TICKS: Micros = 2;

/// Makes the routing decisions of one gateway, for all its frontends.
pub struct Broker<W> {
    router: Router,
    /// Requests without a final verdict.
    open_requests: HashMap<RequestId, OpenRequest<W>>,
    timers: Timers,
    /// The state of each listed member.
    member_states: BTreeMap<MemberId, MemberState>,
    /// When each purge was notified. Attempts picked before that and not yet written are not sent.
    purges: Purges,
    /// The longest request timeout so far, which bounds how long an attempt can wait to be written.
    longest_timeout: Micros,
    /// Number of attempts not sent because the freshness lease expired after they were picked.
    unsent_after_expiry: Cell<u64>,
    /// When an operator started draining the gateway; `None`: it is not being drained.
    draining_since: Option<Micros>,
    /// When all requests must have been answered; `None`: the process is not shutting down.
    shutdown_deadline: Option<Micros>,
}

impl<W: Waiter> Broker<W> {
    /// Creates a broker without members. `seed` initializes the random numbers of the policies.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Broker {
            router: Router::new(settings, seed),
            open_requests: HashMap::new(),
            timers: Timers::default(),
            member_states: BTreeMap::new(),
            purges: Purges::default(),
            longest_timeout: 0,
            unsent_after_expiry: Cell::new(0),
            draining_since: None,
            shutdown_deadline: None,
        }
    }

    /// The caller of an open request; `None`: no such request is open.
    pub fn caller(&self, id: RequestId) -> Option<Arc<Caller>> {
        self.open_requests.get(&id).map(|request| request.caller.clone())
    }

    /// Number of requests without a final verdict.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    /// Handles a new request of an admitted caller. `None`: the verdict will be delivered to the waiter.
    pub fn pick(
        &mut self,
        now: Micros,
        mut request: Request,
        caller: Arc<Caller>,
        waiter: W,
    ) -> Option<Verdict> {
        let id = request.id;
        // A duplicate id would replace the open request, which would then never be answered.
        if self.open_requests.contains_key(&id) {
            return Some(Verdict::Failed);
        }
        let remaining = self.shutdown_deadline.map_or(Micros::MAX, |deadline| deadline.saturating_sub(now));
        request.timeout = request.timeout.min(remaining);
        self.longest_timeout = self.longest_timeout.max(request.timeout);
        let class = request.class.and_then(|class| self.router.settings.classes.get(class));
        self.open_requests.insert(id, OpenRequest::new(&request, class, caller, waiter));
        let verdict = self.apply(now, Event::Request(request));
        self.remove_if_final(now, id, verdict.as_ref());
        verdict
    }

    /// Records the outcome of an attempt. A report on an attempt that has already ended is ignored.
    pub fn report(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        report: impl Into<AttemptReport>,
    ) -> NextStep {
        let next = self.end_attempt(now, id, attempt, report.into());
        if let NextStep::Verdict(verdict) = &next {
            self.remove_if_final(now, id, Some(verdict));
        }
        next
    }

    /// Records that the member picked for a lookup passed its health check. If the member is no longer serving, the
    /// lookup continues with the next member.
    pub fn report_health_check_passed(&mut self, now: Micros, planned: &PlannedAttempt) -> NextStep {
        let outcome = if self.is_serving(planned.member) { Outcome::Checked } else { Outcome::NotSent };
        self.report(now, planned.request, planned.attempt, outcome)
    }

    /// Closes a request whose client has disconnected: no answer is due any more.
    pub fn abandon(&mut self, now: Micros, id: RequestId) {
        if self.open_requests.contains_key(&id) {
            self.apply(now, Event::Abandoned { request: id });
            self.close(now, id);
        }
    }

    /// Sets the shutdown deadline of the process. Open and later requests get their final verdict shortly before it at
    /// the latest.
    pub fn end_by(&mut self, now: Micros, deadline: Micros) {
        self.shutdown_deadline = Some(deadline);
        self.apply(now, Event::Ending { deadline });
        let final_verdict_at = deadline.saturating_sub(SHUTDOWN_MARGIN_TICKS * self.router.settings.tick);
        for id in self.open_requests.keys() {
            self.timers.set_policy(final_verdict_at, TimerId(id.0));
        }
    }

    /// Runs the timers that are due and delivers the resulting verdicts to the waiters.
    pub fn tick(&mut self, now: Micros) {
        self.router.shared_retry_budget.tick(now);
        while let Some(due) = self.timers.pop_due(now) {
            let (id, verdict) = match due {
                DueTimer::Policy(timer) => (RequestId(timer), self.apply(now, Event::Timer(TimerId(timer)))),
                DueTimer::AttemptTimeout(id, attempt) => (id, self.time_out(now, id, attempt)),
            };
            if let Some(verdict) = verdict {
                self.deliver(now, id, verdict);
            }
        }
    }

    /// Applies a list of members from discovery.
    pub fn members(&mut self, now: Micros, kind: ListKind, members: Vec<Member>) {
        if kind == ListKind::Complete {
            self.member_states.clear();
        }
        self.member_states.extend(members.iter().map(|member| (member.id, member.state)));
        // Absent members count as not serving. Keeping members that are gone would grow the map without bound.
        self.member_states.retain(|_, state| *state != MemberState::Gone);
        self.router.handle(now, Event::Members { kind, members }, &mut Vec::new());
    }

    /// Applies a purge, made `ago` before now, of an object or, without an object, of a purge group.
    pub fn purged(&mut self, now: Micros, object: Option<String>, group: Option<u64>, ago: Micros) {
        self.purges.enter(now, object.as_deref(), group, now);
        self.purges.drop_before(now.saturating_sub(self.longest_timeout));
        self.router.handle(now, Event::Purged { object, group, ago }, &mut Vec::new());
    }

    /// Applies a purge, made `ago` before now, of all objects and purge groups in one of `slice_count` slices of the
    /// hash space.
    pub fn slice_purged(&mut self, now: Micros, slice: u32, slice_count: u32, ago: Micros) {
        self.purges.enter_slice(slice, slice_count, now);
        self.router.handle(now, Event::SlicePurged { slice, slice_count, ago }, &mut Vec::new());
    }

    /// Whether a member may be sent new requests.
    pub fn is_serving(&self, member: MemberId) -> bool {
        self.member_states.get(&member) == Some(&MemberState::Serving)
            && !self.router.is_out_of_service(member)
    }

    /// Whether an attempt may still be sent. Called just before its first byte is written, which may be long after the
    /// attempt was picked if a connection had to be set up. The attempt may be sent if
    /// - its request is open and the attempt is in flight,
    /// - the budget claim that paid for it has not been fenced,
    /// - members still drop duplicates, if an earlier attempt may have run, and its member is listed in their group,
    /// - its member and fill source are serving, and no restart of either was notified since it was picked: it was not
    ///   charged to their slow start,
    /// - no purge of its object was notified or possibly missed since it was picked: its age limit was computed without
    ///   that purge.
    pub fn may_send(&self, now: Micros, planned: &PlannedAttempt) -> bool {
        let Some(request) = self.open_requests.get(&planned.request) else { return false };
        let Some(attempt) = request.attempt(planned.attempt) else { return false };
        let source = planned.fill.and_then(|fill| fill.source);
        attempt.payment.is_none_or(|payment| self.router.shared_retry_budget.is_valid(&payment))
            && !request.is_idempotency_expired(now, self.router.settings.tick)
            && self.router.is_in_idempotency_group_now(planned.request, planned.attempt)
            && self.is_usable_since(planned.picked, planned.member)
            && source.is_none_or(|source| self.is_usable_since(planned.picked, source))
            && !self.is_purged_since(planned.picked, request)
            && !(request.cacheable && self.lease_expired_since(now, planned.picked))
    }

    /// Whether a member is serving and no restart of it was notified since the attempt was picked.
    fn is_usable_since(&self, picked: Micros, member: MemberId) -> bool {
        self.is_serving(member) && self.router.start_was_known(member, picked)
    }

    /// Whether a purge of the request's object was, or may have been, notified since the attempt was picked.
    fn is_purged_since(&self, picked: Micros, request: &OpenRequest<W>) -> bool {
        // Purges dropped from the table are older than every attempt whose request has not timed out.
        let latest = self.purges.latest(request.object_hash, request.purge_group).max(self.purges.dropped());
        latest >= Some(picked)
    }

    /// Closes a request if the verdict is final.
    fn remove_if_final(
        &mut self,
        now: Micros,
        id: RequestId,
        verdict: Option<&Verdict>,
    ) -> Option<OpenRequest<W>> {
        if verdict.is_some_and(Verdict::is_final) { self.close(now, id) } else { None }
    }

    /// Closes a request. Frontends cancel its attempts in flight themselves. The end of each attempt is reported to the
    /// policies, which would otherwise count it as in flight forever.
    fn close(&mut self, now: Micros, id: RequestId) -> Option<OpenRequest<W>> {
        while let Some(in_flight) = self.open_requests.get(&id).and_then(|request| request.in_flight.first())
        {
            self.end_attempt(now, id, in_flight.attempt, Outcome::Cancelled.into());
        }
        self.open_requests.remove(&id)
    }

    /// Delivers a verdict to the request's waiter and closes the request if the verdict is final.
    fn deliver(&mut self, now: Micros, id: RequestId, verdict: Verdict) {
        if let Some(closed) = self.remove_if_final(now, id, Some(&verdict)) {
            closed.waiter.deliver(verdict);
        } else if let Some(request) = self.open_requests.get(&id) {
            request.waiter.deliver(verdict);
        }
    }

    /// Ends an attempt whose timeout has expired, if it is still in flight.
    fn time_out(&mut self, now: Micros, id: RequestId, attempt: u32) -> Option<Verdict> {
        if let Some(request) =
            self.open_requests.get(&id).filter(|request| request.attempt(attempt).is_some())
        {
            request.waiter.withdraw(attempt);
        }
        match self.end_attempt(now, id, attempt, Outcome::TimedOut.into()) {
            NextStep::Verdict(verdict) => Some(verdict),
            NextStep::Done | NextStep::Wait => None,
        }
    }

    /// Reports the end of an attempt that is still in flight to the policies.
    fn end_attempt(&mut self, now: Micros, id: RequestId, attempt: u32, report: AttemptReport) -> NextStep {
        let AttemptReport { outcome, detail, load } = report;
        let finished = matches!(outcome, Outcome::Served | Outcome::Checked);
        let Some(request) = self.open_requests.get_mut(&id) else { return NextStep::Wait };
        let Some(ended) = request.remove_attempt(attempt) else { return NextStep::Wait };
        if outcome.may_have_run() {
            request.record_possible_run(ended.picked_at);
        }
        let elapsed = now.saturating_sub(ended.picked_at);
        let member = ended.member;
        let event = Event::Outcome { request: id, member, attempt, outcome, detail, elapsed, finished, load };
        let verdict = self.apply(now, event);
        if finished {
            self.close(now, id);
            return NextStep::Done;
        }
        verdict.map_or(NextStep::Wait, NextStep::Verdict)
    }

    /// Applies an event to the policies and executes the resulting actions.
    fn apply(&mut self, now: Micros, event: Event) -> Option<Verdict> {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        let mut verdict = None;
        for action in actions {
            match action {
                Action::Attempt { request, member, timeout, fill } => {
                    verdict = self.start_attempt(now, request, member, timeout, fill).or(verdict);
                }
                Action::Refuse { backoff, .. } => verdict = Some(Verdict::Refused { backoff }),
                Action::Fail { .. } => verdict = Some(Verdict::Failed),
                Action::SetTimer { timer, after } => self.timers.set_policy(now + after, timer),
                // The frontend cancels the attempt itself when it receives the final verdict.
                Action::Cancel { request, attempt } => {
                    self.end_attempt(now, request, attempt, Outcome::Cancelled.into());
                }
            }
        }
        verdict
    }

    /// Records an attempt as in flight and sets its timeout. `None`: its request is not open.
    fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        member: MemberId,
        timeout: Micros,
        fill: Option<Fill>,
    ) -> Option<Verdict> {
        let request = self.open_requests.get_mut(&id)?;
        let attempt = request.attempt_count;
        request.attempt_count += 1;
        let payment = self.router.shared_retry_budget.take_payment();
        request.in_flight.push(InFlightAttempt { attempt, member, picked_at: now, payment });
        self.timers.set_attempt_timeout(now + timeout, id, attempt);
        let caller = request.caller.clone();
        Some(Verdict::Attempt(PlannedAttempt {
            request: id,
            attempt,
            member,
            timeout,
            fill,
            picked: now,
            caller,
        }))
    }
}
