//! The table of clients that are connected: who may stay, who makes way, and what each connection is at.

use super::lock;
use super::service::{Client, ConnectionDraining};
use super::tls::Secure;
use may::io::WaitIo;
use may::net::TcpStream;
use sagearch_identity::Presented;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A first request must be whole this long after its connection came, and a later one this long after its
/// first byte, however its bytes drip in. Those who never get there are owed an end within 3 s.
const SLOWEST: Duration = Duration::from_millis(2_400);
/// Usual clients close after 4 s without a request. Others ask once and hold their connection for good.
pub(super) const IDLE: Duration = Duration::from_secs(5);
/// A client that takes no answer for this long is closed.
const WRITE_STUCK: Duration = Duration::from_secs(5);
/// What still comes from a client after its last answer is read and dropped: closed with unread input, the
/// connection would be reset, and that can destroy the answer. Within these bounds.
const DRAIN: Duration = Duration::from_secs(2);
const MOST_DRAINED: usize = 80_000_000;
/// A client that sends at full speed is left for a moment after so many reads: others want the worker too.
const READS_AT_ONCE: usize = 16;
pub(super) const MOMENT: Duration = Duration::from_millis(1);
/// Usual clients send as soon as they are connected: one that has not after this goes first when the table
/// is full.
const SILENT: Duration = Duration::from_millis(100);
/// Ids of answered requests that are remembered: a repeat of one is no new request.
const ANSWERED_KEPT: usize = 4_096;

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Its TLS handshake is under way, for so long at most.
    Shaking(Duration),
    /// No request has been whole yet on it, or one has begun.
    Asking,
    /// A request is open.
    Open,
    Writing,
    Idle,
    /// Its last answer is written.
    Draining,
}

impl ConnectionState {
    fn longest(self) -> Option<Duration> {
        match self {
            ConnectionState::Shaking(within) => Some(within),
            ConnectionState::Asking => Some(SLOWEST),
            ConnectionState::Open => None,
            ConnectionState::Writing => Some(WRITE_STUCK),
            ConnectionState::Idle => Some(IDLE),
            ConnectionState::Draining => Some(DRAIN),
        }
    }
}

struct Entry {
    stream: Arc<TcpStream>,
    secure: Option<Arc<Secure>>,
    at: ConnectionState,
    since: Instant,
}

/// The clients that are connected. A full table makes room by closing who has been idle longest; only where
/// all have a request open is a new one refused.
pub struct Clients {
    entries: Mutex<BTreeMap<u64, Entry>>,
    next: AtomicU64,
    most: usize,
    /// A lower bound that operators state; `MAX`: none.
    stated: AtomicUsize,
    /// Places that are not to be had now: during an upgrade the other process of this gateway holds them.
    taken: AtomicUsize,
    /// Clients that are told of the full table.
    pub(super) refusing: Arc<AtomicUsize>,
    pub(super) most_refusing: usize,
    answered: Mutex<(HashSet<u64>, VecDeque<u64>)>,
}

/// A client's place in the table, until it is dropped.
pub(super) struct Connection<'a> {
    pub clients: &'a Clients,
    number: u64,
    pub stream: Arc<TcpStream>,
    pub secure: Option<Arc<Secure>>,
}

impl Client for Connection<'_> {
    fn still_there(&self) -> bool {
        match &self.secure {
            Some(secure) => secure.still_there(&self.stream),
            None => match self.stream.inner().peek(&mut [0]) {
                Ok(read) => read > 0,
                Err(e) => matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
            },
        }
    }
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        lock(&self.clients.entries).remove(&self.number);
    }
}

