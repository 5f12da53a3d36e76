//! The watermark: the offset of the last complete event. An event is complete once every subscriber has applied it, or
//! once every freshness lease that was granted without it has expired.

use super::Settings;
use super::acknowledgements::{Acknowledgement, Acknowledgements, MAX_SUBSCRIBERS, Subscriber, silent_ms};
use super::report::{Completion, CompletionReason, PeerStatus, Report, SubscriberReport};
use crate::message::{FeedId, Identity};
use crate::{MILLISECOND, Micros, Offset, lease};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of offsets stored with the time at which they became known. There are about ten per second, each
/// stored for one lease duration.
const MAX_KNOWN_OFFSETS: usize = 1_024;

/// The last report of a peer relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PeerReport {
    received_at: Micros,
    feed: Option<FeedId>,
    offset: Offset,
    complete: bool,
}

/// An offset, and the time at which events up to it became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KnownOffset {
    offset: Offset,
    known_since: Micros,
}

/// The acknowledgements of one feed, and the times from which the leases granted without an event are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watermark {
    name: String,
    peers: BTreeMap<String, Option<PeerReport>>,
    acknowledgements: Acknowledgements,
    /// The duration after which a lease has expired at every subscriber, on a clock that may be fast.
    lease_expiry: Micros,
    /// The time before which subscribers served by an earlier process of this relay may be unknown.
    complete_after: Micros,
    feed: Option<FeedId>,
    last_offset: Offset,
    /// The known offsets, the oldest first, without those whose leases have expired.
    known_offsets: VecDeque<KnownOffset>,
    /// The offset up to which all leases granted without the events have expired.
    expired_offset: Offset,
}

impl Watermark {
    /// Creates the watermark of a relay that starts now.
    pub fn new(settings: &Settings, now: Micros) -> Watermark {
        let lease_expiry = lease::expired_everywhere_after(settings.lease, settings.drift_per_mille);
        // A subscriber must be remembered as long as it may have a lease.
        let forget_after = settings.forget_after.max(lease_expiry);
        Watermark {
            name: settings.name.clone(),
            peers: settings.peers.iter().map(|peer| (peer.clone(), None)).collect(),
            acknowledgements: Acknowledgements::new(forget_after, MAX_SUBSCRIBERS),
            lease_expiry,
            complete_after: now.saturating_add(lease_expiry),
            feed: None,
            last_offset: 0,
            known_offsets: VecDeque::new(),
            expired_offset: 0,
        }
    }

    /// Records that this relay knows the events of the feed up to `offset` from now on.
    pub fn record_known(&mut self, now: Micros, feed: Option<&FeedId>, offset: Offset) {
        if self.feed.as_ref() != feed {
            self.start_feed(feed);
        }
        self.expire_known_offsets(now);
        if offset <= self.last_offset {
            return;
        }
        self.last_offset = offset;
        if self.known_offsets.len() >= MAX_KNOWN_OFFSETS {
            // The removed offset counts as known at the later time of the new one: it completes later, never too early.
            self.known_offsets.pop_back();
        }
        self.known_offsets.push_back(KnownOffset { offset, known_since: now });
    }

    /// Records a poll of this relay: the subscriber has applied the events of the current feed up to `offset`.
    pub fn acknowledge(&mut self, now: Micros, identity: &Identity, offset: Offset) {
        let acknowledgement =
            Acknowledgement { identity, offset, last_seen: now, via: &self.name, polled_here: true };
        self.acknowledgements.record(now, acknowledgement);
    }

    /// Applies the report of a peer relay. Returns false, without any effect, if the peer is not configured.
    pub fn apply_peer_report(&mut self, now: Micros, peer: &str, report: &Report) -> bool {
        let Some(known) = self.peers.get_mut(peer) else { return false };
        *known = Some(PeerReport {
            received_at: now,
            feed: report.feed.clone(),
            offset: report.offset,
            complete: report.complete,
        });
        let same_feed = report.feed == self.feed;
        for subscriber in report.subscribers.iter().take(MAX_SUBSCRIBERS) {
            let identity = Identity { name: subscriber.name.clone(), incarnation: subscriber.incarnation };
            let offset = if same_feed { subscriber.offset } else { 0 };
            let last_seen = now.saturating_sub(subscriber.silent_ms.saturating_mul(MILLISECOND));
            let acknowledgement =
                Acknowledgement { identity: &identity, offset, last_seen, via: peer, polled_here: false };
            self.acknowledgements.record(now, acknowledgement);
        }
        true
    }

