//! Receives endpoint lists and purges from the event bus by long poll.

use crate::events::Batch;
use crate::metrics::FeedCounters;
use crate::net::discovery::event_sink::EventSink;
use crate::net::discovery::long_poll::{
    Connection, InvalidResponse, ResponseError, ShutdownHandle, read_ok_response,
};
use crate::net::{Permit, lock};
use rand::{RngExt, SeedableRng};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the bus may hold a poll without events. Short, so that a silent bus is polled again long before 7 s have
/// passed, after which an old list counts as current.
const POLL_HOLD_MILLIS: u64 = 1_000;
/// How long beyond the hold time the gateway waits for a silent bus before it reconnects. Jitter of up to the same
/// length is added, as all gateways lose the bus at the same instant and must not reconnect at once.
const SILENCE_MARGIN_MILLIS: u64 = 300;
/// The initial backoff after a failed connection; it doubles up to [`MAX_BACKOFF_MILLIS`].
const MIN_BACKOFF_MILLIS: u64 = 20;
const MAX_BACKOFF_MILLIS: u64 = 200;
/// Limits the exponent of the backoff, so that the shift can't overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Timeouts and backoff with jitter, which spreads the polls of many gateways.
struct PollTiming {
    random: rand::rngs::SmallRng,
    /// The number of consecutive failed polls.
    consecutive_failures: u32,
}

impl PollTiming {
    fn new(seed: u64) -> PollTiming {
        PollTiming { random: rand::rngs::SmallRng::seed_from_u64(seed), consecutive_failures: 0 }
    }

    /// How long each read on a new connection may wait for bytes.
    fn silence_timeout(&mut self) -> Duration {
        let margin = self.random.random_range(SILENCE_MARGIN_MILLIS..=2 * SILENCE_MARGIN_MILLIS);
        Duration::from_millis(POLL_HOLD_MILLIS + margin)
    }

    /// The pause after a failed poll, with jitter.
    fn backoff(&mut self) -> Duration {
        let longest_millis = (MIN_BACKOFF_MILLIS << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS))
            .min(MAX_BACKOFF_MILLIS);
        self.consecutive_failures += 1;
        Duration::from_millis(self.random.random_range(longest_millis / 2..=longest_millis))
    }
}

/// The gateway's position in the sequence of events, and the state of its polls. One follower polls at a time; a change
/// of the bus address starts a new one.
#[derive(Default)]
pub struct Feed {
    /// Seeds the jitter of the polls.
    seed: u64,
    /// The offset of the last applied event.
    last_offset: Mutex<u64>,
    /// The number of the latest follower; earlier ones end after their pending poll.
    latest_follower: AtomicU64,
    /// Whether the first batch of events has been applied.
    caught_up: AtomicBool,
    /// Shuts down the open connection when the feed is stopped; no poll is sent and no event applied after that.
    shutdown: Arc<ShutdownHandle>,
    /// Metrics of polls, bytes and events.
    pub(in crate::net) counters: FeedCounters,
    /// Why the last poll failed; `None` if it succeeded.
    last_failure: Mutex<Option<String>>,
}

impl Feed {
    /// Creates a feed that has received no events. `seed` spreads its polls among those of other gateways.
    pub fn new(seed: u64, counters: FeedCounters) -> Feed {
        Feed { seed, counters, ..Feed::default() }
    }

    /// Stops the follower and shuts down its connection, so that a pending poll ends at once.
    pub fn stop(&self) {
        self.shutdown.shut_down();
    }

    pub(in crate::net) fn is_stopped(&self) -> bool {
        self.shutdown.is_shut_down()
    }

    /// Opens a connection whose bytes are counted, and which is shut down when the feed is stopped.
    pub(in crate::net) fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        Connection::open(&self.shutdown, &self.counters, address, timeout)
    }

    /// Applies all events of a batch. Returns `false` if the feed is stopped; nothing is applied then.
    pub(in crate::net) fn apply_batch(&self, sink: &dyn EventSink, batch: Batch) -> bool {
        let mut last_offset = lock(&self.last_offset);
        if self.is_stopped() {
            return false;
        }
        *last_offset = batch.offset;
        self.apply(sink, batch);
        true
    }

    fn apply(&self, sink: &dyn EventSink, batch: Batch) {
        self.counters.events.inc_by(batch.batch.len() as u64);
        sink.apply(batch);
    }

    /// Records why the last poll failed; `None` if it succeeded.
    pub(in crate::net) fn set_last_failure(&self, cause: Option<String>) {
        *lock(&self.last_failure) = cause;
    }

    /// Why no events arrive: the last failure, or a general text if none was recorded.
    pub(in crate::net) fn failure_cause(&self) -> String {
        lock(&self.last_failure).clone().unwrap_or_else(|| "no response received in time".into())
    }

    /// Records that the first batch of events has been applied.
    pub(in crate::net) fn mark_caught_up(&self) {
        self.caught_up.store(true, Ordering::SeqCst);
    }

    /// Whether the first batch of events has been applied.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::SeqCst)
    }
}

