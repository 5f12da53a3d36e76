//! Up to which event everything is done everywhere: in force in every subscriber, or every lease that does not know of it
//! is over.

use super::acknowledgements::{Acknowledgement, Acknowledgements, SUBSCRIBERS_ROOM, silent_ms};
use super::report::{Done, DoneBy, Report, SubscriberReport};
use crate::message::{FeedId, Identity};
use crate::{MILLISECOND, Micros, lease};
use std::collections::{BTreeMap, VecDeque};

/// Moments remembered at which events became known: there are some ten a second, and each is over after a lease.
const LEARNED_ROOM: usize = 1_024;

/// What another relay reported last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    heard: Micros,
    feed: Option<FeedId>,
    offset: u64,
    complete: bool,
}

/// Acknowledgements of one feed, and the moments from which leases are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watermark {
    name: String,
    peers: BTreeMap<String, Option<Peer>>,
    acknowledgements: Acknowledgements,
    /// After how long a lease that was given out before has ended everywhere, on a clock that may be fast.
    lease_over: Micros,
    /// Who was served by an earlier process of this relay is not known before then, unless it has been heard since.
    complete_from: Micros,
    feed: Option<FeedId>,
    last: u64,
    /// When events up to an offset became known, the oldest first; those whose leases are over are left out.
    learned: VecDeque<(u64, Micros)>,
    /// Leases that do not know of events up to here are over.
    over: u64,
}

impl Watermark {
    pub fn new(
        name: &str,
        peers: &[String],
        lease: Micros,
        drift: u32,
        forget_after: Micros,
        now: Micros,
    ) -> Watermark {
        let lease_over = lease::surely_over(lease, drift);
        Watermark {
            name: name.to_owned(),
            peers: peers.iter().map(|peer| (peer.clone(), None)).collect(),
            // Who may still hold a lease must not be forgotten.
            acknowledgements: Acknowledgements::new(forget_after.max(lease_over), SUBSCRIBERS_ROOM),
            lease_over,
            complete_from: now.saturating_add(lease_over),
            feed: None,
            last: 0,
            learned: VecDeque::new(),
            over: 0,
        }
    }

    /// Events up to `offset` are known here from now on.
    pub fn learn(&mut self, now: Micros, feed: Option<&FeedId>, offset: u64) {
        if self.feed.as_ref() != feed {
            self.feed = feed.cloned();
            self.acknowledgements.forget_offsets();
            self.learned.clear();
            self.over = 0;
            self.last = 0;
        }
        self.advance(now);
        if offset <= self.last {
            return;
        }
        self.last = offset;
        if self.learned.len() >= LEARNED_ROOM {
            // Those before count as known later than they were: done later, never too early.
            self.learned.pop_back();
        }
        self.learned.push_back((offset, now));
    }

    /// A subscriber has polled here: events up to `offset` of the present feed are in force in it.
    pub fn acknowledge(&mut self, now: Micros, identity: &Identity, offset: u64) {
        let told = Acknowledgement { identity, offset, heard: now, via: &self.name, here: true };
        self.acknowledgements.take(now, told);
    }

    /// Another relay's report. False if it is none of the configured ones.
    pub fn hear(&mut self, now: Micros, peer: &str, report: &Report) -> bool {
        let Some(known) = self.peers.get_mut(peer) else { return false };
        *known = Some(Peer {
            heard: now,
            feed: report.feed.clone(),
            offset: report.offset,
            complete: report.complete,
        });
        let comparable = report.feed == self.feed;
        for told in report.subscribers.iter().take(SUBSCRIBERS_ROOM) {
            let identity = Identity { name: told.name.clone(), incarnation: told.incarnation };
            let offset = if comparable { told.offset } else { 0 };
            let heard = now.saturating_sub(told.silent_ms.saturating_mul(MILLISECOND));
            let told = Acknowledgement { identity: &identity, offset, heard, via: peer, here: false };
            self.acknowledgements.take(now, told);
        }
        true
    }

