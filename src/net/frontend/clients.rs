//! The table of client connections. `connection` serves one of them; `eviction` makes capacity where there is none left;
//! `expiry` ends connections by timeouts and draining.

mod buffer_budget;
mod connection;
mod connection_state;
mod entry;
mod eviction;
mod expiry;

pub(in crate::net) use connection::{Connection, READ_BYTES};
pub(in crate::net) use connection_state::{ConnectionState, IDLE_TIMEOUT};

use crate::net::frontend::tls::Secure;
use crate::net::lock;
use buffer_budget::BufferBudget;
use entry::Entry;
use may::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The shortest pause of a coroutine that lets others run, or tries again.
pub(in crate::net) const SHORT_PAUSE: Duration = Duration::from_millis(1);

/// The client connections. A full table evicts the one that has been idle longest; only where all have a request in
/// flight is a new one rejected.
pub struct Clients {
    /// The connections by their numbers, in the order in which they were accepted.
    entries: Mutex<BTreeMap<u64, Entry>>,
    next_number: AtomicU64,
    /// How many connections the descriptors and the memory of the process allow.
    limit: usize,
    /// A lower limit that operators configure; [`usize::MAX`]: none.
    configured_limit: AtomicUsize,
    /// How many connections of the limit the other process of an upgrade has.
    reserved_elsewhere: AtomicUsize,
    /// How many clients are being rejected with an answer.
    pub(in crate::net) rejecting: Arc<AtomicUsize>,
    /// How many clients may be rejected with an answer at a time.
    pub(in crate::net) max_rejecting: usize,
    /// The memory for bodies, and for requests behind one in flight.
    buffers: Arc<BufferBudget>,
}

impl Clients {
    /// `limit` may be connected, and `max_rejecting` more while they are rejected with an answer.
    pub fn new(limit: usize, max_rejecting: usize) -> Clients {
        Clients {
            entries: Mutex::default(),
            next_number: AtomicU64::new(0),
            limit,
            configured_limit: AtomicUsize::new(usize::MAX),
            reserved_elsewhere: AtomicUsize::new(0),
            rejecting: Arc::default(),
            max_rejecting,
            buffers: BufferBudget::new(usize::MAX),
        }
    }

    /// Limits the bytes that all clients together may fill with bodies, and with requests behind one in flight.
    #[must_use]
    pub fn with_buffer_limit(self, bytes: usize) -> Clients {
        Clients { buffers: BufferBudget::new(bytes), ..self }
    }

    /// Inserts a connection and returns its number, under which [`Clients::connection`] serves it. This is done as the
    /// connection is accepted: if its coroutine did it later, all connections of a burst would find capacity.
    pub(in crate::net) fn insert(&self, stream: Arc<TcpStream>, state: ConnectionState) -> u64 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let entry = Entry { stream, secure: None, state, since: Instant::now(), reading: Arc::default() };
        lock(&self.entries).insert(number, entry);
        number
    }

    /// Removes a connection that could not be served.
    pub(in crate::net) fn remove(&self, number: u64) {
        lock(&self.entries).remove(&number);
    }

    /// The handle by which the coroutine of an inserted connection serves it; `secure`: its TLS session.
    pub(in crate::net) fn connection(
        &self,
        number: u64,
        stream: Arc<TcpStream>,
        secure: Option<Arc<Secure>>,
    ) -> Connection<'_> {
        let mut reading = Arc::default();
        if let Some(entry) = lock(&self.entries).get_mut(&number) {
            entry.secure.clone_from(&secure);
            reading = entry.reading.clone();
        }
        Connection {
            clients: self,
            number,
            stream,
            secure,
            pipelined: RefCell::default(),
            buffered: RefCell::new(self.buffers.share()),
            steps: Cell::new(0),
            pipelined_arrivals: RefCell::default(),
            reading,
        }
    }

    /// Inserts a connection without TLS, and returns its handle.
    pub(in crate::net) fn open(&self, stream: Arc<TcpStream>, state: ConnectionState) -> Connection<'_> {
        self.connection(self.insert(stream.clone(), state), stream, None)
    }

    /// How many clients are connected.
    pub fn connected(&self) -> usize {
        lock(&self.entries).len()
    }

    /// Sets the limit that operators configure; `None`: only descriptors and memory limit the table.
    pub fn set_limit(&self, configured_limit: Option<usize>) {
        self.configured_limit.store(configured_limit.unwrap_or(usize::MAX), Ordering::Relaxed);
    }

    /// Lowers the limit by connections that the other process of an upgrade has, until the next call.
    pub fn reserve_elsewhere(&self, connections: usize) {
        self.reserved_elsewhere.store(connections, Ordering::SeqCst);
    }

    /// How many clients may be connected now.
    pub(in crate::net) fn limit(&self) -> usize {
        crate::net::remaining_budget(self.limit, self.reserved_elsewhere.load(Ordering::SeqCst))
            .min(self.configured_limit.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests;
