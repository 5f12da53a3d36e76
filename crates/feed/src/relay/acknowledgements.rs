//! The events that each subscriber has acknowledged, at this relay and at its peers.

use crate::message::Identity;
use crate::{MILLISECOND, Micros, Offset};
use std::collections::BTreeMap;

/// The maximum number of subscribers in the table.
pub const MAX_SUBSCRIBERS: usize = 16_384;

/// A subscriber in its latest known incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subscriber {
    /// The incarnation of the subscriber's process.
    pub incarnation: u64,
    /// The offset up to which the subscriber has applied events.
    pub offset: Offset,
    /// When the subscriber last polled this relay or a peer.
    pub last_seen: Micros,
    /// The relay that the subscriber polled last.
    pub via: String,
    /// When the subscriber last polled this relay.
    pub last_polled_here: Option<Micros>,
}

/// A subscriber's acknowledgement, received by a poll or by the report of a peer relay.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement<'a> {
    /// The subscriber's name and incarnation.
    pub identity: &'a Identity,
    /// The offset up to which the subscriber has applied events.
    pub offset: Offset,
    /// When the subscriber polled.
    pub last_seen: Micros,
    /// The relay that received the poll.
    pub via: &'a str,
    /// Whether this relay received the poll.
    pub polled_here: bool,
}

/// The table of subscribers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acknowledgements {
    forget_after: Micros,
    capacity: usize,
    subscribers: BTreeMap<String, Subscriber>,
    /// The time until which the table may lack a subscriber for want of capacity.
    incomplete_until: Micros,
}

impl Acknowledgements {
    /// Creates an empty table. It holds at most `capacity` subscribers, and drops those that have not polled for longer
    /// than `forget_after`.
    pub fn new(forget_after: Micros, capacity: usize) -> Acknowledgements {
        Acknowledgements { forget_after, capacity, subscribers: BTreeMap::new(), incomplete_until: 0 }
    }

    /// Records an acknowledgement. One of an earlier incarnation than the known one is ignored.
    pub fn record(&mut self, now: Micros, acknowledgement: Acknowledgement) {
        let Identity { name, incarnation } = acknowledgement.identity;
        let Some(known) = self.subscribers.get_mut(name) else { return self.insert(now, acknowledgement) };
        if *incarnation < known.incarnation {
            // The process has ended: the events that it had applied are lost.
            return;
        }
        if *incarnation > known.incarnation {
            known.incarnation = *incarnation;
            known.offset = acknowledgement.offset;
        }
        known.offset = known.offset.max(acknowledgement.offset);
        if acknowledgement.last_seen >= known.last_seen {
            known.last_seen = acknowledgement.last_seen;
            acknowledgement.via.clone_into(&mut known.via);
        }
        if acknowledgement.polled_here {
            known.last_polled_here = Some(acknowledgement.last_seen);
        }
    }

    /// Drops the subscribers that have not polled within `forget_after`: their leases expired long ago.
    pub fn expire(&mut self, now: Micros) {
        let forget_after = self.forget_after;
        self.subscribers.retain(|_, known| now.saturating_sub(known.last_seen) <= forget_after);
    }

    /// Removes a subscriber that an operator has declared gone. Returns false if the name is unknown.
    pub fn forget(&mut self, name: &str) -> bool {
        self.subscribers.remove(name).is_some()
    }

    /// Resets all acknowledged offsets, which are no longer valid when another feed begins.
    pub fn reset_offsets(&mut self) {
        for known in self.subscribers.values_mut() {
            known.offset = 0;
        }
    }

    /// Whether the table lacks no subscriber for want of capacity.
    pub fn is_complete(&self, now: Micros) -> bool {
        now >= self.incomplete_until
    }

    /// The offset that all subscribers have acknowledged; `None` if there are no subscribers.
    pub fn lowest_offset(&self, now: Micros) -> Option<Offset> {
        self.present(now).map(|(_, known)| known.offset).min()
    }

    /// The subscribers that have polled within `forget_after`, by name.
    pub fn present(&self, now: Micros) -> impl Iterator<Item = (&str, &Subscriber)> + '_ {
        let forget_after = self.forget_after;
        self.subscribers
            .iter()
            .filter(move |(_, known)| now.saturating_sub(known.last_seen) <= forget_after)
            .map(|(name, known)| (name.as_str(), known))
    }

    fn insert(&mut self, now: Micros, acknowledgement: Acknowledgement) {
        if now.saturating_sub(acknowledgement.last_seen) > self.forget_after {
            return;
        }
        if self.subscribers.len() >= self.capacity {
            self.expire(now);
        }
        if self.subscribers.len() >= self.capacity {
            self.incomplete_until = now.saturating_add(self.forget_after);
            return;
        }
        let known = Subscriber {
            incarnation: acknowledgement.identity.incarnation,
            offset: acknowledgement.offset,
            last_seen: acknowledgement.last_seen,
            via: acknowledgement.via.to_owned(),
            last_polled_here: acknowledgement.polled_here.then_some(acknowledgement.last_seen),
        };
        self.subscribers.insert(acknowledgement.identity.name.clone(), known);
    }
}

/// The time since a subscriber or peer was last seen, in whole milliseconds.
pub fn silent_ms(now: Micros, last_seen: Micros) -> u64 {
    now.saturating_sub(last_seen) / MILLISECOND
}
