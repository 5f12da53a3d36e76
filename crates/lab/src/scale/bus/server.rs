//! Serves pollers over HTTP/1.1, many requests a connection.

use super::event_log::EventLog;
use crate::scale::observation::Traffic;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const MAX_HEAD_BYTES: usize = 8 * 1024;
const LISTEN_BACKLOG: u32 = 4_096;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// What the server has received and sent so far.
#[derive(Default)]
pub(super) struct Counters {
    requests: AtomicU64,
    responses: AtomicU64,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
    response_segments: AtomicU64,
    connections: AtomicUsize,
}

impl Counters {
    fn count_request(&self, bytes: usize) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.bytes_up.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_response(&self, bytes: usize) {
        let mut response = Traffic::default();
        response.add_answer(bytes as u64);
        self.responses.fetch_add(1, Ordering::Relaxed);
        self.bytes_down.fetch_add(response.bytes_down, Ordering::Relaxed);
        self.response_segments.fetch_add(response.answer_segments, Ordering::Relaxed);
    }

    /// Messages and bytes of all connections.
    pub(super) fn traffic(&self) -> Traffic {
        Traffic {
            requests: self.requests.load(Ordering::Relaxed),
            answers: self.responses.load(Ordering::Relaxed),
            failures: 0,
            bytes_up: self.bytes_up.load(Ordering::Relaxed),
            bytes_down: self.bytes_down.load(Ordering::Relaxed),
            answer_segments: self.response_segments.load(Ordering::Relaxed),
        }
    }

    /// Connections that are open now.
    pub(super) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Opens the bus's listener at a free port.
pub(super) fn listen() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(([127, 0, 0, 1], 0).into())?;
    socket.listen(LISTEN_BACKLOG)
}

/// Answers polls out of the log.
pub(super) struct Server {
    log: Arc<EventLog>,
    counters: Arc<Counters>,
}

impl Server {
    pub(super) fn new(log: Arc<EventLog>, counters: Arc<Counters>) -> Server {
        Server { log, counters }
    }

    /// Serves each connection until its poller closes it.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            tokio::spawn(async move {
                server.counters.connections.fetch_add(1, Ordering::Relaxed);
                // A connection that breaks is the poller's matter: it polls again.
                let _ = server.serve(stream).await;
                server.counters.connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await? {
            self.counters.count_request(head.len());
            let Some(response) = self.respond(&String::from_utf8_lossy(&head)).await else { return Ok(()) };
            stream.write_all(&response).await?;
            self.counters.count_response(response.len());
        }
        Ok(())
    }

    /// `None`: there is no such call.
    async fn respond(&self, head: &str) -> Option<Arc<[u8]>> {
        if head.starts_with("GET /bus/known ") {
            return Some(self.log.initial_response());
        }
        let (from, hold) = (parameter(head, "from=")?, parameter(head, "hold=")?);
        Some(self.log.poll(from, Duration::from_millis(hold)).await)
    }
}

/// The next request's head, with its end. `None`: the connection is closed, or the head too long.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Vec<u8>>> {
    loop {
        let end = buffer.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD);
        if let Some(end) = end {
            let head: Vec<u8> = buffer.drain(..end + END_OF_HEAD.len()).collect();
            return Ok(Some(head));
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// A number of the query.
fn parameter(head: &str, key: &str) -> Option<u64> {
    let (_, rest) = head.split_once(key)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}
