//! Relays: every connection between two participants passes through one, which does to its bytes what the faults on the
//! link say at that moment.

mod direction;
mod endpoint;
#[cfg(test)]
mod tests;

use super::network::LoopbackNetwork;
use super::sync::lock;
use crate::link_condition::{ActiveLinkFaults, Disruption, LinkCondition, ScopedLinkFault};
use crate::participant::ParticipantId;
use crate::trace::Micros;
use direction::{Direction, End};
pub use endpoint::{Chunk, Outgoing, RelayedConnection};
use endpoint::{MAX_QUEUED_CHUNKS, Sink, Source};
use hdrhistogram::Histogram;
use socket2::SockRef;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The longest lateness that is told apart: what is later counts as this. In microseconds.
const MAX_RECORDED_LATENESS: u64 = 60_000_000;

/// By how much chunks left the relays later than they should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lateness {
    /// Of 99 of 100 chunks, in microseconds.
    pub p99_us: u64,
    /// Of the latest chunk, in microseconds.
    pub max_us: u64,
}

/// Bytes that came in and went out of relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedBytes {
    /// Read from senders.
    pub received: u64,
    /// Written to receivers.
    pub sent: u64,
}

/// All links of a run, and the faults on them now.
pub struct LinkRelay {
    faults: Mutex<ActiveLinkFaults>,
    changed: watch::Sender<u64>,
    begin: Instant,
    /// The relays' own lateness, in microseconds.
    late: Mutex<Histogram<u64>>,
    seeds: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
}

impl LinkRelay {
    /// Links without faults; the run's clock counts from `begin`.
    ///
    /// # Panics
    ///
    /// Never: the bounds of its histogram are constants that it takes.
    pub fn new(begin: Instant, seed: u64) -> Arc<LinkRelay> {
        let late = Histogram::new_with_bounds(1, MAX_RECORDED_LATENESS, 3);
        let mut late = late.expect("the bounds are constants that the histogram takes");
        late.auto(false);
        Arc::new(LinkRelay {
            faults: Mutex::default(),
            changed: watch::channel(0).0,
            begin,
            late: Mutex::new(late),
            seeds: AtomicU64::new(seed),
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
        })
    }

    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.begin.elapsed().as_micros() as Micros
    }

    /// Puts a fault in force, by its number in the schedule.
    pub fn begin_fault(&self, number: usize, fault: ScopedLinkFault) {
        lock(&self.faults).begin(number, fault);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Ends a fault.
    pub fn end_fault(&self, number: usize) {
        lock(&self.faults).end(number);
        self.changed.send_modify(|count| *count += 1);
    }

    /// What one direction of a link is like now.
    pub fn condition(&self, from: ParticipantId, to: ParticipantId) -> LinkCondition {
        lock(&self.faults).condition(from, to)
    }

    /// How late chunks have left the relays so far.
    pub fn lateness(&self) -> Lateness {
        let late = lock(&self.late);
        Lateness { p99_us: late.value_at_quantile(0.99), max_us: late.max() }
    }

    /// What has been relayed so far.
    pub fn bytes(&self) -> RelayedBytes {
        RelayedBytes {
            received: self.received.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
        }
    }

    fn inspect(&self, direction: &Direction) -> (LinkCondition, Option<Disruption>) {
        let Direction { from, to, disruptions } = *direction;
        let faults = lock(&self.faults);
        (faults.condition(from, to), faults.disruption_since(disruptions, from, to))
    }

    /// Waits until a connection from one participant to another can come up. False: it is refused.
    async fn admits(&self, opener: ParticipantId, listener: ParticipantId) -> bool {
        let mut changed = self.changed.subscribe();
        loop {
            let (forth, back) = {
                let faults = lock(&self.faults);
                (faults.condition(opener, listener), faults.condition(listener, opener))
            };
            if forth.reset || back.reset {
                return false;
            }
            if forth.accepts_connections() && back.accepts_connections() && !forth.stalled {
                return true;
            }
            if changed.changed().await.is_err() {
                return false;
            }
        }
    }

    /// Relays a process's connection to another process.
    pub async fn relay(
        self: Arc<Self>,
        stream: TcpStream,
        opener: ParticipantId,
        listener: ParticipantId,
        to: std::net::SocketAddr,
    ) {
        // Without it small messages would be late by the sockets' own delay.
        let _ = stream.set_nodelay(true);
        let far = if self.admits(opener, listener).await { TcpStream::connect(to).await.ok() } else { None };
        let Some(far) = far else {
            refuse(&stream);
            return;
        };
        let _ = far.set_nodelay(true);
        let far = far.into_split();
        self.forward_both(opener, listener, stream, (Source::Tcp(far.0), Sink::Tcp(far.1))).await;
    }

    /// Relays a process's connection to a participant inside the laboratory. `None`: it does not come up.
    pub async fn accept_local(
        self: Arc<Self>,
        stream: TcpStream,
        opener: ParticipantId,
        listener: ParticipantId,
    ) -> Option<RelayedConnection> {
        let _ = stream.set_nodelay(true);
        if !self.admits(opener, listener).await {
            refuse(&stream);
            return None;
        }
        let (to_participant, incoming) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let (outgoing, from_participant) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let far = (Source::Local(from_participant), Sink::Local(Some(to_participant)));
        tokio::spawn(async move { self.forward_both(opener, listener, stream, far).await });
        Some(RelayedConnection { from: opener, incoming, outgoing })
    }

    /// Forwards both directions until they end.
    async fn forward_both(
        self: Arc<Self>,
        opener: ParticipantId,
        listener: ParticipantId,
        near: TcpStream,
        far: (Source, Sink),
    ) {
        let disruptions = lock(&self.faults).disruptions();
        let forth = Direction { from: opener, to: listener, disruptions };
        let back = Direction { from: listener, to: opener, disruptions };
        let (near_source, near_sink) = near.into_split();
        let (mut near_sink, mut far_sink) = (Sink::Tcp(near_sink), far.1);
        {
            let forth = self.forward(forth, Source::Tcp(near_source), &mut far_sink);
            let back = self.forward(back, far.0, &mut near_sink);
            tokio::pin!(forth, back);
            // Either end's reset ends both directions at once.
            let reset = tokio::select! {
                end = &mut forth => end == End::Reset || back.await == End::Reset,
                end = &mut back => end == End::Reset || forth.await == End::Reset,
            };
            if !reset {
                return;
            }
        }
        near_sink.reset();
        far_sink.reset();
    }
}

/// Has a connection end with a reset once it is dropped.
fn refuse(stream: &TcpStream) {
    // Where it fails, the connection is closed in the usual way.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Accepts the next connection on a port that a participant has made, and says which one.
///
/// # Errors
///
/// Where a connection can't be accepted.
pub async fn accept(
    listener: &tokio::net::TcpListener,
    network: &LoopbackNetwork,
) -> io::Result<(TcpStream, ParticipantId)> {
    loop {
        let (stream, _) = listener.accept().await?;
        let at = stream.local_addr()?;
        if let std::net::IpAddr::V4(ip) = at.ip()
            && let Some(opener) = network.participant(ip)
        {
            return Ok((stream, opener));
        }
    }
}
