//! The event bus: lists of stores and purges, by long poll.

use super::event_sink::EventSink;
use super::{Permit, lock};
use crate::events::Batch;
use crate::metrics::FeedCounters;
use may::net::TcpStream;
use rand::{RngExt, SeedableRng};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long one poll is held. Short, so that a bus gone silent is called anew long before the 7 s after
/// which its events count as told.
const HOLD_MS: u64 = 1_000;
/// Silent for so long beyond that, it is called anew, up to as much again later: all gateways fall silent in the same
/// instant, and must not all come back in one.
const SILENT_FOR_MS: u64 = 300;
const CONNECT: Duration = Duration::from_millis(400);
/// A bus that can't be reached is called again after about this, and after twice as long each time up to the longest.
const AGAIN_MS: u64 = 20;
const AGAIN_LONGEST_MS: u64 = 200;
/// A list of hundreds of stores fits well.
const LARGEST: usize = 4 * 1024 * 1024;

/// What a poll's answer begins with: where its body starts, and how long that is if told.
#[derive(Debug, PartialEq)]
struct Head {
    status: u16,
    body: usize,
    length: Option<usize>,
    chunked: bool,
    keep: bool,
}

fn head(bytes: &[u8]) -> Result<Option<Head>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(body) = response.parse(bytes)? else { return Ok(None) };
    let mut head = Head {
        status: response.code.unwrap_or(0),
        body,
        length: None,
        chunked: false,
        keep: response.version == Some(1),
    };
    for header in response.headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_ascii_lowercase();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => head.length = value.parse().ok(),
            "transfer-encoding" => head.chunked = value.contains("chunked"),
            "connection" => head.keep = head.keep && !value.contains("close"),
            _ => {}
        }
    }
    Ok(Some(head))
}

/// Joins a chunked body. `None`: it is not whole yet.
fn unchunk(mut bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, httparse::InvalidChunkSize> {
    let (mut joined, whole) = (Vec::new(), bytes.len());
    loop {
        let httparse::Status::Complete((start, size)) = httparse::parse_chunk_size(bytes)? else {
            return Ok(None);
        };
        let size =
            usize::try_from(size).ok().filter(|size| *size <= LARGEST).ok_or(httparse::InvalidChunkSize)?;
        if bytes.len() < start + size + 2 {
            return Ok(None);
        }
        joined.extend_from_slice(&bytes[start..start + size]);
        bytes = &bytes[start + size + 2..];
        if size == 0 {
            return Ok(Some((joined, whole - bytes.len())));
        }
    }
}

fn bad(cause: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause.to_string())
}

/// Reads one answer; `buffer` keeps what came after it.
fn answer(stream: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<(Vec<u8>, bool)> {
    let mut piece = vec![0; 16 * 1024];
    let mut ended = false;
    loop {
        if let Some(head) = head(buffer).map_err(bad)? {
            let rest = &buffer[head.body..];
            let body = match head.length {
                _ if head.chunked => unchunk(rest).map_err(bad)?,
                Some(length) => (rest.len() >= length).then(|| (rest[..length].to_vec(), length)),
                None => ended.then(|| (rest.to_vec(), rest.len())),
            };
            if let Some((body, used)) = body {
                buffer.drain(..head.body + used);
                if head.status != 200 {
                    return Err(bad(format!("status {}", head.status)));
                }
                return Ok((body, head.keep && !ended));
            }
        }
        if ended {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if buffer.len() > LARGEST {
            return Err(bad("answer too large"));
        }
        let read = stream.read(&mut piece)?;
        buffer.extend_from_slice(&piece[..read]);
        ended = read == 0;
    }
}

/// Pauses between calls, spread so that the calls of many gateways are.
struct Pauses {
    random: rand::rngs::SmallRng,
    failed: u32,
}

impl Pauses {
    fn new(seed: u64) -> Pauses {
        Pauses { random: rand::rngs::SmallRng::seed_from_u64(seed), failed: 0 }
    }

    fn silent(&mut self) -> Duration {
        Duration::from_millis(HOLD_MS + self.random.random_range(SILENT_FOR_MS..=2 * SILENT_FOR_MS))
    }

    /// Before the next call after one that failed.
    fn again(&mut self) -> Duration {
        let longest = (AGAIN_MS << self.failed.min(8)).min(AGAIN_LONGEST_MS);
        self.failed += 1;
        Duration::from_millis(self.random.random_range(longest / 2..=longest))
    }
}

fn connect(at: SocketAddr, silent: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, CONNECT)?;
    stream.set_nodelay(true)?;
    // A bus that has gone silent is called anew: what it has to tell counts as told all the same.
    stream.set_read_timeout(Some(silent))?;
    stream.set_write_timeout(Some(silent))?;
    Ok(stream)
}

/// How far the bus has been followed. One follower polls at a time; a second one comes with a new address.
#[derive(Default)]
pub struct Feed {
    /// By which calls are spread.
    seed: u64,
    last: Mutex<u64>,
    follower: AtomicU64,
    /// A poll has been answered.
    answered: AtomicBool,
    /// Nothing is followed any more, and no event applied.
    stopped: AtomicBool,
    /// The socket of the connection that is open. Whoever closes it takes it out first.
    socket: Mutex<Option<RawFd>>,
    counters: FeedCounters,
}

impl Feed {
    pub fn new(seed: u64, counters: FeedCounters) -> Feed {
        Feed { seed, counters, ..Feed::default() }
    }

    /// Ends the follower and shuts its connection, so that it waits for no answer.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(socket) = *lock(&self.socket) {
            // SAFETY: the descriptor is open, as it is taken out under this lock before it is closed.
            unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
        }
    }

    fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Whether the bus has told what it had to tell at the start.
    pub fn caught_up(&self) -> bool {
        self.answered.load(Ordering::SeqCst)
    }
}

