//! Incoming connections: peers send messages of Raft, operators propose documents.

use super::LOG_TARGET;
use super::frame::{Frame, FrameError, read_frame, write_frame};
use super::input::Input;
use super::peers::MESSAGE;
use super::proposals::{self, AGREED, Check, DriverStopped, PROPOSAL, REFUSED};
use protobuf::{Message as _, ProtobufError};
use raft::eraftpb::Message;
use sagearch_folder::Backoff;
use sagearch_operators::files::PARSER_STACK_BYTES;
use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// How many connections may be open; further ones are closed.
const MAX_CONNECTIONS: usize = 32;

/// The first and the longest pause after a failed `accept`.
const FIRST_ACCEPT_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// So many failures of `accept` in a row are logged once.
const LOGGED_ACCEPT_FAILURES: u32 = 5;

/// Why a connection is closed.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Message(#[from] ProtobufError),
    #[error("a message of an unknown instance")]
    UnknownPeer,
    #[error("a frame of unknown kind")]
    UnknownKind,
    #[error(transparent)]
    Stopped(#[from] DriverStopped),
}

/// The open connections, so that they can be closed when the instance stops.
#[derive(Default)]
pub struct OpenConnections(Mutex<Vec<TcpStream>>);

impl OpenConnections {
    /// Adds a connection, unless too many are open. Those that have ended are removed first.
    fn add(&self, stream: TcpStream) -> bool {
        let mut open = self.lock();
        open.retain(is_open);
        let admitted = open.len() < MAX_CONNECTIONS;
        if admitted {
            open.push(stream);
        }
        admitted
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        for stream in self.lock().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_open(stream: &TcpStream) -> bool {
    stream.peer_addr().is_ok() && stream.take_error().is_ok_and(|error| error.is_none())
}

/// Accepts connections until the instance stops.
pub fn accept(
    listener: &TcpListener,
    handler: &Arc<ConnectionHandler>,
    open: &OpenConnections,
    stop: &AtomicBool,
) {
    let mut failures = AcceptFailures::default();
    for stream in listener.incoming() {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let stream = match stream {
            Ok(stream) => stream,
            Err(error) => {
                failures.wait_after(&error);
                continue;
            }
        };
        failures = AcceptFailures::default();
        let Ok(copy) = stream.try_clone() else { continue };
        if !open.add(copy) {
            continue;
        }
        let handler = handler.clone();
        let serve = move || {
            if let Err(error) = handler.serve(&stream) {
                log::debug!(target: LOG_TARGET, "raft: {error}");
            }
            let _ = stream.shutdown(Shutdown::Both);
        };
        let thread = thread::Builder::new().name("raft-connection".into()).stack_size(PARSER_STACK_BYTES);
        if let Err(error) = thread.spawn(serve) {
            log::warn!(target: LOG_TARGET, "raft: a connection is closed, as no thread can be started: {error}");
        }
    }
}

/// Failures of `accept` in a row.
struct AcceptFailures {
    count: u32,
    backoff: Backoff,
}

impl Default for AcceptFailures {
    fn default() -> AcceptFailures {
        AcceptFailures { count: 0, backoff: Backoff::new(FIRST_ACCEPT_PAUSE, LONGEST_ACCEPT_PAUSE) }
    }
}

impl AcceptFailures {
    /// Waits before the next attempt: a shortage, as of descriptors, makes `accept` fail at once for as long as it lasts.
    fn wait_after(&mut self, error: &io::Error) {
        self.count = self.count.saturating_add(1);
        if self.count == LOGGED_ACCEPT_FAILURES {
            log::warn!(target: LOG_TARGET, "raft: accept: {error}");
        }
        thread::sleep(self.backoff.pause());
    }
}

/// What all connections share.
pub struct ConnectionHandler {
    /// This instance's id.
    pub own: u64,
    /// The ids of the peers.
    pub peers: BTreeSet<u64>,
    /// Checks proposed documents.
    pub check: Check,
    /// To the driver.
    pub inputs: Sender<Input>,
}

impl ConnectionHandler {
    /// Serves a connection until it fails or ends.
    fn serve(&self, mut stream: &TcpStream) -> Result<(), ConnectionError> {
        loop {
            let Frame { kind, content } = read_frame(&mut stream)?;
            match kind {
                MESSAGE => self.receive_message(&content)?,
                PROPOSAL => self.answer_proposal(stream, content)?,
                _ => return Err(ConnectionError::UnknownKind),
            }
        }
    }

    fn receive_message(&self, content: &[u8]) -> Result<(), ConnectionError> {
        let message = Message::parse_from_bytes(content)?;
        if message.to != self.own || !self.peers.contains(&message.from) {
            return Err(ConnectionError::UnknownPeer);
        }
        self.inputs.send(Input::Message(message)).map_err(|_| DriverStopped)?;
        Ok(())
    }

    fn answer_proposal(&self, mut stream: &TcpStream, document: Vec<u8>) -> Result<(), ConnectionError> {
        let outcome = match proposals::validate(&document, &self.check) {
            Ok(()) => proposals::submit(document, &self.inputs)?,
            invalid => invalid,
        };
        match outcome {
            Ok(()) => write_frame(&mut stream, AGREED, b"")?,
            Err(cause) => write_frame(&mut stream, REFUSED, cause.to_string().as_bytes())?,
        }
        Ok(())
    }
}