    /// Whether and why all events up to `offset` are complete.
    pub fn completion(&self, now: Micros, offset: Offset) -> Option<Completion> {
        if offset > self.last_offset {
            return None;
        }
        let known = self.known_offsets.iter().find(|known| known.offset >= offset);
        let elapsed = known.map_or(self.lease_expiry, |known| now.saturating_sub(known.known_since));
        if offset <= self.expired_offset || elapsed >= self.lease_expiry {
            let elapsed_ms = self.lease_expiry / MILLISECOND;
            return Some(Completion { offset, reason: CompletionReason::LeasesExpired, elapsed_ms });
        }
        let acknowledged =
            self.acknowledged_offset(now).is_some_and(|acknowledged_offset| acknowledged_offset >= offset);
        let elapsed_ms = elapsed / MILLISECOND;
        acknowledged.then_some(Completion { offset, reason: CompletionReason::Acknowledged, elapsed_ms })
    }

    /// The offset up to which all events are complete.
    pub fn watermark(&self, now: Micros) -> Offset {
        let expired = |known: &&KnownOffset| now.saturating_sub(known.known_since) >= self.lease_expiry;
        let latest_expired = self.known_offsets.iter().rev().find(expired);
        let expired_offset = latest_expired.map_or(self.expired_offset, |known| known.offset);
        expired_offset.max(self.acknowledged_offset(now).unwrap_or(0))
    }

    /// Drops the offsets whose leases have expired, and the subscribers that have not polled for too long.
    pub fn expire(&mut self, now: Micros) {
        self.expire_known_offsets(now);
        self.acknowledgements.expire(now);
    }

    /// Removes a subscriber that an operator has declared gone. Returns false if the name is unknown.
    pub fn forget(&mut self, name: &str) -> bool {
        self.acknowledgements.forget(name)
    }

    /// Whether all subscribers that may have a lease from this relay are known.
    pub fn knows_all_subscribers(&self, now: Micros) -> bool {
        now >= self.complete_after && self.acknowledgements.is_complete(now)
    }

    /// The subscribers that have polled this relay, for its report to peers. Reports of peers are not forwarded.
    pub fn own_subscribers(&self, now: Micros) -> Vec<SubscriberReport> {
        let own = |(name, subscriber): (&str, &Subscriber)| {
            Some(SubscriberReport {
                name: name.to_owned(),
                incarnation: subscriber.incarnation,
                offset: subscriber.offset,
                silent_ms: silent_ms(now, subscriber.last_polled_here?),
                via: self.name.clone(),
            })
        };
        self.acknowledgements.present(now).filter_map(own).collect()
    }

    /// All known subscribers, including those that polled only peer relays.
    pub fn subscribers(&self, now: Micros) -> impl Iterator<Item = SubscriberReport> + '_ {
        self.acknowledgements.present(now).map(move |(name, subscriber)| SubscriberReport {
            name: name.to_owned(),
            incarnation: subscriber.incarnation,
            offset: subscriber.offset,
            silent_ms: silent_ms(now, subscriber.last_seen),
            via: subscriber.via.clone(),
        })
    }

    /// The state of the configured peer relays.
    pub fn peer_statuses(&self, now: Micros) -> Vec<PeerStatus> {
        let status = |(name, report): (&String, &Option<PeerReport>)| PeerStatus {
            relay: name.clone(),
            silent_ms: report.as_ref().map(|report| silent_ms(now, report.received_at)),
            offset: report.as_ref().map(|report| report.offset),
        };
        self.peers.iter().map(status).collect()
    }

    /// The offset that all subscribers have acknowledged; `None` while a relay may not know all of its subscribers.
    fn acknowledged_offset(&self, now: Micros) -> Option<Offset> {
        if !self.knows_all_subscribers(now) {
            return None;
        }
        let own = self.acknowledgements.lowest_offset(now).unwrap_or(self.last_offset);
        let mut lowest = own.min(self.last_offset);
        for report in self.peers.values() {
            // A report sent before the peer knew an event may lack subscribers that have polled the peer since.
            let report = report.as_ref().filter(|report| report.complete && report.feed == self.feed)?;
            lowest = lowest.min(report.offset);
        }
        Some(lowest)
    }

    /// Starts another feed: known offsets are no longer valid, as offsets of different feeds can't be compared.
    fn start_feed(&mut self, feed: Option<&FeedId>) {
        self.feed = feed.cloned();
        self.acknowledgements.reset_offsets();
        self.known_offsets.clear();
        self.expired_offset = 0;
        self.last_offset = 0;
    }

    fn expire_known_offsets(&mut self, now: Micros) {
        while let Some(known) = self.known_offsets.front() {
            if now.saturating_sub(known.known_since) < self.lease_expiry {
                break;
            }
            self.expired_offset = known.offset;
            self.known_offsets.pop_front();
        }
    }
}
