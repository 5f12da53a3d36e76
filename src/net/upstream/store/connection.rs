//! The state of one connection: its pending attempts, and the request ids of attempts that have ended.

use super::ReplyReceiver;
use super::answer::{End, ExpectedAnswer, Reply};
use super::pull::Command;
use crate::broker::PlannedAttempt;
use crate::net::lock;
use may::net::TcpStream;
use may::sync::mpsc;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of ended request ids that a connection remembers, as answers to them may still arrive.
const MAX_ENDED_IDS: usize = 256;
/// The minimum time that a KILL is assumed to take to reach the store.
const MIN_KILL_DELAY: Duration = Duration::from_millis(10);
/// The maximum time that a KILL is assumed to take: opening a connection may take longer than a round trip.
const MAX_KILL_DELAY: Duration = Duration::from_millis(100);

/// A task for the writer of a connection.
pub(super) enum WriterTask {
    /// Send an attempt or a health check.
    Send { planned: PlannedAttempt, command: Command },
    /// Notify the store that the request with this id is cancelled.
    Kill(u64),
    /// Close the connection.
    Close,
}

/// An attempt or a health check that is pending on a connection.
pub(super) struct Pending<A> {
    pub attempt: u32,
    /// Receives the reply.
    pub receiver: A,
    /// Whether its first bytes have been written.
    pub written: bool,
    /// The kind of answer that it expects.
    pub expected: ExpectedAnswer,
}

/// State that the coroutines of a connection share with its users.
pub(super) struct ConnectionState<A> {
    /// Pending attempts, keyed by request id.
    pub pending: HashMap<u64, Pending<A>>,
    /// Request ids that were withdrawn or answered on this connection. A late or duplicate answer may still arrive, so
    /// another attempt with the same id uses another connection.
    pub ended_ids: VecDeque<u64>,
    /// Whether the connection accepts no new attempts.
    pub retired: bool,
    /// When an attempt was last queued on the connection.
    pub last_used: Instant,
    /// When bytes were last received.
    pub last_received: Instant,
    /// Whether an answer is received in part.
    pub answer_incomplete: bool,
    /// How long opening the connection took, which is at least one round trip.
    pub connect_time: Duration,
    /// The socket, once it is open. Reader and writer share one descriptor.
    pub stream: Option<Arc<TcpStream>>,
}

impl<A> ConnectionState<A> {
    /// Creates the state of a connection that is about to be opened.
    pub fn new(now: Instant) -> ConnectionState<A> {
        ConnectionState {
            pending: HashMap::new(),
            ended_ids: VecDeque::new(),
            retired: false,
            last_used: now,
            last_received: now,
            answer_incomplete: false,
            connect_time: Duration::ZERO,
            stream: None,
        }
    }

    /// The entry of an attempt that is still pending.
    fn pending_attempt(&mut self, planned: &PlannedAttempt) -> Option<&mut Pending<A>> {
        self.pending.get_mut(&planned.request.0).filter(|pending| pending.attempt == planned.attempt)
    }

    fn remember_ended(&mut self, id: u64) {
        if self.ended_ids.len() >= MAX_ENDED_IDS {
            self.ended_ids.pop_front();
        }
        self.ended_ids.push_back(id);
    }
}

/// A connection to a store: its state, and the task queue of its writer.
pub(super) struct Connection<A> {
    pub queue: mpsc::Sender<WriterTask>,
    pub state: Mutex<ConnectionState<A>>,
}

impl<A: ReplyReceiver> Connection<A> {
    /// Ends all pending attempts and retires the connection. Attempts that were written may have run and end as
    /// [`End::Reset`]; the others end as `unwritten`.
    pub fn fail_all(&self, unwritten: &End) {
        let ended: Vec<Pending<A>> = {
            let mut state = lock(&self.state);
            state.retired = true;
            state.pending.drain().map(|(_, pending)| pending).collect()
        };
        for pending in ended {
            let end = if pending.written { End::Reset } else { unwritten.clone() };
            pending.receiver.reply(pending.attempt, Reply::bare(end));
        }
    }

    /// Whether the client of an attempt was recently seen to be connected; `None` if the attempt is no longer pending.
    pub fn client_seen_recently(&self, planned: &PlannedAttempt) -> Option<bool> {
        lock(&self.state).pending_attempt(planned).map(|pending| pending.receiver.client_seen_recently())
    }

    /// Records that the first bytes of an attempt were written: it may run from now on.
    pub fn record_written(&self, planned: &PlannedAttempt) {
        if let Some(pending) = lock(&self.state).pending_attempt(planned) {
            pending.written = true;
        }
    }

    /// Ends an attempt as not sent, if it is still pending.
    pub fn end_unsent(&self, planned: &PlannedAttempt) {
        let waits = lock(&self.state).pending_attempt(planned).is_some();
        if waits {
            self.deliver(planned.request.0, Reply::bare(End::NotSent));
        }
    }

    /// Delivers an answer, if its attempt is still pending.
    pub fn deliver(&self, id: u64, reply: Reply) {
        let mut state = lock(&self.state);
        let Some(pending) = state.pending.remove(&id) else { return };
        state.remember_ended(id);
        drop(state);
        pending.receiver.reply(pending.attempt, Reply { end: pending.expected.end(reply.end), ..reply });
    }
}

/// A handle to an attempt that was queued on a connection, used to withdraw it.
pub struct Ticket<A> {
    pub(super) conn: Option<Arc<Connection<A>>>,
    pub(super) id: u64,
    pub(super) sent: Instant,
}

impl<A: ReplyReceiver> Ticket<A> {
    /// How long a KILL, or the close of the connection, may take to reach the store. An attempt that is sent on another
    /// connection before that could overtake it, and two attempts would run at once.
    pub fn kill_delay(&self) -> Duration {
        let connect_time = self.conn.as_ref().map_or(Duration::ZERO, |conn| lock(&conn.state).connect_time);
        connect_time.clamp(MIN_KILL_DELAY, MAX_KILL_DELAY)
    }

    /// Withdraws the attempt, and returns whether it had been written. `timed_out` states that no answer arrived in time.
    /// A connection that has received nothing since the attempt was sent may lead to a failed machine, so it accepts no
    /// new requests.
    pub fn kill(self, timed_out: bool) -> bool {
        let Some(conn) = self.conn else { return false };
        let mut state = lock(&conn.state);
        let Some(pending) = state.pending.remove(&self.id) else { return false };
        if timed_out && pending.written && state.last_received < self.sent {
            state.retired = true;
        }
        if pending.written {
            // This includes health checks: a late answer must not count as the answer to the next check with this id.
            state.remember_ended(self.id);
            drop(state);
            if pending.expected != ExpectedAnswer::Echo {
                let _ = conn.queue.send(WriterTask::Kill(self.id));
            }
        }
        pending.written
    }
}
