//! The client of the line protocol to stores, parents and the origin, over connections that can carry many requests.
//!
//! - `connection`: the state of a connection; `io`: its writer and reader coroutines;
//! - `pull`: encoding of commands; `answer`: parsing of answers.
//!
//! An attempt of which no byte was written never ran; one that was written and got no answer may have run.
//!
//! An answer that is malformed, truncated or missing makes its connection unusable for all attempts on it. Therefore each
//! attempt has a connection to itself as long as there are descriptors; only beyond that are attempts pipelined.

mod answer;
mod connection;
mod io;
mod pull;

pub use answer::{End, Reply};
pub use connection::Ticket;
pub use pull::Pull;

use crate::broker::PlannedAttempt;
use crate::interface::MemberId;
use crate::net::lock;
use connection::{Connection, ConnectionState, Pending, WriterTask};
use may::sync::mpsc;
use pull::Command;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The log target of these modules. Operators' log filters rely on it.
const LOG_TARGET: &str = "sagearch::net::upstream::store";
/// How long a removed store stays in the table.
const REMOVED_STORE_RETENTION: Duration = Duration::from_mins(1);
/// The idle timeout of store connections in a process that has handed over.
const HANDOVER_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum number of connections to one store, including retired ones that wait for their last answers.
const MAX_CONNECTIONS_PER_STORE: usize = 32;
/// Stores send an answer without pauses. An incomplete answer that receives no bytes for this long is not expected to
/// complete any more.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Receives replies to attempts.
pub trait ReplyReceiver: Clone + Send + 'static {
    /// Delivers the reply to an attempt. Never blocks.
    fn reply(&self, attempt: u32, reply: Reply);

    /// Whether the client was recently seen to be connected. If not, this requests a check of the client connection, and
    /// the caller is to call it again.
    fn client_seen_recently(&self) -> bool;
}

struct Store<A> {
    name: String,
    /// `None` if the endpoint list contains no usable address.
    address: Option<SocketAddr>,
    /// When the store was removed from the endpoint list or listed as gone; `None` while it is listed.
    removed: Option<Instant>,
    connections: Vec<Arc<Connection<A>>>,
}

/// A connection that accepts another attempt.
struct Candidate<A> {
    /// The number of pending attempts on the connection.
    pending: usize,
    connection: Arc<Connection<A>>,
}

impl<A> Store<A> {
    /// The connection with the fewest pending attempts among those that accept an attempt of request `id`. Among equally
    /// loaded ones it is the most recently used, so that surplus connections reach their idle timeout.
    fn least_loaded(&self, id: u64, max_pending: usize) -> Option<Candidate<A>> {
        let load_of = |connection: &Arc<Connection<A>>| {
            let state = lock(&connection.state);
            // An incomplete answer that no attempt waits for may never complete, and would block later answers.
            let is_blocked = state.answer_incomplete && state.pending.is_empty();
            let fits = !state.retired
                && !is_blocked
                && state.pending.len() < max_pending
                && !state.pending.contains_key(&id)
                && !state.ended_ids.contains(&id);
            fits.then_some((state.pending.len(), Reverse(state.last_used)))
        };
        let candidates =
            self.connections.iter().filter_map(|connection| Some((load_of(connection)?, connection)));
        let best = candidates.min_by_key(|(load, _)| *load);
        best.map(|((pending, _), connection)| Candidate { pending, connection: connection.clone() })
    }
}

/// Decides whether an attempt may be sent, just before its first byte is written. Returns the remaining time of the
/// attempt; `None` if it may not be sent any more.
pub type AdmissionCheck = Arc<dyn Fn(&PlannedAttempt) -> Option<Duration> + Send + Sync>;

/// Limits of store connections.
#[derive(Clone, Copy)]
pub struct Limits {
    /// The maximum number of pending attempts on one connection.
    pub max_pending: usize,
    /// The maximum number of connections to all stores together.
    pub max_connections: usize,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long a connection without attempts stays open.
    pub idle_timeout: Duration,
}

/// The table of all stores and their connections.
pub struct Stores<A> {
    table: Mutex<BTreeMap<MemberId, Store<A>>>,
    limits: Mutex<Limits>,
    admission_check: AdmissionCheck,
    /// The number of connections reserved for the other process of this gateway.
    reserved: AtomicUsize,
}

impl<A: ReplyReceiver> Stores<A> {
    /// Creates an empty table.
    pub fn new(limits: Limits, admission_check: AdmissionCheck) -> Arc<Self> {
        Arc::new(Stores {
            table: Mutex::default(),
            limits: Mutex::new(limits),
            admission_check,
            reserved: AtomicUsize::new(0),
        })
    }

    fn limits(&self) -> Limits {
        *lock(&self.limits)
    }

    /// Replaces the limits. They also apply to open connections.
    pub fn set_limits(&self, limits: Limits) {
        *lock(&self.limits) = limits;
    }

    /// Adds or updates a store of the endpoint list. Connections to its previous address accept no new attempts.
    pub fn upsert(&self, id: MemberId, name: &str, address: Option<SocketAddr>, removed: bool) {
        let mut table = lock(&self.table);
        let store = table.entry(id).or_insert_with(|| Store {
            name: name.into(),
            address,
            removed: None,
            connections: Vec::new(),
        });
        store.removed = removed.then(|| store.removed.unwrap_or_else(Instant::now));
        if address.is_some() && store.address != address {
            store.address = address;
            store.connections.iter().for_each(|conn| lock(&conn.state).retired = true);
        }
    }

    /// Marks all stores as removed. The complete endpoint list that follows restores those that it contains.
    pub fn mark_all_removed(&self) {
        let now = Instant::now();
        lock(&self.table).values_mut().for_each(|store| store.removed = store.removed.or(Some(now)));
    }

