//! One client's connection: reads, writes, its presence, and its end.

use super::buffer_budget::BufferShare;
use super::entry::ReadingFlag;
use super::{Clients, ConnectionState, SHORT_PAUSE};
use crate::net::frontend::arrivals::Arrivals;
use crate::net::frontend::tls::Secure;
use crate::net::io_error::{Call, InputWait, Retries};
use crate::net::lock;
use crate::net::service::{Client, Presence};
use may::net::TcpStream;
use sagearch_identity::Presented;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How many bytes after the last answer are read and discarded at most. A close with unread input would reset the
/// connection, and that can destroy the answer.
const MAX_DRAINED_BYTES: usize = 80_000_000;
/// After this many reads in a row the coroutine lets others run.
const READS_PER_TURN: usize = 16;
/// The size of a read, in bytes.
pub(in crate::net) const READ_BYTES: usize = 4 * 1024;
/// After this many reads and requests without a wait the coroutine lets others run.
const STEPS_PER_TURN: u32 = 32;
/// Memory per byte of a body: it is there once more while it is written to a store.
const BYTES_PER_BODY_BYTE: usize = 2;
/// For how long a body waits for memory that other clients have.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(100);
/// How many bytes are kept of what comes while a request is in flight: a second request, with the largest head and the
/// largest body. A client that sends more is disconnected after its answer, and the rest is discarded.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// The size of a read that is discarded, in bytes.
const FLOOD_READ_BYTES: usize = 64 * 1024;

/// A connection as its own coroutine uses it. Dropped, it is removed from the table.
pub(in crate::net) struct Connection<'a> {
    /// The table.
    pub clients: &'a Clients,
    /// Its number in the table.
    pub(super) number: u64,
    /// Its socket.
    pub stream: Arc<TcpStream>,
    /// Its TLS session; `None`: it speaks plain HTTP.
    pub secure: Option<Arc<Secure>>,
    /// What came while a request was in flight.
    pub(super) pipelined: RefCell<Pipelined>,
    /// The memory for bodies and for what came while a request was in flight.
    pub(super) buffered: RefCell<BufferShare>,
    /// Reads and requests since the coroutine last waited.
    pub(super) steps: Cell<u32>,
    /// When that came.
    pub(super) pipelined_arrivals: RefCell<Arrivals>,
    /// Shared with its entry in the table.
    pub(super) reading: Arc<ReadingFlag>,
}

/// What a client has sent while a request was in flight.
pub(super) enum Pipelined {
    /// At most [`MAX_PIPELINED_BYTES`].
    Bytes(Vec<u8>),
    /// More than that; it is not kept.
    TooMuch,
}

impl Default for Pipelined {
    fn default() -> Pipelined {
        Pipelined::Bytes(Vec::new())
    }
}

impl Pipelined {
    /// Appends what a client has sent. `false`: it is discarded.
    fn append(&mut self, read: &[u8]) -> bool {
        match self {
            Pipelined::Bytes(bytes) if bytes.len() + read.len() <= MAX_PIPELINED_BYTES => {
                bytes.extend_from_slice(read);
                true
            }
            _ => false,
        }
    }
}

impl Client for Connection<'_> {
    /// The end of the stream counts as leaving, also a half-close (docs/questions.md). It can only be seen once all that
    /// came before it is read: otherwise a client that sends more and then closes would never be seen to have left.
    fn presence(&self) -> Presence {
        let (mut chunk, mut flood) = ([0; READ_BYTES], Vec::new());
        let mut pipelined = self.pipelined.borrow_mut();
        let mut retries = Retries::of(Call::Read);
        for _ in 0..READS_PER_TURN {
            // What exceeds the bound is discarded, with larger reads so that it is read as fast as it comes.
            let flooded = matches!(*pipelined, Pipelined::TooMuch);
            if flooded {
                flood.resize(FLOOD_READ_BYTES, 0);
            }
            let buffer: &mut [u8] = if flooded { &mut flood } else { &mut chunk };
            let read = match &self.secure {
                Some(secure) => secure.try_read(&self.stream, buffer),
                None => self.stream.inner().read(buffer),
            };
            match read {
                Ok(0) => return Presence::Gone,
                Ok(read) if self.grow_buffers(read) && pipelined.append(&buffer[..read]) => {
                    self.pipelined_arrivals.borrow_mut().note(read, Instant::now());
                }
                Ok(_) => *pipelined = Pipelined::TooMuch,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Presence::Waiting,
                Err(e) if retries.is_connection_broken(&e) => return Presence::Gone,
                Err(_) => {}
            }
        }
        Presence::Sending
    }
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        lock(&self.clients.entries).remove(&self.number);
    }
}

