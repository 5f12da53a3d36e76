//! The attempts of one request that are in flight or queued.

use crate::broker::PlannedAttempt;
use crate::net::mailbox::{Mailbox, Message};
use crate::net::upstream::store::Ticket;
use may::sync::mpsc;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long an attempt is postponed while its client is still sending: the end of the stream may follow the data.
const PRESENCE_RECHECK_DELAY: Duration = Duration::from_millis(2);

/// An attempt that has been handed to a store connection.
pub(super) struct SentAttempt {
    pub(super) planned: PlannedAttempt,
    /// Withdraws the attempt.
    pub(super) ticket: Ticket<Mailbox>,
}

/// The attempts of one request that are in flight or queued.
pub(super) struct OutstandingAttempts {
    sent: Vec<SentAttempt>,
    /// Whether any attempt has been handed to a store connection so far.
    has_sent: bool,
    /// Attempts that are planned and not sent yet. The KILL of a withdrawn attempt may still be on its way to the store,
    /// and two attempts of a request must not run at once.
    queued: VecDeque<PlannedAttempt>,
    /// No attempt is sent before this time.
    not_before: Instant,
}

impl OutstandingAttempts {
    /// Creates an empty set of attempts, of which none is sent before `not_before`.
    pub(super) fn new(not_before: Instant) -> OutstandingAttempts {
        OutstandingAttempts { sent: Vec::new(), has_sent: false, queued: VecDeque::new(), not_before }
    }

    /// Queues an attempt.
    pub(super) fn enqueue(&mut self, planned: PlannedAttempt) {
        self.queued.push_back(planned);
    }

    /// Removes and returns the queued attempt that is due now.
    pub(super) fn next_due(&mut self) -> Option<PlannedAttempt> {
        if Instant::now() < self.not_before { None } else { self.queued.pop_front() }
    }

    /// Records that an attempt was handed to a store connection.
    pub(super) fn record_sent(&mut self, planned: PlannedAttempt, ticket: Ticket<Mailbox>) {
        self.sent.push(SentAttempt { planned, ticket });
        self.has_sent = true;
    }

    /// Whether any attempt has been handed to a store connection so far.
    pub(super) fn has_sent(&self) -> bool {
        self.has_sent
    }

    /// Puts an attempt back into the queue until its client connection is checked again.
    pub(super) fn postpone(&mut self, planned: PlannedAttempt) {
        self.queued.push_front(planned);
        self.delay_sending_by(PRESENCE_RECHECK_DELAY);
    }

    /// Delays the next attempt by this duration.
    pub(super) fn delay_sending_by(&mut self, delay: Duration) {
        self.not_before = Instant::now() + delay;
    }

    /// Waits for the next message. Returns `None` when a queued attempt is due.
    pub(super) fn receive(&self, messages: &mpsc::Receiver<Message>) -> Option<Message> {
        if self.queued.is_empty() {
            // This never fails: the request itself holds a sender.
            return messages.recv().ok();
        }
        messages.recv_timeout(self.not_before.saturating_duration_since(Instant::now())).ok()
    }

    /// Removes and returns an attempt that is in flight.
    pub(super) fn remove(&mut self, attempt: u32) -> Option<SentAttempt> {
        let position = self.sent.iter().position(|sent| sent.planned.attempt == attempt)?;
        Some(self.sent.remove(position))
    }

    /// Withdraws an attempt that has timed out, whether it is in flight or queued.
    pub(super) fn withdraw(&mut self, attempt: u32) {
        self.queued.retain(|planned| planned.attempt != attempt);
        let Some(SentAttempt { planned, ticket }) = self.remove(attempt) else { return };
        log::debug!(
            "{:016x} attempt {attempt} at {:08x} from {:08x}: given up",
            planned.request.0,
            planned.member.0,
            source_of(&planned),
        );
        let delay = ticket.kill_delay();
        if ticket.kill(true) {
            self.delay_sending_by(delay);
        }
    }

    /// Withdraws all attempts that are in flight. `client_waited` states that the client waited for their answers until
    /// now; a connection that has received nothing since an attempt was sent is then not used for further requests.
    pub(super) fn withdraw_all(self, client_waited: bool) {
        for sent in self.sent {
            sent.ticket.kill(client_waited);
        }
    }
}

/// The member id of the attempt's fill source, for logs; 0 if there is none.
pub(super) fn source_of(planned: &PlannedAttempt) -> u32 {
    planned.fill.and_then(|fill| fill.source).map_or(0, |source| source.0)
}
