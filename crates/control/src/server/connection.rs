//! A connection of a gateway or an operator: its TLS session and its queue of outgoing messages.

use super::error::ConnectionEnd;
use mio::net::TcpStream;
use rustls::ServerConnection;
use sagearch_stream::message::{Decoder, FromGateway, FromService, encode};
use sagearch_stream::service::Transfer;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

/// Time within which the TLS handshake must complete.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection with unwritten data and no write progress is dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Encoded bytes in the write buffer above which no further message is encoded.
const MAX_WRITE_BUFFER_BYTES: usize = 256 * 1024;
/// Entries that the queue of one connection may hold.
const MAX_QUEUED_ENTRIES: usize = 1_000;

/// Entry of the queue of outgoing messages.
pub(super) enum Outgoing {
    Message(FromService),
    Transfer(Box<Transfer>),
}

/// Result of reading from the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes were read, and more may be available.
    Bytes,
    /// No bytes are available now.
    WouldBlock,
}

/// Result of writing the encoded messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlushOutcome {
    /// All bytes are written, and the next messages can be encoded.
    All,
    /// The socket would block, or the handshake waits for the peer.
    Blocked,
}

/// Result of [`Connection::encode_queued`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EncodeOutcome {
    /// Whether any message was encoded.
    pub(super) has_messages: bool,
    /// Whether a transfer ended, with all its messages encoded.
    pub(super) transfer_written: bool,
}

/// Connection of a gateway or an operator.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) tls: ServerConnection,
    /// Whether the handshake is complete and the session was opened.
    pub(super) opened: bool,
    /// Whether the connection is to be closed once its queue is written.
    pub(super) closing: bool,
    decoder: Decoder,
    queue: VecDeque<Outgoing>,
    /// Write buffer of encoded messages.
    write_buffer: Vec<u8>,
    /// Bytes of `write_buffer` that were passed to TLS.
    encrypted_bytes: usize,
    accepted_at: Instant,
    /// Time of the last successful write, or at which the write buffer was last empty.
    last_progress: Instant,
}

impl Connection {
    /// Creates the connection for a socket that was just accepted.
    pub(super) fn new(stream: TcpStream, tls: ServerConnection) -> Connection {
        let now = Instant::now();
        Connection {
            stream,
            tls,
            opened: false,
            closing: false,
            decoder: Decoder::default(),
            queue: VecDeque::new(),
            write_buffer: Vec::new(),
            encrypted_bytes: 0,
            accepted_at: now,
            last_progress: now,
        }
    }

    /// Whether the handshake or the writes have timed out.
    pub(super) fn has_timed_out(&self) -> bool {
        let has_unwritten_data = !self.queue.is_empty() || !self.all_encrypted() || self.tls.wants_write();
        (!self.opened && self.accepted_at.elapsed() > HANDSHAKE_TIMEOUT)
            || (has_unwritten_data && self.last_progress.elapsed() > WRITE_TIMEOUT)
    }

    /// Appends an entry to the queue.
    pub(super) fn enqueue(&mut self, outgoing: Outgoing) -> Result<(), ConnectionEnd> {
        if self.queue.len() >= MAX_QUEUED_ENTRIES {
            return Err(ConnectionEnd::QueueFull);
        }
        self.queue.push_back(outgoing);
        Ok(())
    }

    /// Reads from the socket and processes the TLS records.
    pub(super) fn receive(&mut self) -> Result<ReadOutcome, ConnectionEnd> {
        loop {
            match self.tls.read_tls(&mut self.stream) {
                Ok(0) => return Err(ConnectionEnd::ClosedByPeer),
                Ok(_) => break,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(ReadOutcome::WouldBlock),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        if let Err(e) = self.tls.process_new_packets() {
            // Sends the TLS alert that reports the error to the peer.
            let _ = self.tls.write_tls(&mut self.stream);
            return Err(e.into());
        }
        Ok(ReadOutcome::Bytes)
    }

    /// Passes the decrypted bytes to the decoder.
    pub(super) fn decrypt(&mut self) -> Result<(), ConnectionEnd> {
        let mut bytes = [0; READ_BYTES];
        loop {
            match self.tls.reader().read(&mut bytes) {
                Ok(0) => return Err(ConnectionEnd::ClosedByPeer),
                Ok(read) => self.decoder.push(&bytes[..read]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Returns the next message of the peer, or `None` if no complete one was received yet.
    pub(super) fn next_received(&mut self) -> Result<Option<FromGateway>, ConnectionEnd> {
        Ok(self.decoder.next_message()?)
    }

    /// Writes the encoded messages until the socket would block.
    pub(super) fn flush(&mut self) -> Result<FlushOutcome, ConnectionEnd> {
        loop {
            self.encrypt()?;
            if self.opened && self.all_encrypted() && !self.tls.wants_write() {
                self.write_buffer.clear();
                self.encrypted_bytes = 0;
                return Ok(FlushOutcome::All);
            }
            match self.tls.write_tls(&mut self.stream) {
                Ok(_) if !self.opened && self.all_encrypted() && !self.tls.wants_write() => {
                    return Ok(FlushOutcome::Blocked);
                }
                Ok(_) => self.last_progress = Instant::now(),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(FlushOutcome::Blocked),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Encodes queued messages until the write buffer is full.
    pub(super) fn encode_queued(&mut self) -> Result<EncodeOutcome, ConnectionEnd> {
        let mut outcome = EncodeOutcome::default();
        self.last_progress = Instant::now();
        while self.write_buffer.len() < MAX_WRITE_BUFFER_BYTES {
            let Some(message) = self.next_outgoing_message(&mut outcome.transfer_written) else { break };
            self.write_buffer.extend_from_slice(&encode(&message)?);
            outcome.has_messages = true;
        }
        if self.closing && !outcome.has_messages {
            return Err(ConnectionEnd::ClosedByService);
        }
        Ok(outcome)
    }

    /// Passes encoded messages to TLS until its buffer is full.
    fn encrypt(&mut self) -> io::Result<()> {
        while self.opened && !self.all_encrypted() {
            let encrypted = self.tls.writer().write(&self.write_buffer[self.encrypted_bytes..])?;
            if encrypted == 0 {
                break;
            }
            self.encrypted_bytes += encrypted;
        }
        Ok(())
    }

    fn all_encrypted(&self) -> bool {
        self.encrypted_bytes == self.write_buffer.len()
    }

    /// Returns the next queued message. Sets `transfer_written` when a transfer is complete.
    fn next_outgoing_message(&mut self, transfer_written: &mut bool) -> Option<FromService> {
        loop {
            match self.queue.pop_front()? {
                Outgoing::Message(message) => return Some(message),
                Outgoing::Transfer(mut transfer) => {
                    if let Some(message) = transfer.next() {
                        self.queue.push_front(Outgoing::Transfer(transfer));
                        return Some(message);
                    }
                    *transfer_written = true;
                }
            }
        }
    }
}
