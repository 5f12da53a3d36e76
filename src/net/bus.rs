//! The event bus: lists of stores and purges, by long poll.

use super::core::Core;
use super::lock;
use crate::events::Batch;
use may::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long one poll is held. Short, so that a bus gone silent is called anew long before the 7 s after
/// which its events count as told.
const HOLD_MS: u64 = 1_000;
const SILENT: Duration = Duration::from_millis(HOLD_MS + 500);
const CONNECT: Duration = Duration::from_millis(400);
const AGAIN: Duration = Duration::from_millis(20);
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

fn connect(at: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, CONNECT)?;
    stream.set_nodelay(true)?;
    // A bus that has gone silent is called anew: what it has to tell counts as told all the same.
    stream.set_read_timeout(Some(SILENT))?;
    stream.set_write_timeout(Some(SILENT))?;
    Ok(stream)
}

/// How far the bus has been followed. One follower polls at a time; a second one comes with a new address.
#[derive(Default)]
pub struct Feed {
    last: Mutex<u64>,
    follower: AtomicU64,
    /// A poll has been answered.
    answered: AtomicBool,
}

impl Feed {
    /// Whether the bus has told what it had to tell at the start.
    pub fn caught_up(&self) -> bool {
        self.answered.load(Ordering::SeqCst)
    }
}

/// Takes in what is new of a batch. Held throughout: two followers that overlap must not take an event twice,
/// nor a later one first.
pub fn take(feed: &Feed, core: &Core, batch: Batch) {
    let mut last = lock(&feed.last);
    let batch = batch.after(*last);
    *last = batch.offset.max(*last);
    core.apply(batch);
}

/// Follows the bus at an address, from the last event on, in place of the follower before. That one still
/// hands on what its poll under way brings, and then ends.
pub fn follow(feed: &Arc<Feed>, core: &Arc<Core>, at: SocketAddr) {
    let (feed, core) = (feed.clone(), core.clone());
    let number = feed.follower.fetch_add(1, Ordering::SeqCst) + 1;
    super::spawn(move || poll(&feed, &core, at, number));
}

/// Polls and hands every event on. A lost connection is opened again at once.
fn poll(feed: &Feed, core: &Core, at: SocketAddr, number: u64) {
    let mut line: Option<(TcpStream, Vec<u8>)> = None;
    let mut told = false;
    while feed.follower.load(Ordering::SeqCst) == number {
        let fresh = line.is_none();
        let last = *lock(&feed.last);
        let mut poll = || -> io::Result<Batch> {
            let (mut stream, mut buffer) = match line.take() {
                Some(line) => line,
                None => (connect(at)?, Vec::new()),
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
                take(feed, core, batch);
                feed.answered.store(true, Ordering::SeqCst);
            }
            Err(e) => {
                // Once a trouble, not once a try; and one that refuses at once is not asked in a busy loop.
                if !std::mem::replace(&mut told, true) {
                    log::warn!("event bus: {e}; calling anew");
                }
                if fresh {
                    may::coroutine::sleep(AGAIN);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