impl Connection<'_> {
    /// Changes the state, and starts its timeout.
    pub(in crate::net) fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = lock(&self.clients.entries).get_mut(&self.number) {
            entry.enter(state, Instant::now());
        }
    }

    /// Notes that the first bytes of a request have come. The timeout of a first request keeps counting from when its
    /// connection was accepted.
    pub(in crate::net) fn begin_request(&self) {
        if let Some(entry) = lock(&self.clients.entries).get_mut(&self.number) {
            match entry.state {
                ConnectionState::Idle => entry.enter(ConnectionState::Receiving, Instant::now()),
                ConnectionState::New => entry.state = ConnectionState::Receiving,
                _ => {}
            }
            self.reading.set(false);
        }
    }

    /// Begins to serve a complete request. Connections are shut under the same lock, so that one of the two comes first.
    ///
    /// # Errors
    /// The state of a connection that was shut, or whose wait was ended, before: the request must not be served.
    pub(in crate::net) fn take_request(&self) -> Result<(), ConnectionState> {
        let mut entries = lock(&self.clients.entries);
        let Some(entry) = entries.get_mut(&self.number) else { return Err(ConnectionState::Shut) };
        if matches!(entry.state, ConnectionState::Overdue | ConnectionState::Shut) {
            return Err(entry.state);
        }
        entry.enter(ConnectionState::Open, Instant::now());
        Ok(())
    }

    /// Takes memory for more bytes that come while a request is in flight.
    fn grow_buffers(&self, bytes: usize) -> bool {
        let mut buffered = self.buffered.borrow_mut();
        let grown = buffered.bytes().saturating_add(bytes);
        buffered.resize(grown)
    }

    /// Takes memory for a request with a body. Where there is none, clients that are slower make room, or the request must be
    /// rejected: then the result is `false`.
    pub(in crate::net) fn reserve_body(&self, request_bytes: usize) -> bool {
        let needed = request_bytes * BYTES_PER_BODY_BYTE;
        let started = Instant::now();
        loop {
            let mut buffered = self.buffered.borrow_mut();
            if buffered.bytes() >= needed || buffered.resize(needed) {
                return true;
            }
            drop(buffered);
            if started.elapsed() > BUFFER_TIMEOUT
                || self.is_overdue()
                || !self.clients.evict_receiving(self.number)
            {
                return false;
            }
            may::coroutine::sleep(SHORT_PAUSE);
        }
    }

    /// Frees memory but for so many bytes that are not used yet.
    pub(in crate::net) fn release_buffers(&self, unused_bytes: usize) {
        let mut buffered = self.buffered.borrow_mut();
        let kept = buffered.bytes().min(unused_bytes);
        buffered.resize(kept);
    }

    /// Counts a read or a request. Lets other coroutines run after many without a wait: a client that sends as fast as it is
    /// served would otherwise keep the thread for itself.
    pub(in crate::net) fn count_step(&self) {
        let steps = self.steps.get() + 1;
        self.steps.set(steps % STEPS_PER_TURN);
        if steps == STEPS_PER_TURN {
            may::coroutine::sleep(SHORT_PAUSE);
        }
    }

    /// Takes what came while a request was in flight; `None`: more than a client may send.
    pub(in crate::net) fn take_pipelined(&self) -> Option<Vec<u8>> {
        match self.pipelined.take() {
            Pipelined::Bytes(bytes) => Some(bytes),
            Pipelined::TooMuch => None,
        }
    }

    /// Takes when that came.
    pub(in crate::net) fn take_pipelined_arrivals(&self) -> Arrivals {
        self.pipelined_arrivals.take()
    }

    /// Writes a head and a body. A client that does not read them is closed by [`Clients::sweep`].
    pub(in crate::net) fn send(&self, parts: [&[u8]; 2]) -> io::Result<()> {
        self.set_state(ConnectionState::Writing);
        if let Some(secure) = &self.secure {
            return parts.into_iter().try_for_each(|bytes| secure.write(&self.stream, bytes));
        }
        for mut bytes in parts {
            let mut retries = Retries::of(Call::Write);
            while !bytes.is_empty() {
                match self.stream.inner().write(bytes) {
                    Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                    Ok(written) => bytes = &bytes[written..],
                    Err(e) => retries.wait(&self.stream, e)?,
                }
            }
        }
        Ok(())
    }

    /// Reads. 0: the client has closed the connection, or the wait for its request was ended.
    pub(in crate::net) fn read(&self, chunk: &mut [u8]) -> io::Result<usize> {
        self.count_step();
        self.reading.set(true);
        match &self.secure {
            Some(secure) => secure.read(&self.stream, chunk, &|retries, e| self.wait_for_input(retries, e)),
            None => self.read_raw(chunk),
        }
    }

    /// Waits after a read that has failed, until there may be something to read.
    ///
    /// # Errors
    /// The failure of the read, where the connection is broken.
    fn wait_for_input(&self, retries: &mut Retries, error: io::Error) -> io::Result<InputWait> {
        if self.is_overdue() {
            return Ok(InputWait::TimedOut);
        }
        self.reading.set(false);
        self.steps.set(0);
        let waited = retries.wait(&self.stream, error);
        self.reading.set(true);
        waited.map(|()| InputWait::Continue)
    }

    fn is_overdue(&self) -> bool {
        let entries = lock(&self.clients.entries);
        entries.get(&self.number).is_some_and(|entry| entry.state == ConnectionState::Overdue)
    }

    /// The certificate that the client has presented.
    pub(in crate::net) fn presented(&self) -> Option<&Presented> {
        self.secure.as_ref().and_then(|secure| secure.presented())
    }

    fn read_raw(&self, chunk: &mut [u8]) -> io::Result<usize> {
        let mut retries = Retries::of(Call::Read);
        loop {
            match self.stream.inner().read(chunk) {
                Ok(read) => return Ok(read),
                Err(e) => match self.wait_for_input(&mut retries, e)? {
                    InputWait::TimedOut => return Ok(0),
                    InputWait::Continue => {}
                },
            }
        }
    }

    /// Ends the connection after its last answer, in such a way that the client can read that answer.
    pub(in crate::net) fn end(&self, chunk: &mut [u8]) -> io::Result<()> {
        self.set_state(ConnectionState::Draining);
        if let Some(secure) = &self.secure {
            secure.close(&self.stream)?;
        }
        self.stream.shutdown(Shutdown::Write)?;
        self.discard_input(chunk)
    }

    /// Reads and discards what still comes, until the client closes the connection.
    pub(in crate::net) fn discard_input(&self, chunk: &mut [u8]) -> io::Result<()> {
        let (mut discarded_bytes, mut reads) = (0, 0);
        while discarded_bytes < MAX_DRAINED_BYTES {
            // What is discarded need not be decrypted.
            let read = self.read_raw(chunk)?;
            if read == 0 {
                break;
            }
            (discarded_bytes, reads) = (discarded_bytes + read, reads + 1);
            if reads % READS_PER_TURN == 0 {
                may::coroutine::sleep(SHORT_PAUSE);
            }
        }
        Ok(())
    }
}