/// Takes in what is new of a batch. Held throughout: two followers that overlap must not take an event twice,
/// nor a later one first.
pub fn take(feed: &Feed, sink: &dyn EventSink, batch: Batch) {
    let mut last = lock(&feed.last);
    if feed.stopped() {
        return;
    }
    let batch = batch.after(*last);
    *last = batch.offset.max(*last);
    feed.counters.events.inc_by(batch.batch.len() as u64);
    sink.apply(batch);
}

/// A connection to the bus, whose bytes are counted.
struct Connection {
    stream: TcpStream,
    feed: Arc<Feed>,
}

impl Connection {
    fn open(feed: &Arc<Feed>, at: SocketAddr, silent: Duration) -> io::Result<Connection> {
        let connection = Connection { stream: connect(at, silent)?, feed: feed.clone() };
        *lock(&feed.socket) = Some(connection.stream.as_raw_fd());
        // Or who stops the feed just now would not see this connection.
        if feed.stopped() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(connection)
    }
}

impl Read for Connection {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let read = self.stream.read(to)?;
        self.feed.counters.bytes_received.inc_by(read as u64);
        Ok(read)
    }
}

impl Write for Connection {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.stream.write(bytes)?;
        self.feed.counters.bytes_sent.inc_by(written as u64);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut socket = lock(&self.feed.socket);
        // A later follower may have one of its own.
        if *socket == Some(self.stream.as_raw_fd()) {
            *socket = None;
        }
    }
}

/// Follows the bus at an address, from the last event on, in place of the follower before. That one still
/// hands on what its poll under way brings, and then ends. `running` is held until its end.
pub fn follow(feed: &Arc<Feed>, sink: &Arc<dyn EventSink>, at: SocketAddr, running: Permit) {
    let (feed, sink) = (feed.clone(), sink.clone());
    let number = feed.follower.fetch_add(1, Ordering::SeqCst) + 1;
    super::spawn(move || {
        let _running = running;
        poll(&feed, &*sink, at, number);
    });
}

/// Polls and hands every event on. A lost connection is opened again at once.
fn poll(feed: &Arc<Feed>, sink: &dyn EventSink, at: SocketAddr, number: u64) {
    let mut line: Option<(Connection, Vec<u8>)> = None;
    let mut told = false;
    let mut pauses = Pauses::new(feed.seed ^ number);
    while feed.follower.load(Ordering::SeqCst) == number && !feed.stopped() {
        let fresh = line.is_none();
        let last = *lock(&feed.last);
        let mut poll = || -> io::Result<Batch> {
            let (mut stream, mut buffer) = match line.take() {
                Some(line) => line,
                None => (Connection::open(feed, at, pauses.silent())?, Vec::new()),
            };
            // The first word is wanted at once, also where it is that there is nothing new.
            let hold = if feed.caught_up() { HOLD_MS } else { 0 };
            let ask = format!("GET /bus/read?from={last}&hold={hold} HTTP/1.1\r\nHost: {at}\r\n\r\n");
            stream.write_all(ask.as_bytes())?;
            let (body, keep) = answer(&mut stream, &mut buffer)?;
            if keep {
                line = Some((stream, buffer));
            }
            serde_json::from_slice(&body).map_err(bad)
        };
        match poll() {
            Ok(batch) => {
                if std::mem::take(&mut told) {
                    log::info!("event bus: connected again");
                }
                pauses.failed = 0;
                feed.counters.answers.inc();
                take(feed, sink, batch);
                feed.answered.store(true, Ordering::SeqCst);
            }
            Err(_) if feed.stopped() => return,
            Err(e) => {
                feed.counters.failed_calls.inc();
                // Once a trouble, not once a try; and one that refuses at once is not asked in a busy loop.
                if !std::mem::replace(&mut told, true) {
                    log::warn!("event bus: {e}; calling anew");
                }
                if super::out_of_descriptors(&e) {
                    sink.out_of_descriptors();
                }
                if fresh {
                    may::coroutine::sleep(pauses.again());
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
