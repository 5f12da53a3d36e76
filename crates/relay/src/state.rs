//! The relay's state machine behind a lock, and the pending polls.

use crate::chain::Chain;
use crate::clock::Clock;
use axum::http::HeaderValue;
use sagearch_feed::Micros;
use sagearch_feed::message::Poll;
use sagearch_feed::relay::{DueAnswer, InvalidPoll, PollReply, Relay, Session, SharedBody};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use tokio::sync::{Notify, oneshot};

/// The outcome of a poll.
#[derive(Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The poll is answered with this body.
    Answered(SharedBody),
    /// The poll is not admitted.
    Busy {
        /// The time after which the subscriber may retry.
        retry_after_ms: u64,
    },
    /// The poll is invalid.
    Invalid(InvalidPoll),
    /// The relay is shutting down; the subscriber should poll another relay.
    ShuttingDown,
}

/// Counters of the process, in addition to those of the state machine.
#[derive(Debug, Default)]
pub struct Counters {
    /// Polls answered 200.
    pub answers: AtomicU64,
    /// Total size of the bodies of polls answered 200.
    pub answer_bytes: AtomicU64,
    /// Bodies encoded for pending polls; polls with the same answer share one.
    pub bodies: AtomicU64,
    /// Polls answered 503.
    pub busy: AtomicU64,
    /// Polls answered 400.
    pub bad: AtomicU64,
    /// Polls of upstreams that failed or had an invalid answer.
    pub upstream_failures: AtomicU64,
    /// Answers of upstreams that were refused because of a loop of relays.
    pub loops_refused: AtomicU64,
    /// Reports of peer relays that were applied.
    pub reports_heard: AtomicU64,
    /// Failed attempts to fetch the report of a peer relay.
    pub report_failures: AtomicU64,
}