    /// The number of connections to all stores.
    pub fn connections(&self) -> usize {
        lock(&self.table).values().map(|store| store.connections.len()).sum()
    }

    /// Reserves connections for the other process of this gateway, until the next call.
    pub fn reserve_connections(&self, reserved: usize) {
        self.reserved.store(reserved, Ordering::SeqCst);
    }

    /// Whether a store of this name is in the table: listed, or removed a short time ago.
    pub fn knows(&self, name: &str) -> bool {
        lock(&self.table).values().any(|store| store.name == name)
    }

    /// The address of a store, if it is in the table and has one.
    pub fn address(&self, id: MemberId) -> Option<SocketAddr> {
        lock(&self.table).get(&id).and_then(|store| store.address)
    }

    /// The name of a store on the wire.
    fn name(&self, id: MemberId) -> Option<String> {
        lock(&self.table).get(&id).map(|store| store.name.clone())
    }

    /// Sends an attempt of a request. The reply is delivered to `receiver`.
    pub fn pull(self: &Arc<Self>, planned: &PlannedAttempt, pull: &Arc<Pull>, receiver: A) -> Ticket<A> {
        self.send(planned, Command::Pull(pull.clone()), receiver)
    }

    /// Sends a health check. The reply is delivered to `receiver`.
    pub fn echo(self: &Arc<Self>, planned: &PlannedAttempt, receiver: A) -> Ticket<A> {
        self.send(planned, Command::Echo, receiver)
    }

    fn send(self: &Arc<Self>, planned: &PlannedAttempt, command: Command, receiver: A) -> Ticket<A> {
        let id = planned.request.0;
        let sent = Instant::now();
        let Some(conn) = self.connection(planned.member, id) else {
            receiver.reply(planned.attempt, Reply::bare(End::NotSent));
            return Ticket { conn: None, id, sent };
        };
        {
            let mut state = lock(&conn.state);
            state.last_used = sent;
            let expected = command.expected();
            state
                .pending
                .insert(id, Pending { attempt: planned.attempt, receiver, written: false, expected });
        }
        let _ = conn.queue.send(WriterTask::Send { planned: planned.clone(), command });
        Ticket { conn: Some(conn), id, sent }
    }

    /// Selects a connection without pending attempts. If there is none, opens a new one, or without descriptors for that
    /// selects the one with the fewest pending attempts.
    fn connection(self: &Arc<Self>, member: MemberId, id: u64) -> Option<Arc<Connection<A>>> {
        let limits = self.limits();
        let mut table = lock(&self.table);
        let total: usize = table.values().map(|store| store.connections.len()).sum();
        let store = table.get_mut(&member)?;
        let best = store.least_loaded(id, limits.max_pending);
        // Descriptors are limited, and a store that does not answer must not use up the share of the others.
        let max_connections =
            crate::net::remaining_budget(limits.max_connections, self.reserved.load(Ordering::SeqCst));
        let may_open = total < max_connections
            && store.connections.len() < MAX_CONNECTIONS_PER_STORE.min(limits.max_connections)
            && store.address.is_some();
        match best {
            Some(Candidate { pending, connection }) if pending == 0 || !may_open => return Some(connection),
            _ if !may_open => return None,
            _ => {}
        }
        let address = store.address?;
        let (queue, tasks) = mpsc::channel();
        let state = Mutex::new(ConnectionState::new(Instant::now()));
        let connection = Arc::new(Connection { queue, state });
        store.connections.push(connection.clone());
        self.spawn_writer(member, connection.clone(), address, tasks);
        Some(connection)
    }

    /// Starts the writer of a new connection. The connection is removed from the table when the writer ends.
    fn spawn_writer(
        self: &Arc<Self>,
        member: MemberId,
        connection: Arc<Connection<A>>,
        address: SocketAddr,
        tasks: mpsc::Receiver<WriterTask>,
    ) {
        let stores = self.clone();
        crate::net::spawn(move || {
            stores.run(&connection, address, &tasks);
            if let Some(store) = lock(&stores.table).get_mut(&member) {
                store.connections.retain(|other| !Arc::ptr_eq(other, &connection));
            }
        });
    }

    /// Closes connections that have reached the idle timeout, that are retired and have no pending attempts, or whose
    /// incomplete answer has stalled. `handed_over` states that another process accepts the new connections.
    pub fn sweep(&self, handed_over: bool) {
        let now = Instant::now();
        // A process that has handed over needs few connections, and each that it keeps is one less for the other process.
        let idle = if handed_over { HANDOVER_IDLE_TIMEOUT } else { self.limits().idle_timeout };
        let mut close = Vec::new();
        {
            let mut table = lock(&self.table);
            for store in table.values_mut() {
                for conn in &store.connections {
                    let mut state = lock(&conn.state);
                    let expired = state.retired || store.removed.is_some() || now - state.last_used > idle;
                    if expired && state.pending.is_empty() {
                        state.retired = true;
                        close.push(conn.clone());
                    } else if state.answer_incomplete && now - state.last_received > STALL_TIMEOUT {
                        // The reader wakes up and ends all pending attempts.
                        let _ = state.stream.as_ref().map(|stream| stream.shutdown(Shutdown::Both));
                    }
                }
            }
            let is_remembered = |store: &Store<A>| {
                store.removed.is_none_or(|removed| now - removed < REMOVED_STORE_RETENTION)
            };
            table.retain(|_, store| is_remembered(store) || !store.connections.is_empty());
        }
        for conn in close {
            let _ = conn.queue.send(WriterTask::Close);
        }
    }
}

#[cfg(test)]
mod tests;
