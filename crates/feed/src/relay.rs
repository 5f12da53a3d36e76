//! The relay side of the feed: a relay follows the event bus or an upstream relay by its own
//! [`Subscription`](crate::subscription), and answers the polls of many subscribers.
//!
//! - `upstream`: applies answers of the upstream;
//! - `log`: the events that can be sent individually;
//! - [`purges`] and `topology`: the complete state, for snapshots;
//! - `admission`: limits the number of sessions;
//! - `pending_polls`: polls that wait for new events;
//! - `answer`: the bodies that answer polls;
//! - [`acknowledgements`] and [`watermark`]: which events are complete at all subscribers;
//! - [`report`] and `reporting`: reports for peer relays and status for operators.

pub mod acknowledgements;
mod admission;
mod answer;
mod log;
mod pending_polls;
pub mod purges;
mod reply;
pub mod report;
mod reporting;
mod settings;
mod topology;
mod upstream;
pub mod watermark;

use crate::message::{FeedId, Poll};
use crate::{MILLISECOND, Micros, Offset};
use admission::Admission;
use answer::PollAnswer;
use log::Log;
use pending_polls::{PendingPoll, PendingPolls};
use purges::Purges;
use report::Report;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::OnceLock;
use topology::Topology;
use watermark::Watermark;

pub use reply::{DueAnswer, InvalidPoll, PollReply, SharedBody};
pub use settings::Settings;
pub use upstream::UpstreamAnswerError;

/// Identifies one connection of a subscriber, by a number that the caller never reuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Session(pub u64);

/// The interval between removals of expired purges, offsets and subscribers.
const HOUSEKEEPING_INTERVAL: Micros = 1_000 * MILLISECOND;

/// The state of one relay.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    /// Whether an answer of the upstream has been applied.
    is_ready: bool,
    feed: Option<FeedId>,
    /// All events that existed at this time are known.
    as_of: Option<Micros>,
    log: Log,
    topology: Topology,
    purges: Purges,
    pending: PendingPolls,
    /// When pending polls are to be answered with the new events.
    flush_at: Option<Micros>,
    /// The offset up to which pending polls have been answered.
    flushed: Offset,
    admission: Admission,
    watermark: Watermark,
    /// The encoded events of a snapshot; cleared whenever the state changes.
    encoded_snapshot: OnceLock<String>,
    next_housekeeping: Micros,
    /// The number of snapshots sent since the start.
    snapshots_sent: u64,
}

impl Relay {
    /// Creates a relay without state: it rejects polls until the first answer of the upstream.
    pub fn new(settings: Settings, now: Micros) -> Relay {
        Relay {
            is_ready: false,
            feed: None,
            as_of: None,
            log: Log::new(settings.max_log_events),
            topology: Topology::default(),
            purges: Purges::new(settings.purge_retention, settings.max_purges),
            pending: PendingPolls::default(),
            flush_at: None,
            flushed: 0,
            admission: Admission::new(settings.max_sessions, settings.max_sessions_per_address),
            watermark: Watermark::new(&settings, now),
            encoded_snapshot: OnceLock::new(),
            next_housekeeping: now,
            snapshots_sent: 0,
            settings,
        }
    }