impl Connection<'_> {
    pub(super) fn set_state(&self, at: ConnectionState) {
        if let Some(entry) = lock(&self.clients.entries).get_mut(&self.number) {
            (entry.at, entry.since) = (at, Instant::now());
        }
    }

    /// Writes a head and a body. A client that takes none of it for long is closed by [`Clients::sweep`].
    pub(super) fn send(&self, parts: [&[u8]; 2]) -> io::Result<()> {
        self.set_state(ConnectionState::Writing);
        if let Some(secure) = &self.secure {
            return parts.into_iter().try_for_each(|bytes| secure.write(&self.stream, bytes));
        }
        for mut bytes in parts {
            while !bytes.is_empty() {
                match self.stream.inner().write(bytes) {
                    Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                    Ok(written) => bytes = &bytes[written..],
                    Err(e) => self.wait(e)?,
                }
            }
        }
        Ok(())
    }

    /// 0: the client has closed, or its time is over.
    pub(super) fn read(&self, piece: &mut [u8]) -> io::Result<usize> {
        match &self.secure {
            Some(secure) => secure.read(&self.stream, piece),
            None => self.read_raw(piece),
        }
    }

    /// The certificate that its client has shown.
    pub(super) fn presented(&self) -> Option<&Presented> {
        self.secure.as_ref().and_then(|secure| secure.presented())
    }

    fn read_raw(&self, piece: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.inner().read(piece) {
                Ok(read) => return Ok(read),
                Err(e) => self.wait(e)?,
            }
        }
    }

    fn wait(&self, error: io::Error) -> io::Result<()> {
        match error.kind() {
            io::ErrorKind::WouldBlock => {
                self.stream.wait_io();
                Ok(())
            }
            io::ErrorKind::Interrupted => Ok(()),
            _ => Err(error),
        }
    }

    /// Ends the connection after its last answer, so that the client can read that.
    pub(super) fn end(&self, piece: &mut [u8]) -> io::Result<()> {
        self.set_state(ConnectionState::Draining);
        if let Some(secure) = &self.secure {
            secure.close(&self.stream)?;
        }
        self.stream.shutdown(Shutdown::Write)?;
        let (mut drained, mut reads) = (0, 0);
        while drained < MOST_DRAINED {
            // What is dropped need not be deciphered.
            let read = self.read_raw(piece)?;
            if read == 0 {
                break;
            }
            (drained, reads) = (drained + read, reads + 1);
            if reads % READS_AT_ONCE == 0 {
                may::coroutine::sleep(MOMENT);
            }
        }
        Ok(())
    }
}

impl Clients {
    /// `most` may be connected, and a few more are told that the table is full.
    pub fn new(most: usize, most_refusing: usize) -> Clients {
        Clients {
            entries: Mutex::default(),
            next: AtomicU64::new(0),
            most,
            stated: AtomicUsize::new(usize::MAX),
            taken: AtomicUsize::new(0),
            refusing: Arc::default(),
            most_refusing,
            answered: Mutex::default(),
        }
    }

