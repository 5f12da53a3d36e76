//! The two coroutines of a connection: the writer, which opens the connection and executes queued tasks, and the reader,
//! which delivers answers.

use super::answer::{AnswerParser, End};
use super::connection::{Connection, WriterTask};
use super::pull::Command;
use super::{LOG_TARGET, ReplyReceiver, Stores};
use crate::broker::PlannedAttempt;
use crate::net::io_error::{Call, Failure, Retries, set_nodelay};
use crate::net::{lock, spawn};
use may::net::TcpStream;
use may::sync::mpsc;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum number of retries of a connect that fails with a transient error.
const CONNECT_RETRIES: usize = 3;
/// The delay before a connect is retried.
const CONNECT_BACKOFF: Duration = Duration::from_millis(2);
/// A connection whose store accepts no bytes for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// An attempt with less time remaining is not sent, as the protocol counts whole milliseconds.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(1);
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// How long a writer waits for the requested check of a client connection.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a writer polls for the result of a client connection check.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The delay before a write is retried when the socket's send buffer is full.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(2);

impl<A: ReplyReceiver> Stores<A> {
    /// Runs the writer of a connection: opens the connection, and executes tasks until it is closed.
    pub(super) fn run(
        &self,
        conn: &Arc<Connection<A>>,
        address: SocketAddr,
        tasks: &mpsc::Receiver<WriterTask>,
    ) {
        let started = Instant::now();
        let stream = match connect(address, self.limits().connect_timeout) {
            Ok(stream) => stream,
            Err(e) => {
                log::debug!(target: LOG_TARGET, "store {address}: {e}");
                return conn.fail_all(&connect_failure(&e));
            }
        };
        {
            let mut state = lock(&conn.state);
            (state.last_received, state.stream) = (Instant::now(), Some(stream.clone()));
            state.connect_time = started.elapsed();
        }
        spawn_reader(conn.clone(), stream.clone(), address);
        while let Ok(task) = tasks.recv() {
            let written = match task {
                WriterTask::Close => break,
                WriterTask::Kill(id) => write_all(&stream, format!("KILL {id:016x}\r\n").as_bytes()),
                WriterTask::Send { planned, command } => {
                    self.write_attempt(conn, &stream, &planned, &command)
                }
            };
            if let Err(e) = written {
                log::debug!(target: LOG_TARGET, "store {address}: {e}");
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        conn.fail_all(&End::NotSent);
        lock(&conn.state).stream = None;
    }

    /// Writes an attempt if it may still be sent. Permission and remaining time are checked again before each try to write
    /// the first byte: opening the connection may have taken long, or the send buffer may be full for a while.
    fn write_attempt(
        &self,
        conn: &Connection<A>,
        stream: &TcpStream,
        planned: &PlannedAttempt,
        command: &Command,
    ) -> io::Result<()> {
        let started = Instant::now();
        loop {
            if !client_waits(conn, planned) {
                return Ok(());
            }
            // The store may have closed the idle connection before the reader has noticed it. An attempt that was not
            // written has certainly not run.
            if is_closed_by_store(stream) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let Some(remaining) = self.admit(conn, planned) else { return Ok(()) };
            let bytes = command.bytes(planned, remaining, |id| self.name(id));
            match stream.inner().write(&bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    conn.record_written(planned);
                    return write_all(stream, &bytes[written..]);
                }
                Err(e) if is_retryable(&e) && started.elapsed() < WRITE_TIMEOUT => {
                    may::coroutine::sleep(WRITE_RETRY_DELAY);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Returns the remaining time of an attempt that may be sent now. Otherwise ends the attempt as not sent and returns
    /// `None`. Drains and purges prevent the attempt until its first byte is written.
    fn admit(&self, conn: &Connection<A>, planned: &PlannedAttempt) -> Option<Duration> {
        let remaining = (self.admission_check)(planned).filter(|remaining| *remaining >= MIN_REMAINING_TIME);
        if remaining.is_none() {
            conn.end_unsent(planned);
        }
        remaining
    }
}

/// Whether an attempt is still pending and its client was recently seen to be connected. If the attempt was queued for
/// long or the process was suspended, this waits until the client connection has been checked again. If that takes too
/// long, the attempt is not sent.
fn client_waits<A: ReplyReceiver>(conn: &Connection<A>, planned: &PlannedAttempt) -> bool {
    let started = Instant::now();
    loop {
        match conn.client_seen_recently(planned) {
            Some(false) if started.elapsed() < PRESENCE_TIMEOUT => may::coroutine::sleep(POLL_INTERVAL),
            Some(false) => {
                conn.end_unsent(planned);
                return false;
            }
            seen => return seen.is_some(),
        }
    }
}

/// Opens a connection. Transient errors of this machine are retried until the timeout expires.
fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Arc<TcpStream>> {
    let started = Instant::now();
    let mut retries = 0;
    loop {
        let remaining = timeout.saturating_sub(started.elapsed());
        match TcpStream::connect_timeout(&address, remaining.max(CONNECT_BACKOFF)) {
            Ok(stream) => {
                set_nodelay(&stream);
                return Ok(Arc::new(stream));
            }
            Err(e) if retries < CONNECT_RETRIES && connect_failure(&e) == End::NotSent => {
                retries += 1;
                may::coroutine::sleep(CONNECT_BACKOFF);
            }
            Err(e) => return Err(e),
        }
    }
}

/// The end of attempts whose connection could not be opened. If this machine lacked a resource, the store was not
/// contacted, so the failure must not count against it.
pub(super) fn connect_failure(error: &io::Error) -> End {
    match Failure::of(Call::Connect, error) {
        Failure::Transient | Failure::LocalShortage(_) => End::NotSent,
        Failure::PeerRefused | Failure::Unreachable | Failure::Broken | Failure::Unexpected => {
            End::Unreachable
        }
    }
}

/// Starts the reader of a connection. When the reader ends, it stops the writer.
fn spawn_reader<A: ReplyReceiver>(conn: Arc<Connection<A>>, stream: Arc<TcpStream>, address: SocketAddr) {
    spawn(move || {
        if let Err(e) = read_answers(&conn, &stream) {
            log::debug!(target: LOG_TARGET, "store {address}: {e}");
        }
        // The store has closed the connection or sent a malformed answer: no further answer can be read. The connection
        // is closed before its attempts are ended, as they are retried elsewhere at once. Attempts that were not written
        // do not prove that the store is unreachable.
        let _ = stream.shutdown(Shutdown::Both);
        conn.fail_all(&End::NotSent);
        let _ = conn.queue.send(WriterTask::Close);
    });
}

fn read_answers<A: ReplyReceiver>(conn: &Connection<A>, stream: &TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let (mut parser, mut done) = (AnswerParser::default(), Vec::new());
    let mut retries = Retries::of(Call::Read);
    loop {
        let read = match stream.inner().read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(read) => read,
            Err(e) => {
                retries.wait(stream, e)?;
                continue;
            }
        };
        retries = Retries::of(Call::Read);
        let parsed = parser.push(&buffer[..read], &mut done);
        {
            let mut state = lock(&conn.state);
            (state.last_received, state.answer_incomplete) = (Instant::now(), parser.is_answer_incomplete());
        }
        for answer in done.drain(..) {
            conn.deliver(answer.id, answer.reply);
        }
        parsed.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    }
}

/// Whether a failed read or write may be retried because the connection is intact.
fn is_retryable(error: &io::Error) -> bool {
    matches!(Failure::of(Call::Write, error), Failure::Transient | Failure::LocalShortage(_))
}

/// Whether the store has closed or reset the connection and no received bytes remain to be read.
fn is_closed_by_store(stream: &TcpStream) -> bool {
    match stream.inner().peek(&mut [0]) {
        Ok(read) => read == 0,
        Err(e) => !is_retryable(&e),
    }
}

/// Writes all bytes. The reader waits for events of the same socket, so a full send buffer, which is rare, is polled.
fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    let started = Instant::now();
    while !bytes.is_empty() {
        match stream.inner().write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(e) if is_retryable(&e) && started.elapsed() < WRITE_TIMEOUT => {
                may::coroutine::sleep(WRITE_RETRY_DELAY);
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
