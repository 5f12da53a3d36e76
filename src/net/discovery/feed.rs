//! Polls relays of the event feed: sends the polls that [`sagearch_feed::subscription`] requests, applies the received
//! events, and renews the freshness lease.
//!
//! Events are applied first, then the lease is renewed, then the next poll is sent, which acknowledges the events.

use crate::events::Batch;
use crate::interface::Micros;
use crate::net::Permit;
use crate::net::clock::Clock;
use crate::net::discovery::bus::Feed;
use crate::net::discovery::event_sink::EventSink;
use crate::net::discovery::long_poll::{Connection, InvalidResponse, Response, ResponseError, read_response};
use sagearch_feed::MILLISECOND;
use sagearch_feed::lease::Lease;
use sagearch_feed::message::{Head, Poll};
use sagearch_feed::subscription::{
    AcceptedAnswer, PollFailure, RejectedAnswer, Settings, Step, Subscription,
};
use sagearch_operators::feed::{Feed as FeedConfig, Relay};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
/// The maximum pause between two checks of whether the feed is stopped.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// The components and settings of a follower that polls relays.
pub struct RelayFollowerConfig {
    /// The gateway's state of the event feed.
    pub feed: Arc<Feed>,
    /// The sink that applies the events.
    pub sink: Arc<dyn EventSink>,
    /// The gateway's clock.
    pub clock: Clock,
    /// The gateway's name.
    pub name: String,
    /// The incarnation of the gateway; higher after each restart.
    pub incarnation: u64,
    /// Seeds the jitter of the polls.
    pub seed: u64,
    /// The relay section of the operators' file.
    pub relays: FeedConfig,
}

/// The lease of a gateway that has just started and has received no response.
pub fn initial_lease(relays: &FeedConfig, now: Micros) -> Lease {
    Lease::new(relays.lease * MILLISECOND, relays.drift, now)
}

fn subscription_settings(config: &RelayFollowerConfig) -> Settings {
    let RelayFollowerConfig { name, incarnation, relays, .. } = config;
    let names = relays.relays.iter().map(|relay| relay.name.clone()).collect();
    Settings {
        preferred: relays.preferred,
        hold: relays.hold * MILLISECOND,
        lease: relays.lease * MILLISECOND,
        drift_per_mille: relays.drift,
        ..Settings::new(name, *incarnation, names)
    }
}

/// Starts a follower that polls the relays until the feed is stopped, and drops `running` then.
pub fn follow(config: RelayFollowerConfig, running: Permit) {
    let subscription = Subscription::new(subscription_settings(&config), config.seed, config.clock.now());
    let RelayFollowerConfig { feed, sink, clock, relays, .. } = config;
    let mut follower = Follower {
        feed,
        sink,
        clock,
        relays: relays.relays,
        revalidations: relays.revalidate,
        subscription,
        connection: None,
        is_failing: false,
    };
    crate::net::spawn_with_large_stack(move || {
        let _running = running;
        follower.run();
    });
}

/// An open connection to a relay, with the received bytes of the next response.
struct RelayConnection {
    /// The index of the relay in the configuration.
    relay: usize,
    connection: Connection,
    buffer: Vec<u8>,
}

/// Polls the relays of the configuration.
struct Follower {
    feed: Arc<Feed>,
    sink: Arc<dyn EventSink>,
    clock: Clock,
    relays: Vec<Relay>,
    revalidations: u32,
    subscription: Subscription,
    connection: Option<RelayConnection>,
    /// Whether the last poll failed. Only the first of consecutive failures is logged.
    is_failing: bool,
}

impl Follower {
    fn run(&mut self) {
        while !self.feed.is_stopped() {
            let now = self.clock.now();
            match self.subscription.next_step(now) {
                Step::Wait { until } => {
                    let pause = Duration::from_micros(until.saturating_sub(now));
                    may::coroutine::sleep(pause.min(MAX_SLEEP));
                }
                Step::Poll { relay, poll, timeout } => self.poll(relay, &poll, timeout),
            }
        }
    }

    fn poll(&mut self, relay: usize, poll: &Poll, timeout: Micros) {
        let sent_at = self.clock.now();
        let response_body = self.send_poll(relay, poll, Duration::from_micros(timeout));
        if self.feed.is_stopped() {
            return;
        }
        match response_body.and_then(|body| self.apply_response(sent_at, &body)) {
            Ok(()) => self.record_success(relay),
            Err(error) => {
                self.record_failure(relay, &error);
                if let Some(failure) = error.failure() {
                    self.subscription.poll_failed(self.clock.now(), failure);
                }
            }
        }
    }

