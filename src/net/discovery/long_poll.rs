//! HTTP/1.1 client of long polls: connections whose bytes are counted and which another thread can shut down, and a
//! parser of complete responses.

use crate::metrics::FeedCounters;
use crate::net::io_error::set_nodelay;
use crate::net::{lock, out_of_descriptors};
use may::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The size of the buffer of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;
const STATUS_OK: u16 = 200;
/// The largest accepted response: a list of hundreds of stores or a snapshot with thousands of purges fits.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Lets another thread shut down a connection, and prevents later ones.
#[derive(Debug, Default)]
pub(in crate::net) struct ShutdownHandle {
    /// The descriptor of the open connection, removed before the connection closes it.
    socket: Mutex<Option<RawFd>>,
    is_shut_down: AtomicBool,
}

impl ShutdownHandle {
    /// Shuts down the open connection and makes later attempts to open one fail.
    pub fn shut_down(&self) {
        self.is_shut_down.store(true, Ordering::SeqCst);
        if let Some(socket) = *lock(&self.socket) {
            // SAFETY: the descriptor is open, as it is removed under this lock before it is closed.
            unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
        }
    }

    pub fn is_shut_down(&self) -> bool {
        self.is_shut_down.load(Ordering::SeqCst)
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(in crate::net) struct Connection {
    stream: TcpStream,
    shutdown: Arc<ShutdownHandle>,
    counters: FeedCounters,
    /// Reads fail with `TimedOut` after this instant.
    deadline: Option<Instant>,
}

impl Connection {
    /// Opens a connection on which each read and each write waits no longer than `timeout`.
    pub fn open(
        shutdown: &Arc<ShutdownHandle>,
        counters: &FeedCounters,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(timeout))?;
        *lock(&shutdown.socket) = Some(stream.as_raw_fd());
        let connection =
            Connection { stream, shutdown: shutdown.clone(), counters: counters.clone(), deadline: None };
        // The handle may have been shut down just before the descriptor was stored.
        if shutdown.is_shut_down() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        set_nodelay(&connection.stream);
        // An old list counts as current after a time even if the peer is silent, so a silent peer must be polled again.
        connection.stream.set_read_timeout(Some(timeout))?;
        connection.stream.set_write_timeout(Some(timeout))?;
        Ok(connection)
    }

    /// Sets the instant by which the complete response must have been read, however slowly its bytes arrive.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }
}

impl Read for Connection {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if let Some(deadline) = self.deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(remaining))?;
        }
        let read = self.stream.read(buffer)?;
        self.counters.bytes_received.inc_by(read as u64);
        Ok(read)
    }
}

impl Write for Connection {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.stream.write(bytes)?;
        self.counters.bytes_sent.inc_by(written as u64);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut socket = lock(&self.shutdown.socket);
        // A later connection may have stored its descriptor already.
        if *socket == Some(self.stream.as_raw_fd()) {
            *socket = None;
        }
    }
}

/// The status line and headers of a response.
#[derive(Debug, PartialEq)]
struct ResponseHead {
    status: u16,
    /// The index of the body's first byte.
    body_start: usize,
    content_length: Option<usize>,
    is_chunked: bool,
    keep_alive: bool,
    retry_after: Option<Duration>,
}

/// Parses the status line and headers. Returns `None` if they are not complete yet.
fn parse_head(bytes: &[u8]) -> Result<Option<ResponseHead>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(body_start) = response.parse(bytes)? else { return Ok(None) };
    let mut head = ResponseHead {
        status: response.code.unwrap_or(0),
        body_start,
        content_length: None,
        is_chunked: false,
        keep_alive: response.version == Some(1),
        retry_after: None,
    };
    let mut retry_after_ms = None;
    for header in response.headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_ascii_lowercase();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => head.content_length = value.parse().ok(),
            "transfer-encoding" => head.is_chunked = value.contains("chunked"),
            "retry-after" => head.retry_after = parse_seconds(&value),
            "retry-after-ms" => retry_after_ms = value.parse().ok().map(Duration::from_millis),
            "connection" => head.keep_alive = head.keep_alive && !value.contains("close"),
            _ => {}
        }
    }
    head.retry_after = retry_after_ms.or(head.retry_after);
    Ok(Some(head))
}