/// Applies those events of a batch that are new. The offset stays locked meanwhile, so that two overlapping followers
/// apply no event twice and none out of order.
pub fn apply_new_events(feed: &Feed, sink: &dyn EventSink, batch: Batch) {
    let mut last_offset = lock(&feed.last_offset);
    if feed.is_stopped() {
        return;
    }
    let batch = batch.after(*last_offset);
    *last_offset = batch.offset.max(*last_offset);
    feed.apply(sink, batch);
}

/// Starts a follower that polls the bus at an address from the last applied event on, in place of the previous
/// follower. The previous one still applies the response to its pending poll and then ends. The follower drops
/// `running` when it ends.
pub fn follow(feed: &Arc<Feed>, sink: &Arc<dyn EventSink>, address: SocketAddr, running: Permit) {
    let (feed, sink) = (feed.clone(), sink.clone());
    let follower_number = feed.latest_follower.fetch_add(1, Ordering::SeqCst) + 1;
    crate::net::spawn_with_large_stack(move || {
        let _running = running;
        let timing = PollTiming::new(feed.seed ^ follower_number);
        let mut follower = Follower {
            feed,
            sink,
            address,
            number: follower_number,
            timing,
            connection: None,
            is_failing: false,
        };
        follower.run();
    });
}

/// A connection to the bus, with the received bytes of the next response.
struct BusConnection {
    connection: Connection,
    buffer: Vec<u8>,
}

/// Polls the bus at one address.
struct Follower {
    feed: Arc<Feed>,
    sink: Arc<dyn EventSink>,
    address: SocketAddr,
    /// The follower polls as long as this is the number in `feed.latest_follower`.
    number: u64,
    timing: PollTiming,
    connection: Option<BusConnection>,
    /// Whether the last poll failed. Only the first of consecutive failures is logged.
    is_failing: bool,
}

impl Follower {
    /// Polls until the feed is stopped or a newer follower takes over. A lost connection is reopened without backoff.
    fn run(&mut self) {
        while self.feed.latest_follower.load(Ordering::SeqCst) == self.number && !self.feed.is_stopped() {
            let is_new_connection = self.connection.is_none();
            match self.poll() {
                Ok(batch) => self.handle_batch(batch),
                Err(_) if self.feed.is_stopped() => return,
                Err(error) => {
                    self.record_failure(&error);
                    // Without backoff, a bus that refuses connections would be polled in a busy loop.
                    if is_new_connection {
                        may::coroutine::sleep(self.timing.backoff());
                    }
                }
            }
        }
    }

    /// Sends a poll and reads the response.
    fn poll(&mut self) -> Result<Batch, ResponseError> {
        let (address, last_offset) = (self.address, *lock(&self.feed.last_offset));
        let mut bus_connection = match self.connection.take() {
            Some(bus_connection) => bus_connection,
            None => self.connect()?,
        };
        // The first poll must return at once, even without events.
        let hold_millis = if self.feed.is_caught_up() { POLL_HOLD_MILLIS } else { 0 };
        let request = format!(
            "GET /bus/read?from={last_offset}&hold={hold_millis} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        );
        bus_connection.connection.write_all(request.as_bytes())?;
        let response = read_ok_response(&mut bus_connection.connection, &mut bus_connection.buffer)?;
        if response.keep_alive {
            self.connection = Some(bus_connection);
        }
        Ok(serde_json::from_slice(&response.body).map_err(InvalidResponse::from)?)
    }

    fn connect(&mut self) -> io::Result<BusConnection> {
        let connection = self.feed.connect(self.address, self.timing.silence_timeout())?;
        Ok(BusConnection { connection, buffer: Vec::new() })
    }

    fn handle_batch(&mut self, batch: Batch) {
        if std::mem::take(&mut self.is_failing) {
            log::info!("event bus: connected again");
        }
        self.timing.consecutive_failures = 0;
        self.feed.counters.answers.inc();
        apply_new_events(&self.feed, &*self.sink, batch);
        self.feed.mark_caught_up();
    }

    fn record_failure(&mut self, error: &ResponseError) {
        self.feed.counters.failed_calls.inc();
        if !std::mem::replace(&mut self.is_failing, true) {
            log::warn!("event bus: {error}; calling anew");
        }
        if error.is_out_of_descriptors() {
            self.sink.out_of_descriptors();
        }
    }
}

#[cfg(test)]
mod tests;