    /// Answers a poll or adds it to the pending polls. Its acknowledgement counts unless the reply is
    /// [`PollReply::Busy`].
    pub fn handle_poll(&mut self, now: Micros, session: Session, address: IpAddr, poll: &Poll) -> PollReply {
        if !self.is_ready || !self.admission.admit(session, address) {
            return self.busy(now);
        }
        if self.pending.contains(session) {
            return PollReply::Invalid(InvalidPoll::AnotherPending);
        }
        let same_feed = self.is_same_feed(poll);
        if let Some(identity) = &poll.identity {
            let offset = if same_feed { poll.from } else { 0 };
            self.watermark.acknowledge(now, identity, offset);
        }
        let content = if same_feed && self.log.contains_all_after(poll.from) {
            PollAnswer::After(poll.from)
        } else {
            PollAnswer::Snapshot
        };
        let last = self.log.last_offset();
        match content {
            PollAnswer::Snapshot if poll.identity.is_none() && !self.purges.floors().is_empty() => {
                PollReply::Invalid(InvalidPoll::SnapshotNeedsIdentity)
            }
            PollAnswer::Snapshot => {
                self.snapshots_sent += 1;
                PollReply::Answer(self.body(now, content))
            }
            PollAnswer::After(from) if from < self.flushed || poll.hold_ms == 0 => {
                PollReply::Answer(self.body(now, PollAnswer::After(from)))
            }
            PollAnswer::After(from) => {
                let expires_at = now.saturating_add(poll.hold_ms.saturating_mul(MILLISECOND));
                self.pending.insert(PendingPoll { session, from, expires_at, needs_snapshot: false });
                debug_assert!(
                    from >= last || self.flush_at.is_some(),
                    "a poll for known events is pending without a scheduled flush"
                );
                PollReply::Pending
            }
        }
    }

    /// Answers the pending polls for which there are new events or whose hold has ended.
    pub fn tick(&mut self, now: Micros) -> Vec<DueAnswer> {
        self.run_housekeeping(now);
        let mut due = Vec::new();
        if self.flush_at.is_some_and(|flush_at| flush_at <= now) {
            self.flush_at = None;
            self.flushed = self.log.last_offset();
            due = self.pending.take_outdated(self.flushed);
        }
        due.extend(self.pending.take_expired(now));
        let snapshots = due.iter().filter(|poll| self.answer_to(poll) == PollAnswer::Snapshot);
        self.snapshots_sent += snapshots.count() as u64;
        // Polls with the same answer share one encoded body.
        let mut bodies = BTreeMap::new();
        let answer = |poll: PendingPoll| {
            let content = self.answer_to(&poll);
            let body: &SharedBody = bodies.entry(content).or_insert_with(|| self.body(now, content));
            DueAnswer { session: poll.session, body: body.clone() }
        };
        due.into_iter().map(answer).collect()
    }

    /// When [`Relay::tick`] is to be called next; `None` if only a poll or an answer of the upstream can require it.
    pub fn next_tick(&self) -> Option<Micros> {
        self.flush_at.into_iter().chain(self.pending.first_expiry()).min()
    }

    /// Removes a session whose connection has ended, together with its pending poll.
    pub fn session_closed(&mut self, session: Session) {
        self.pending.remove(session);
        self.admission.close(session);
    }

    /// Applies the report of a peer relay. Returns false, without any effect, if the peer is not configured.
    pub fn apply_peer_report(&mut self, now: Micros, peer: &str, report: &Report) -> bool {
        self.watermark.apply_peer_report(now, peer, report)
    }

    /// Removes a subscriber that an operator has declared gone. Returns false if the name is unknown.
    pub fn forget(&mut self, name: &str) -> bool {
        self.watermark.forget(name)
    }

    /// The offset of the last known event.
    pub fn offset(&self) -> Offset {
        self.log.last_offset()
    }

    fn run_housekeeping(&mut self, now: Micros) {
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now.saturating_add(HOUSEKEEPING_INTERVAL);
        self.purges.expire(now);
        self.encoded_snapshot.take();
        self.watermark.expire(now);
    }

    fn schedule_flush(&mut self, flush_at: Micros) {
        self.flush_at = Some(self.flush_at.map_or(flush_at, |scheduled| scheduled.min(flush_at)));
    }

    /// Whether the `from` of a poll is an offset of this relay's feed. A plain poll does not name its feed and is
    /// assumed to belong to it.
    fn is_same_feed(&self, poll: &Poll) -> bool {
        let plain = poll.identity.is_none() && poll.feed.is_none();
        plain || poll.feed == self.feed || (poll.feed.is_none() && poll.from == 0)
    }

    fn busy(&mut self, now: Micros) -> PollReply {
        PollReply::Busy { retry_after_ms: self.admission.retry_after(now).div_ceil(MILLISECOND) }
    }
}