/// Parses a duration in seconds, which may have a fraction.
fn parse_seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

/// Decodes a chunked body, and returns it with the number of bytes that it occupied. Returns `None` if it is not
/// complete yet.
fn decode_chunked(mut bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, httparse::InvalidChunkSize> {
    let (mut body, received) = (Vec::new(), bytes.len());
    loop {
        let httparse::Status::Complete((start, size)) = httparse::parse_chunk_size(bytes)? else {
            return Ok(None);
        };
        let size = usize::try_from(size)
            .ok()
            .filter(|size| *size <= MAX_RESPONSE_BYTES)
            .ok_or(httparse::InvalidChunkSize)?;
        if bytes.len() < start + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[start..start + size]);
        bytes = &bytes[start + size + 2..];
        if size == 0 {
            return Ok(Some((body, received - bytes.len())));
        }
    }
}

/// Why a received response is invalid.
#[derive(Debug, Error)]
pub(in crate::net) enum InvalidResponse {
    /// The status is not 200.
    #[error("expected status 200, received {0}")]
    Status(u16),
    #[error(transparent)]
    Head(#[from] httparse::Error),
    #[error("invalid chunked body: {0}")]
    Chunk(httparse::InvalidChunkSize),
    #[error("response exceeds {} bytes", MAX_RESPONSE_BYTES)]
    TooLarge,
    /// The body is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Why a request failed to return a response.
#[derive(Debug, Error)]
pub(in crate::net) enum ResponseError {
    /// The connection failed or could not be opened.
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Invalid(#[from] InvalidResponse),
}

impl ResponseError {
    /// Whether the request failed because the process is out of file descriptors.
    pub fn is_out_of_descriptors(&self) -> bool {
        matches!(self, ResponseError::Io(error) if out_of_descriptors(error))
    }
}

/// A complete response.
#[derive(Debug)]
pub(in crate::net) struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
    /// The pause that the server asks for before the next request.
    pub retry_after: Option<Duration>,
}

/// Reads one response; any status other than 200 is an error.
pub(in crate::net) fn read_ok_response(
    stream: &mut impl Read,
    buffer: &mut Vec<u8>,
) -> Result<Response, ResponseError> {
    let response = read_response(stream, buffer)?;
    match response.status {
        STATUS_OK => Ok(response),
        status => Err(InvalidResponse::Status(status).into()),
    }
}

/// Reads one response of any status; `buffer` keeps the received bytes that follow it.
pub(in crate::net) fn read_response(
    stream: &mut impl Read,
    buffer: &mut Vec<u8>,
) -> Result<Response, ResponseError> {
    let mut read_buffer = vec![0; READ_BUFFER_BYTES];
    let mut end_of_stream = false;
    loop {
        if let Some(response) = take_response(buffer, end_of_stream)? {
            return Ok(response);
        }
        if end_of_stream {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        if buffer.len() > MAX_RESPONSE_BYTES {
            return Err(InvalidResponse::TooLarge.into());
        }
        let read = stream.read(&mut read_buffer)?;
        buffer.extend_from_slice(&read_buffer[..read]);
        end_of_stream = read == 0;
    }
}

/// Removes the first response from the received bytes. Returns `None` if it is not complete yet. `end_of_stream` says
/// that no more bytes will follow.
fn take_response(buffer: &mut Vec<u8>, end_of_stream: bool) -> Result<Option<Response>, InvalidResponse> {
    let Some(head) = parse_head(buffer)? else { return Ok(None) };
    let body_bytes = &buffer[head.body_start..];
    let body = match head.content_length {
        _ if head.is_chunked => decode_chunked(body_bytes).map_err(InvalidResponse::Chunk)?,
        Some(length) => (body_bytes.len() >= length).then(|| (body_bytes[..length].to_vec(), length)),
        None => end_of_stream.then(|| (body_bytes.to_vec(), body_bytes.len())),
    };
    let Some((body, body_length)) = body else { return Ok(None) };
    buffer.drain(..head.body_start + body_length);
    let ResponseHead { status, keep_alive, retry_after, .. } = head;
    Ok(Some(Response { status, body, keep_alive: keep_alive && !end_of_stream, retry_after }))
}

#[cfg(test)]
mod tests;