    pub(super) fn register(
        &self,
        stream: Arc<TcpStream>,
        secure: Option<Arc<Secure>>,
        at: ConnectionState,
    ) -> Connection<'_> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let entry = Entry { stream: stream.clone(), secure: secure.clone(), at, since: Instant::now() };
        lock(&self.entries).insert(number, entry);
        Connection { clients: self, number, stream, secure }
    }

    /// How many clients are connected.
    pub fn connected(&self) -> usize {
        lock(&self.entries).len()
    }

    /// Bounds the table by what operators state, below what the descriptors allow.
    pub fn set_most(&self, stated: Option<usize>) {
        self.stated.store(stated.unwrap_or(usize::MAX), Ordering::Relaxed);
    }

    /// Takes places out of the table until it is told otherwise.
    pub fn take_places(&self, taken: usize) {
        self.taken.store(taken, Ordering::SeqCst);
    }

    pub(super) fn most(&self) -> usize {
        super::left_of(self.most, self.taken.load(Ordering::SeqCst)).min(self.stated.load(Ordering::Relaxed))
    }

    /// Room for one more: free already, or made by closing a connection that nobody waits on. Handshakes have a
    /// bound of their own, and beyond it the oldest of them makes way: begun and left, they take no place from
    /// clients that have been served.
    pub(super) fn room(&self, handshakes: Option<usize>) -> bool {
        let mut entries = lock(&self.entries);
        let shaking = |entry: &Entry| matches!(entry.at, ConnectionState::Shaking(_));
        let handshakes = handshakes.map(|most| most.min(self.most / 4).max(1));
        let crowded =
            handshakes.is_some_and(|most| entries.values().filter(|entry| shaking(entry)).count() >= most);
        if entries.len() < self.most() && !crowded {
            return true;
        }
        let now = Instant::now();
        let rank = |entry: &Entry| match entry.at {
            ConnectionState::Shaking(_) if crowded => Some(0),
            _ if crowded => None,
            ConnectionState::Draining if now - entry.since > SILENT => Some(0),
            ConnectionState::Shaking(_) | ConnectionState::Asking if now - entry.since > SILENT => Some(1),
            ConnectionState::Idle => Some(2),
            _ => None,
        };
        let first =
            entries.iter().filter_map(|(number, entry)| Some((rank(entry)?, entry.since, *number))).min();
        // Taken out at once: its coroutine wakes up to find its connection over.
        let closed = first.and_then(|(.., number)| entries.remove(&number));
        closed.is_some_and(|entry| entry.stream.shutdown(Shutdown::Both).is_ok())
    }

    /// Ends what has lasted too long, and connections without a request while the gateway sends its clients
    /// away.
    pub fn sweep(&self, draining: Option<ConnectionDraining>) {
        let now = Instant::now();
        let away = |entry: &Entry| match (entry.at, draining) {
            (ConnectionState::Idle, Some(draining)) => draining.since > draining.idle,
            (ConnectionState::Asking, Some(draining)) => {
                draining.since > draining.asking && now - entry.since > SILENT * 5
            }
            _ => false,
        };
        for entry in lock(&self.entries).values() {
            // A read from a handshake that lasts too long must not be taken for a client's end.
            if matches!(entry.at, ConnectionState::Shaking(within) if now - entry.since > within) {
                let _ = entry.stream.shutdown(Shutdown::Both);
                continue;
            }
            if entry.at.longest().is_some_and(|longest| now - entry.since > longest) || away(entry) {
                // Who has sent part of a request is still told so; all others are done with.
                let way = if entry.at == ConnectionState::Asking { Shutdown::Read } else { Shutdown::Both };
                let _ = entry.stream.shutdown(way);
            }
        }
    }

    /// Closes idle connections whose certificate stands for nobody any more, or will not for long: their clients
    /// open others with the one that they have by then.
    pub fn end_identities(&self, guard: &super::identity::Guard) {
        if !guard.is_on() {
            return;
        }
        let idle = |entry: &&Entry| entry.at == ConnectionState::Idle;
        let held: Vec<(Arc<TcpStream>, Arc<Secure>)> = lock(&self.entries)
            .values()
            .filter(idle)
            .filter_map(|entry| Some((entry.stream.clone(), entry.secure.clone()?)))
            .collect();
        for (stream, secure) in held {
            let over = |shown| guard.ends_soon(shown) || !guard.certificate_stands(shown);
            if secure.presented().is_some_and(over) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Whether an id belongs to a request that has been answered. Ids are new with every request.
    pub(super) fn was_answered(&self, id: u64) -> bool {
        lock(&self.answered).0.contains(&id)
    }

    /// Ids that have been answered.
    pub fn answered_ids(&self) -> Vec<u64> {
        lock(&self.answered).1.iter().copied().collect()
    }

    /// An id has been used.
    pub fn answered(&self, id: u64) {
        let (known, order) = &mut *lock(&self.answered);
        if known.insert(id) {
            order.push_back(id);
        }
        if order.len() > ANSWERED_KEPT {
            order.pop_front().map(|old| known.remove(&old));
        }
    }
}
