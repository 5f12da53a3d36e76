//! The event bus: lists of stores and purges, by long poll.

use super::event_sink::EventSink;
use super::long_poll::{Connection, OpenSocket, answer, bad};
use super::{Permit, lock};
use crate::events::Batch;
use crate::metrics::FeedCounters;
use rand::{RngExt, SeedableRng};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long one poll is held. Short, so that a bus gone silent is called anew long before the 7 s after
/// which its events count as told.
const HOLD_MS: u64 = 1_000;
/// Silent for so long beyond that, it is called anew, up to as much again later: all gateways fall silent in the same
/// instant, and must not all come back in one.
const SILENT_FOR_MS: u64 = 300;
/// A bus that can't be reached is called again after about this, and after twice as long each time up to the longest.
const AGAIN_MS: u64 = 20;
const AGAIN_LONGEST_MS: u64 = 200;
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

/// How far the bus has been followed. One follower polls at a time; a second one comes with a new address.
#[derive(Default)]
pub struct Feed {
    /// By which calls are spread.
    seed: u64,
    last: Mutex<u64>,
    follower: AtomicU64,
    /// A poll has been answered.
    answered: AtomicBool,
    /// The connection that is open. Once it is shut, nothing is followed any more, and no event applied.
    socket: Arc<OpenSocket>,
    pub(super) counters: FeedCounters,
    /// What the last call has failed for; `None`: it was answered.
    trouble: Mutex<Option<String>>,
}

impl Feed {
    pub fn new(seed: u64, counters: FeedCounters) -> Feed {
        Feed { seed, counters, ..Feed::default() }
    }

    /// Ends the follower and shuts its connection, so that it waits for no answer.
    pub fn stop(&self) {
        self.socket.shut();
    }

    pub(super) fn stopped(&self) -> bool {
        self.socket.is_shut()
    }

    /// A connection that counts what goes over it, and ends with the feed.
    pub(super) fn connect(&self, at: SocketAddr, within: Duration) -> io::Result<Connection> {
        Connection::open(&self.socket, &self.counters, at, within)
    }

    /// Brings a batch into force. `false`: nothing is applied any more.
    pub(super) fn bring_into_force(&self, sink: &dyn EventSink, batch: Batch) -> bool {
        let mut last = lock(&self.last);
        if self.stopped() {
            return false;
        }
        *last = batch.offset;
        self.apply(sink, batch);
        true
    }

    fn apply(&self, sink: &dyn EventSink, batch: Batch) {
        self.counters.events.inc_by(batch.batch.len() as u64);
        sink.apply(batch);
    }

    /// Notes why the last call has failed, or that it has not.
    pub(super) fn note_trouble(&self, cause: Option<String>) {
        *lock(&self.trouble) = cause;
    }

    /// Why nothing new comes, as far as that is known.
    pub(super) fn trouble(&self) -> String {
        lock(&self.trouble).clone().unwrap_or_else(|| "no answer has come in time".into())
    }

    /// The feed has told what it had to tell at the start.
    pub(super) fn has_caught_up(&self) {
        self.answered.store(true, Ordering::SeqCst);
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
    feed.apply(sink, batch);
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
fn poll(feed: &Feed, sink: &dyn EventSink, at: SocketAddr, number: u64) {
    let mut line: Option<(Connection, Vec<u8>)> = None;
    let mut told = false;
    let mut pauses = Pauses::new(feed.seed ^ number);
    while feed.follower.load(Ordering::SeqCst) == number && !feed.stopped() {
        let fresh = line.is_none();
        let last = *lock(&feed.last);
        let mut poll = || -> io::Result<Batch> {
            let (mut stream, mut buffer) = match line.take() {
                Some(line) => line,
                None => (feed.connect(at, pauses.silent())?, Vec::new()),
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
                feed.has_caught_up();
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
