//! One request from its entry into the broker to its end: its attempts are sent to stores, and what comes of them is
//! reported.

use super::Core;
use super::outstanding::{OutstandingAttempts, SentAttempt, source_of};
use crate::broker::{AttemptReport, NextStep, PlannedAttempt, Verdict};
use crate::interface::{Outcome, Request, RequestId};
use crate::net::mailbox::{Mailbox, Message};
use crate::net::service::{Client, Presence, RequestEnd, Work};
use crate::net::upstream::store::{End, Reply, Ticket};
use may::sync::mpsc;
use sagearch_identity::Caller;
use std::ops::ControlFlow;
use std::sync::Arc;

/// One request while it is served. It runs in the coroutine of its client.
pub(super) struct RequestRun<'a> {
    pub(super) core: &'a Core,
    pub(super) id: RequestId,
    pub(super) work: &'a Work,
    /// `None`: nobody is there who could leave, as with a DNS look-up.
    pub(super) client: Option<&'a dyn Client>,
    /// Where the broker, its timers and the connections to stores send what concerns this request.
    pub(super) mailbox: &'a Mailbox,
    /// The receiving side of the mailbox.
    pub(super) messages: &'a mpsc::Receiver<Message>,
    pub(super) outstanding: OutstandingAttempts,
}

impl RequestRun<'_> {
    /// Serves the request. Returns as soon as its end is known.
    pub(super) fn run(mut self, request: Request, caller: &Arc<Caller>) -> RequestEnd {
        let core = self.core;
        let mut verdict = core.broker().pick(core.clock.now(), request, caller.clone(), self.mailbox.clone());
        let end = loop {
            match self.advance(verdict.take()) {
                ControlFlow::Continue(next) => verdict = next,
                ControlFlow::Break(end) => break end,
            }
        };
        let client_waited = !matches!(end, RequestEnd::Gone);
        self.outstanding.kill_all(client_waited);
        end
    }

    /// Carries out a verdict, sends the attempt that is due, and waits for the next message. Returns the verdict that
    /// the message holds or leads to.
    fn advance(&mut self, verdict: Option<Verdict>) -> ControlFlow<RequestEnd, Option<Verdict>> {
        match verdict {
            Some(Verdict::Attempt(planned)) => self.outstanding.enqueue(planned),
            Some(Verdict::Refused { backoff }) => return ControlFlow::Break(RequestEnd::Refused(backoff)),
            Some(Verdict::Failed) => return ControlFlow::Break(RequestEnd::Failed),
            None => {}
        }
        if let Some(planned) = self.outstanding.next_due() {
            self.send_if_client_waits(planned)?;
        }
        match self.outstanding.receive(self.messages) {
            Some(message) => self.handle_message(message),
            None => ControlFlow::Continue(None),
        }
    }

    /// Looks at the client again just before each attempt: it may have left since the last look, or before its request
    /// was read.
    fn send_if_client_waits(&mut self, planned: PlannedAttempt) -> ControlFlow<RequestEnd> {
        match self.look_at_client() {
            Presence::Waiting => {
                let ticket = self.send(&planned);
                self.outstanding.note_sent(planned, ticket);
            }
            Presence::Sending => self.outstanding.postpone(planned),
            Presence::Gone => return ControlFlow::Break(self.abandon()),
        }
        ControlFlow::Continue(())
    }

    fn handle_message(&mut self, message: Message) -> ControlFlow<RequestEnd, Option<Verdict>> {
        match message {
            Message::Verdict(verdict) => return ControlFlow::Continue(Some(verdict)),
            Message::Withdraw(attempt) => self.outstanding.withdraw(attempt),
            Message::Reply { attempt, reply } => return self.handle_reply(attempt, reply),
            Message::Look => {
                if self.look_at_client() == Presence::Gone {
                    return ControlFlow::Break(self.abandon());
                }
            }
        }
        ControlFlow::Continue(None)
    }

    /// Reports the end of an attempt. The reply to an attempt that was withdrawn before is dropped.
    fn handle_reply(&mut self, attempt: u32, reply: Reply) -> ControlFlow<RequestEnd, Option<Verdict>> {
        let Some(SentAttempt { planned, ticket }) = self.outstanding.remove(attempt) else {
            return ControlFlow::Continue(None);
        };
        if reply.end == End::Reset {
            self.outstanding.hold_for(ticket.kill_delay());
        }
        match self.report_end(&planned, &reply) {
            NextStep::Done if reply.end == End::Yes => ControlFlow::Break(RequestEnd::Checked(planned)),
            NextStep::Done => ControlFlow::Break(RequestEnd::Served(reply)),
            NextStep::Verdict(next) => ControlFlow::Continue(Some(next)),
            NextStep::Wait => ControlFlow::Continue(None),
        }
    }

    /// Looks at the client, and notes in the mailbox that it was there.
    fn look_at_client(&self) -> Presence {
        let presence = self.client.map_or(Presence::Waiting, Client::presence);
        if presence == Presence::Waiting {
            self.mailbox.note_client_seen();
        }
        presence
    }

    /// Ends the request of a client that has left.
    fn abandon(&self) -> RequestEnd {
        self.core.broker().abandon(self.core.clock.now(), self.id);
        RequestEnd::Gone
    }

    fn send(&self, planned: &PlannedAttempt) -> Ticket<Mailbox> {
        let fill = planned.fill.unwrap_or_default();
        log::debug!(
            "{:016x} attempt {} to {:08x} from {:08x}, keep {}, held only {}, for {} ms",
            planned.request.0,
            planned.attempt,
            planned.member.0,
            source_of(planned),
            fill.cache_rank,
            fill.cached_only,
            planned.timeout / 1_000,
        );
        match self.work {
            Work::Pull(pull) => self.core.stores.pull(planned, pull, self.mailbox.clone()),
            Work::Check => self.core.stores.echo(planned, self.mailbox.clone()),
        }
    }

    /// Reports the end of an attempt to the broker.
    fn report_end(&self, planned: &PlannedAttempt, reply: &Reply) -> NextStep {
        let now = self.core.clock.now();
        let outcome = match (self.work, reply.end.outcome()) {
            (Work::Check, Outcome::Checked) => {
                return self.core.broker().report_health_check_passed(now, planned);
            }
            // The answer to a pull does not show that a check passed, nor the other way round.
            (Work::Check, Outcome::Served) | (Work::Pull(_), Outcome::Checked) => Outcome::Failed,
            (_, outcome) => outcome,
        };
        let report = AttemptReport { outcome, detail: reply.detail, load: reply.load() };
        log::debug!(
            "{:016x} attempt {} at {:08x} from {:08x}: {outcome:?} {:?} after {} ms for {}",
            planned.request.0,
            planned.attempt,
            planned.member.0,
            source_of(planned),
            report.detail,
            now.saturating_sub(planned.picked) / 1_000,
            planned.caller.tenant,
        );
        self.core.broker().report(now, planned.request, planned.attempt, report)
    }
}
