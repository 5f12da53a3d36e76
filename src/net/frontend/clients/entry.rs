//! One connection in the table: what the table may do with it while its own coroutine serves it.

use super::ConnectionState;
use crate::net::frontend::tls::Secure;
use crate::net::io_error::{Call, Failure};
use may::io::WaitIo;
use may::net::TcpStream;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// One connection in the table.
pub(super) struct Entry {
    pub(super) stream: Arc<TcpStream>,
    /// Its TLS session; `None`: there is none, or not yet.
    pub(super) secure: Option<Arc<Secure>>,
    pub(super) state: ConnectionState,
    /// From when the timeout of its state counts.
    pub(super) since: Instant,
    pub(super) reading: Arc<ReadingFlag>,
}

/// Whether a connection's coroutine may have read bytes of a request that the connection's state does not show yet.
///
/// Coroutines that wake from a sleep run on another thread than those that wake for their socket, so the table may be swept
/// between a read and the state's change. The coroutine sets the flag before it reads, and clears it under the table's lock
/// once the state has changed, or before it waits.
#[derive(Debug, Default)]
pub(super) struct ReadingFlag(AtomicBool);

impl ReadingFlag {
    pub(super) fn set(&self, reading: bool) {
        self.0.store(reading, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

impl Entry {
    /// Changes the state, and starts its timeout.
    pub(super) fn enter(&mut self, state: ConnectionState, now: Instant) {
        (self.state, self.since) = (state, now);
    }

    /// Whether bytes have come that its state does not show yet: a connection that holds a request is not idle. Where the
    /// look fails for a reason of this machine, the answer is yes.
    pub(super) fn has_input(&self) -> bool {
        // In this order: bytes that are gone from the socket were read after the flag was set.
        self.has_unread() || self.reading.is_set()
    }

    fn has_unread(&self) -> bool {
        match self.stream.inner().peek(&mut [0]) {
            Ok(read) => read > 0,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => false,
            Err(e) => Failure::of(Call::Read, &e) != Failure::Broken,
        }
    }

    /// Ends a connection on which no answer is owed. Only its write side is shut: a close with unread input would reset
    /// the connection, and that can destroy the answer before. A request that crosses with this is read and discarded;
    /// its client sees the end of the stream, and retries on another connection.
    pub(super) fn shut(&mut self, now: Instant) {
        self.enter(ConnectionState::Shut, now);
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Ends the wait for the rest of a request. Its coroutine reads what has come, and answers 408.
    pub(super) fn end_request_wait(&mut self, now: Instant) {
        self.enter(ConnectionState::Overdue, now);
        self.stream.waker().wakeup();
    }
}