/// Adds to a counter. The ordering is relaxed because no other memory access depends on a counter.
pub fn increment(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

/// The part of the state that is protected by the lock.
pub struct LockedState {
    /// The relay's state machine.
    pub relay: Relay,
    /// The chain of relays from this one to the event bus, by the last applied answer.
    pub chain: Chain,
    /// The upstream of the last applied answer; `None` before the first one.
    pub upstream: Option<SocketAddr>,
    pending_polls: HashMap<Session, oneshot::Sender<PollOutcome>>,
    next_session: u64,
    /// The time of the ticker's next wakeup; `None` if none is scheduled.
    next_wakeup: Option<Micros>,
    shutting_down: bool,
}

/// State that is shared by all tasks of a relay.
pub struct State {
    /// The clock of all deadlines and leases.
    pub clock: Clock,
    /// The relay's name.
    pub name: String,
    /// The duration of a freshness lease.
    pub lease: Micros,
    /// Counters of the process.
    pub counters: Counters,
    locked: Mutex<LockedState>,
    chain_header: RwLock<HeaderValue>,
    /// Wakes the ticker before its scheduled time.
    pub ticker_wakeup: Notify,
}

impl State {
    /// The initial state of a relay.
    pub fn new(name: &str, lease: Micros, relay: Relay, clock: Clock) -> State {
        let chain = Chain::single(name);
        let chain_header = HeaderValue::try_from(chain.to_string()).unwrap_or(HeaderValue::from_static(""));
        let locked = LockedState {
            relay,
            chain,
            upstream: None,
            pending_polls: HashMap::new(),
            next_session: 1,
            next_wakeup: None,
            shutting_down: false,
        };
        State {
            clock,
            name: name.to_string(),
            lease,
            counters: Counters::default(),
            locked: Mutex::new(locked),
            chain_header: RwLock::new(chain_header),
            ticker_wakeup: Notify::new(),
        }
    }

    /// Locks the state. The lock is held for short, non-blocking operations only, never across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a poll, at once or when it is due. Dropping the future closes its session.
    pub async fn poll(self: &Arc<Self>, address: IpAddr, poll: Poll) -> PollOutcome {
        let (pending, receiver) = match self.start_poll(address, &poll) {
            StartedPoll::Completed(outcome) => return outcome,
            StartedPoll::Pending(pending, receiver) => (pending, receiver),
        };
        let outcome = receiver.await.unwrap_or(PollOutcome::ShuttingDown);
        drop(pending);
        outcome
    }

    fn start_poll(self: &Arc<Self>, address: IpAddr, poll: &Poll) -> StartedPoll {
        let mut locked = self.lock();
        if locked.shutting_down {
            return StartedPoll::Completed(PollOutcome::ShuttingDown);
        }
        let session = Session(locked.next_session);
        locked.next_session += 1;
        let now = self.clock.now();
        let reply = locked.relay.handle_poll(now, session, address, poll);
        let outcome = match reply {
            PollReply::Pending => {
                let (sender, receiver) = oneshot::channel();
                locked.pending_polls.insert(session, sender);
                self.wake_ticker(&locked);
                return StartedPoll::Pending(PendingPoll { state: self.clone(), session }, receiver);
            }
            PollReply::Answer(body) => PollOutcome::Answered(body),
            PollReply::Busy { retry_after_ms } => PollOutcome::Busy { retry_after_ms },
            PollReply::Invalid(cause) => PollOutcome::Invalid(cause),
        };
        locked.relay.session_closed(session);
        StartedPoll::Completed(outcome)
    }

    /// Answers the polls that are due. Returns the time of the next tick, or `None` if no pending poll has a deadline.
    pub fn tick(&self) -> Option<Micros> {
        let mut locked = self.lock();
        let now = self.clock.now();
        let due = locked.relay.tick(now);
        increment(&self.counters.bodies, distinct_bodies(&due));
        for DueAnswer { session, body } in due {
            if let Some(sender) = locked.pending_polls.remove(&session) {
                // A poll that was dropped meanwhile has closed its session itself.
                let _ = sender.send(PollOutcome::Answered(body));
            }
        }
        locked.next_wakeup = locked.relay.next_tick();
        locked.next_wakeup
    }

    /// Wakes the ticker if a poll is due before its scheduled wakeup. Must be called after each change of the state
    /// machine.
    pub fn wake_ticker(&self, locked: &LockedState) {
        let Some(next_tick) = locked.relay.next_tick() else { return };
        if locked.next_wakeup.is_none_or(|wakeup| next_tick < wakeup) {
            self.ticker_wakeup.notify_one();
        }
    }

    /// Ends all pending polls, and every later poll at once.
    pub fn shut_down(&self) {
        let mut locked = self.lock();
        locked.shutting_down = true;
        for (_, sender) in locked.pending_polls.drain() {
            let _ = sender.send(PollOutcome::ShuttingDown);
        }
    }

    /// Whether the relay is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.lock().shutting_down
    }

    /// The value of an answer's `Feed-Via` header: the chain of relays from this one to the event bus.
    pub fn chain_header(&self) -> HeaderValue {
        self.chain_header.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records the upstream and the relay chain of an answer that has been applied.
    pub fn set_upstream(&self, locked: &mut LockedState, upstream: SocketAddr, chain: Chain) {
        locked.upstream = Some(upstream);
        if locked.chain == chain {
            return;
        }
        if let Ok(header) = HeaderValue::try_from(chain.to_string()) {
            *self.chain_header.write().unwrap_or_else(PoisonError::into_inner) = header;
        }
        locked.chain = chain;
    }
}

/// The number of distinct bodies among answers that are due at the same time.
fn distinct_bodies(due: &[DueAnswer]) -> u64 {
    let bodies: HashSet<*const u8> = due.iter().map(|answer| answer.body.as_ptr()).collect();
    bodies.len() as u64
}

/// A poll after its start.
enum StartedPoll {
    Completed(PollOutcome),
    Pending(PendingPoll, oneshot::Receiver<PollOutcome>),
}

/// The session of a pending poll, which is closed when this guard is dropped.
struct PendingPoll {
    state: Arc<State>,
    session: Session,
}

impl Drop for PendingPoll {
    fn drop(&mut self) {
        let mut locked = self.state.lock();
        locked.pending_polls.remove(&self.session);
        locked.relay.session_closed(self.session);
    }
}
