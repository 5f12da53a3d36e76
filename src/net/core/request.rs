//! Runs one request: submits it to the broker, sends its attempts to stores, and reports their outcomes to the broker.

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

/// A request that is being served, in the coroutine of its client.
pub(super) struct RequestRun<'a> {
    pub(super) core: &'a Core,
    pub(super) id: RequestId,
    pub(super) work: &'a Work,
    /// `None` if no client connection can close meanwhile, as for a DNS lookup.
    pub(super) client: Option<&'a dyn Client>,
    /// Receives messages about this request from the broker, its timers and the store connections.
    pub(super) mailbox: &'a Mailbox,
    /// The receiving half of the mailbox.
    pub(super) messages: &'a mpsc::Receiver<Message>,
    pub(super) outstanding: OutstandingAttempts,
}

impl RequestRun<'_> {
    /// Serves the request, and returns as soon as its end is known.
    pub(super) fn run(mut self, request: Request, caller: &Arc<Caller>) -> RequestEnd {
        let core = self.core;
        let mut verdict = core.broker().pick(core.clock.now(), request, caller.clone(), self.mailbox.clone());
        let end = loop {
            match self.advance(verdict.take()) {
                ControlFlow::Continue(next) => verdict = next,
                ControlFlow::Break(end) => break end,
            }
        };
        let client_waited = !matches!(end, RequestEnd::Gone { .. });
        self.outstanding.withdraw_all(client_waited);
        end
    }

    /// Applies a verdict, sends the attempt that is due, and waits for the next message. Returns the verdict that the
    /// message carries or results in.
    fn advance(&mut self, verdict: Option<Verdict>) -> ControlFlow<RequestEnd, Option<Verdict>> {
        match verdict {
            Some(Verdict::Attempt(planned)) => self.outstanding.enqueue(planned),
            Some(Verdict::Refused { backoff }) => return ControlFlow::Break(RequestEnd::Refused(backoff)),
            Some(Verdict::Failed) => return ControlFlow::Break(RequestEnd::Failed),
            None => {}
        }
        if let Some(planned) = self.outstanding.next_due() {
            self.send_if_client_connected(planned)?;
        }
        match self.outstanding.receive(self.messages) {
            Some(message) => self.handle_message(message),
            None => ControlFlow::Continue(None),
        }
    }

    /// Checks the client connection again just before each attempt: the client may have disconnected since the last
    /// check, or before its request was read.
    fn send_if_client_connected(&mut self, planned: PlannedAttempt) -> ControlFlow<RequestEnd> {
        match self.check_client_presence() {
            Presence::Waiting => {
                let ticket = self.send(&planned);
                self.outstanding.record_sent(planned, ticket);
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
            Message::CheckPresence => {
                if self.check_client_presence() == Presence::Gone {
                    return ControlFlow::Break(self.abandon());
                }
            }
        }
        ControlFlow::Continue(None)
    }

    /// Reports the outcome of an attempt. A reply to an attempt that has been withdrawn is dropped.
    fn handle_reply(&mut self, attempt: u32, reply: Reply) -> ControlFlow<RequestEnd, Option<Verdict>> {
        let Some(SentAttempt { planned, ticket }) = self.outstanding.remove(attempt) else {
            return ControlFlow::Continue(None);
        };
        if reply.end == End::Reset {
            self.outstanding.delay_sending_by(ticket.kill_delay());
        }
        match self.report_end(&planned, &reply) {
            NextStep::Done if reply.end == End::Yes => ControlFlow::Break(RequestEnd::Checked(planned)),
            NextStep::Done => ControlFlow::Break(RequestEnd::Served(reply)),
            NextStep::Verdict(next) => ControlFlow::Continue(Some(next)),
            NextStep::Wait => ControlFlow::Continue(None),
        }
    }

    /// Checks the client connection, and records in the mailbox when the client was connected.
    fn check_client_presence(&self) -> Presence {
        let presence = self.client.map_or(Presence::Waiting, Client::presence);
        if presence == Presence::Waiting {
            self.mailbox.record_client_seen();
        }
        presence
    }

    /// Abandons the request because its client has disconnected.
    fn abandon(&self) -> RequestEnd {
        self.core.broker().abandon(self.core.clock.now(), self.id);
        RequestEnd::Gone { attempted: self.outstanding.has_sent() }
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

    /// Reports the outcome of an attempt to the broker.
    fn report_end(&self, planned: &PlannedAttempt, reply: &Reply) -> NextStep {
        let now = self.core.clock.now();
        let outcome = match (self.work, reply.end.outcome()) {
            (Work::Check, Outcome::Checked) => {
                return self.core.broker().report_health_check_passed(now, planned);
            }
            // A pull answer does not prove that a health check passed, nor does a health check answer serve a pull.
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
