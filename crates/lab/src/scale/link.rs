//! Connections of gateways that pass through the laboratory: it can cut them, each direction by itself, and reads in
//! passing which events their pollers have applied.

use super::observation::Traffic;
use super::sync::lock;
use sagearch_clock::unix_micros;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;
/// The part of a poll that acknowledges events.
const ACKNOWLEDGEMENT: &str = "from=";

/// Which directions of links are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Directions {
    /// From the gateways.
    pub up: bool,
    /// To the gateways.
    pub down: bool,
}

impl Directions {
    /// Both directions are open.
    pub const BOTH: Directions = Directions { up: true, down: true };
    /// No direction is open.
    pub const NONE: Directions = Directions { up: false, down: false };
    /// Only the direction from the gateways is open.
    pub const UP: Directions = Directions { up: true, down: false };
}

/// An acknowledgement of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// All events up to this one are applied.
    pub offset: u64,
    /// When it was first sent, in Unix microseconds.
    pub at_us: u64,
}

/// What a gateway's own link has seen of it.
#[derive(Debug, Default)]
pub struct LinkObserver {
    /// In increasing order.
    acknowledged: Mutex<Vec<Acknowledgement>>,
    requests: AtomicU64,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
}

impl LinkObserver {
    fn observe_up(&self, bytes: &[u8]) {
        self.bytes_up.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let Some(offset) = acknowledged_offset(bytes) else { return };
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut acknowledged = lock(&self.acknowledged);
        if acknowledged.last().is_none_or(|last| last.offset < offset) {
            acknowledged.push(Acknowledgement { offset, at_us: unix_micros() });
        }
    }

    fn observe_down(&self, bytes: &[u8]) {
        self.bytes_down.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    }

    /// Polls and bytes so far. A poll that is pending has no answer yet.
    pub fn traffic(&self) -> Traffic {
        let requests = self.requests.load(Ordering::Relaxed);
        Traffic {
            requests,
            answers: requests.saturating_sub(1),
            failures: 0,
            bytes_up: self.bytes_up.load(Ordering::Relaxed),
            bytes_down: self.bytes_down.load(Ordering::Relaxed),
            answer_segments: requests,
        }
    }

    /// The acknowledgements so far.
    pub fn acknowledged(&self) -> Vec<Acknowledgement> {
        lock(&self.acknowledged).clone()
    }
}

/// The offset that a poll acknowledges. Polls are far shorter than the buffer, and each comes in one read.
fn acknowledged_offset(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (_, rest) = text.split_once(ACKNOWLEDGEMENT)?;
    rest.split(|next: char| !next.is_ascii_digit()).next()?.parse().ok()
}

/// Links that are opened and closed together.
pub struct Links {
    open: watch::Sender<Directions>,
}

impl Default for Links {
    /// Open in both directions.
    fn default() -> Links {
        Links { open: watch::channel(Directions::BOTH).0 }
    }
}

impl Links {
    /// Opens or closes them.
    pub fn set(&self, open: Directions) {
        self.open.send_replace(open);
    }

    /// Opens a listener whose connections are forwarded to `to`, and returns its address. `observer`: of the gateway, where
    /// the link is of one alone.
    ///
    /// # Errors
    ///
    /// Where no listener can be opened.
    pub async fn open(&self, to: SocketAddr, observer: Option<Arc<LinkObserver>>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let open = self.open.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(connect(client, to, open.clone(), observer.clone()));
            }
        });
        Ok(address)
    }
}

async fn connect(
    client: TcpStream,
    to: SocketAddr,
    open: watch::Receiver<Directions>,
    observer: Option<Arc<LinkObserver>>,
) {
    let Ok(server) = TcpStream::connect(to).await else { return };
    // Without it the link is only slower.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let up = Forwarder {
        open: open.clone(),
        is_open: |open| open.up,
        observe: LinkObserver::observe_up,
        observer: observer.clone(),
    };
    let down = Forwarder { open, is_open: |open| open.down, observe: LinkObserver::observe_down, observer };
    // The connection ends with its first direction that does.
    tokio::select! {
        () = up.run(from_client, to_server) => {}
        () = down.run(from_server, to_client) => {}
    }
}

/// One direction of a connection.
struct Forwarder {
    open: watch::Receiver<Directions>,
    is_open: fn(&Directions) -> bool,
    observe: fn(&LinkObserver, &[u8]),
    observer: Option<Arc<LinkObserver>>,
}

impl Forwarder {
    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(read) = from.read(&mut buffer).await
            && read > 0
        {
            if let Some(observer) = &self.observer {
                (self.observe)(observer, &buffer[..read]);
            }
            if self.open.wait_for(self.is_open).await.is_err() {
                return;
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