    /// Whether and how everything up to `offset` is done everywhere.
    pub fn done(&self, now: Micros, offset: u64) -> Option<Done> {
        if offset > self.last {
            return None;
        }
        let learned = self.learned.iter().find(|(known, _)| *known >= offset).map(|(_, at)| *at);
        let took = learned.map_or(self.lease_over, |at| now.saturating_sub(at));
        if offset <= self.over || took >= self.lease_over {
            return Some(Done { offset, by: DoneBy::LeaseOver, took_ms: self.lease_over / MILLISECOND });
        }
        let acknowledged = self.acknowledged(now).is_some_and(|all| all >= offset);
        acknowledged.then_some(Done { offset, by: DoneBy::Acknowledged, took_ms: took / MILLISECOND })
    }

    /// The last event that is done everywhere.
    pub fn watermark(&self, now: Micros) -> u64 {
        let expired = |at: Micros| now.saturating_sub(at) >= self.lease_over;
        let over =
            self.learned.iter().rev().find(|(_, at)| expired(*at)).map_or(self.over, |(offset, _)| *offset);
        over.max(self.acknowledged(now).unwrap_or(0))
    }

    pub fn expire(&mut self, now: Micros) {
        self.advance(now);
        self.acknowledgements.expire(now);
    }

    pub fn forget(&mut self, name: &str) -> bool {
        self.acknowledgements.forget(name)
    }

    /// Whether all that may hold a lease from here are known.
    pub fn complete(&self, now: Micros) -> bool {
        now >= self.complete_from && self.acknowledgements.complete(now)
    }

    /// Those who have polled here, for the other relays. What they reported is not passed on.
    pub fn own_subscribers(&self, now: Micros) -> Vec<SubscriberReport> {
        let own = |(name, known): (&str, &super::acknowledgements::Subscriber)| {
            let heard = known.heard_here?;
            Some(SubscriberReport {
                name: name.to_owned(),
                incarnation: known.incarnation,
                offset: known.offset,
                silent_ms: silent_ms(now, heard),
                via: self.name.clone(),
            })
        };
        self.acknowledgements.present(now).filter_map(own).collect()
    }

    /// All known subscribers, wherever they were heard last.
    pub fn subscribers(&self, now: Micros) -> impl Iterator<Item = SubscriberReport> + '_ {
        self.acknowledgements.present(now).map(move |(name, known)| SubscriberReport {
            name: name.to_owned(),
            incarnation: known.incarnation,
            offset: known.offset,
            silent_ms: silent_ms(now, known.heard),
            via: known.via.clone(),
        })
    }

    /// The configured relays, with when they were heard last and how far they were.
    pub fn peers(&self) -> impl Iterator<Item = (&str, Option<(Micros, u64)>)> + '_ {
        let heard = |peer: &Option<Peer>| peer.as_ref().map(|peer| (peer.heard, peer.offset));
        self.peers.iter().map(move |(name, peer)| (name.as_str(), heard(peer)))
    }

    /// What all subscribers have acknowledged, as far as every relay's table is known to be whole.
    fn acknowledged(&self, now: Micros) -> Option<u64> {
        if !self.complete(now) {
            return None;
        }
        let mut lowest = self.acknowledgements.lowest(now).unwrap_or(self.last).min(self.last);
        for peer in self.peers.values() {
            // A report from before an event was known there may lack who has polled there since.
            let peer = peer.as_ref().filter(|peer| peer.complete && peer.feed == self.feed)?;
            lowest = lowest.min(peer.offset);
        }
        Some(lowest)
    }

    fn advance(&mut self, now: Micros) {
        while let Some((offset, at)) = self.learned.front() {
            if now.saturating_sub(*at) < self.lease_over {
                break;
            }
            self.over = *offset;
            self.learned.pop_front();
        }
    }
}