    /// Sends a poll and returns the body of the complete response.
    fn send_poll(&mut self, relay: usize, poll: &Poll, timeout: Duration) -> Result<Vec<u8>, PollError> {
        let deadline = Instant::now() + timeout;
        let Some(address) = self.relays.get(relay).map(|relay| relay.address) else {
            return Err(PollFailure::Unreachable.into());
        };
        let open_connection = self.connection.take().filter(|connection| connection.relay == relay);
        let reused = open_connection.is_some();
        let mut connection = match open_connection {
            Some(connection) => connection,
            None => self.connect(relay, address, timeout)?,
        };
        let response = exchange(&mut connection, address, poll, deadline);
        let response = response.map_err(|error| poll_error(error, reused))?;
        if response.keep_alive {
            self.connection = Some(connection);
        }
        response_body(response)
    }

    fn connect(
        &self,
        relay: usize,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<RelayConnection, PollError> {
        match self.feed.connect(address, timeout) {
            Ok(connection) => Ok(RelayConnection { relay, connection, buffer: Vec::new() }),
            Err(error) => {
                if crate::net::out_of_descriptors(&error) {
                    self.sink.out_of_descriptors();
                }
                Err(PollFailure::Unreachable.into())
            }
        }
    }

    /// Applies the events of a response, and then renews the freshness lease.
    fn apply_response(&mut self, sent_at: Micros, body: &[u8]) -> Result<(), PollError> {
        let head: Head = serde_json::from_slice(body).map_err(InvalidResponse::from)?;
        let batch: Batch = serde_json::from_slice(body).map_err(InvalidResponse::from)?;
        let new_batch = match self.subscription.poll_answered(self.clock.now(), sent_at, &head)? {
            AcceptedAnswer::NoNewEvents => None,
            AcceptedAnswer::NewEvents { after } => Some(batch.after(after)),
            AcceptedAnswer::Snapshot => Some(batch),
        };
        if let Some(batch) = new_batch
            && !self.feed.apply_batch(&*self.sink, batch)
        {
            return Ok(());
        }
        self.subscription.events_applied(self.clock.now());
        self.sink.renew_freshness(self.subscription.lease().clone(), self.revalidations);
        self.feed.mark_caught_up();
        Ok(())
    }

    fn relay_name(&self, relay: usize) -> &str {
        self.relays.get(relay).map_or("", |relay| &relay.name)
    }

    fn record_success(&mut self, relay: usize) {
        self.feed.counters.answers.inc();
        if std::mem::take(&mut self.is_failing) {
            log::info!("event feed: connected again to relay {:?}", self.relay_name(relay));
        }
        self.feed.set_last_failure(None);
    }

    fn record_failure(&mut self, relay: usize, error: &PollError) {
        self.feed.counters.failed_calls.inc();
        let cause = format!("relay {:?}: {error}", self.relay_name(relay));
        if !std::mem::replace(&mut self.is_failing, true) {
            log::warn!("event feed: poll failed; retrying: {cause}");
        }
        self.feed.set_last_failure(Some(cause));
    }
}

/// Why a poll failed, or its response could not be applied.
#[derive(Debug, Error)]
enum PollError {
    /// No complete response was received.
    #[error(transparent)]
    Failed(#[from] PollFailure),
    /// The response is invalid.
    #[error("invalid response: {0}")]
    InvalidAnswer(#[from] InvalidResponse),
    /// The subscription rejected the response as inconsistent with its state, and has already chosen its next step.
    #[error(transparent)]
    Rejected(#[from] RejectedAnswer),
}

impl PollError {
    /// The failure to report to the subscription; `None` if the subscription itself rejected the response.
    fn failure(&self) -> Option<PollFailure> {
        match self {
            PollError::Failed(failure) => Some(*failure),
            PollError::InvalidAnswer(_) => Some(PollFailure::InvalidAnswer),
            PollError::Rejected(_) => None,
        }
    }
}

/// Sends a poll on a connection and reads the response.
fn exchange(
    connection: &mut RelayConnection,
    address: SocketAddr,
    poll: &Poll,
    deadline: Instant,
) -> Result<Response, ResponseError> {
    connection.connection.set_deadline(deadline);
    let request = format!("GET {} HTTP/1.1\r\nHost: {address}\r\n\r\n", poll.path());
    connection.connection.write_all(request.as_bytes())?;
    read_response(&mut connection.connection, &mut connection.buffer)
}

/// Returns the body of a response with status 200, and an error for any other status.
fn response_body(response: Response) -> Result<Vec<u8>, PollError> {
    match response.status {
        STATUS_OK => Ok(response.body),
        STATUS_SERVICE_UNAVAILABLE => {
            let retry_after = response.retry_after.map(|after| after.as_micros() as Micros);
            Err(PollFailure::Refused { retry_after }.into())
        }
        status => Err(InvalidResponse::Status(status).into()),
    }
}

/// Classifies the error of a poll. `reused` says that earlier polls used the connection, which the relay may have
/// closed since.
fn poll_error(error: ResponseError, reused: bool) -> PollError {
    let error = match error {
        ResponseError::Invalid(error) => return error.into(),
        ResponseError::Io(error) => error,
    };
    match error.kind() {
        _ if reused => PollFailure::ConnectionLost.into(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => PollFailure::TimedOut.into(),
        _ => PollFailure::Unreachable.into(),
    }
}
