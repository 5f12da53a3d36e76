//! Rate-limited sending of datagrams to members.

use super::alive::GossipMessage;
use super::directory::Directory;
use super::lock;
use super::wire::{self, Body};
use crate::metrics::ClusterCounters;
use crate::net::clock::Clock;
use sagearch_homes::message::Envelope;
use sagearch_homes::{Incarnation, Member};
use sagearch_ledger::{Amount, ONE_CALL, TokenBucket};
use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use tracing_mutex::stdsync::Mutex;

/// An unencoded message to another member.
pub struct OutgoingMessage {
    /// The member that receives the message.
    pub to: Member,
    /// The content of the datagram.
    pub body: Body,
}

impl OutgoingMessage {
    /// Creates a message to a member.
    pub fn new(to: Member, body: Body) -> OutgoingMessage {
        OutgoingMessage { to, body }
    }
}

impl From<GossipMessage> for OutgoingMessage {
    fn from(GossipMessage { to, bytes }: GossipMessage) -> OutgoingMessage {
        OutgoingMessage { to, body: Body::Alive(bytes) }
    }
}

impl From<Envelope> for OutgoingMessage {
    fn from(Envelope { to, message }: Envelope) -> OutgoingMessage {
        OutgoingMessage { to, body: Body::Lease(message) }
    }
}

/// Encodes messages and sends them from the gateway's socket.
pub struct Outbox {
    socket: Arc<UdpSocket>,
    clock: Clock,
    fleet_tag: u32,
    incarnation: Incarnation,
    /// The maximum rate, in datagrams per second.
    rate: Amount,
    token_bucket: Mutex<TokenBucket>,
    counters: Arc<ClusterCounters>,
}

impl Outbox {
    /// Creates an outbox that sends up to `rate` datagrams per second, and up to half of that in a burst.
    pub fn new(
        socket: Arc<UdpSocket>,
        clock: Clock,
        fleet_tag: u32,
        incarnation: Incarnation,
        rate: u64,
        counters: Arc<ClusterCounters>,
    ) -> Outbox {
        let rate = Amount::calls(rate);
        let token_bucket = Mutex::new(TokenBucket::new(rate / 2, clock.now()));
        Outbox { socket, clock, fleet_tag, incarnation, rate, token_bucket, counters }
    }

    /// Sends messages up to the rate limit; messages above it are dropped and counted.
    pub fn send(&self, directory: &Directory, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, body } in messages {
            let bytes = match wire::encode(self.fleet_tag, self.incarnation, body) {
                Ok(bytes) => bytes,
                Err(error) => {
                    self.counters.lost(error.label());
                    continue;
                }
            };
            let allowed = self.try_take_token();
            let Some(address) = directory.address_of(to).filter(|_| allowed) else {
                self.counters.lost("over_rate");
                continue;
            };
            match self.socket.send_to(&bytes, address) {
                Ok(sent) => self.counters.bytes("sent", sent),
                Err(_) => self.counters.lost("unsent"),
            }
        }
    }

    /// Sends an empty datagram to this socket's own address, which wakes the thread that reads from it.
    ///
    /// # Errors
    ///
    /// If the socket's address can't be determined or the datagram can't be sent.
    pub fn wake_reader(&self) -> io::Result<()> {
        let own_address = self.socket.local_addr()?;
        self.socket.send_to(&[], own_address).map(drop)
    }

    /// Takes a token for one datagram; false if the rate limit is reached.
    fn try_take_token(&self) -> bool {
        let mut token_bucket = lock(&self.token_bucket);
        token_bucket.refill(self.clock.now(), self.rate);
        token_bucket.take(ONE_CALL)
    }
}
