//! Who has acknowledged what, here and at the other relays.

use crate::message::Identity;
use crate::{MILLISECOND, Micros};
use std::collections::BTreeMap;

/// Subscribers known at one time.
pub const SUBSCRIBERS_ROOM: usize = 16_384;

/// A subscriber, in the latest incarnation known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subscriber {
    pub incarnation: u64,
    /// Events up to here are in force in it.
    pub offset: u64,
    /// When it was heard last, here or elsewhere.
    pub heard: Micros,
    /// The relay where it was heard last.
    pub via: String,
    /// When it polled here last.
    pub heard_here: Option<Micros>,
}

/// One word of a subscriber: by a poll of its own, or by another relay's report.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement<'a> {
    pub identity: &'a Identity,
    pub offset: u64,
    pub heard: Micros,
    pub via: &'a str,
    pub here: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acknowledgements {
    forget_after: Micros,
    room: usize,
    subscribers: BTreeMap<String, Subscriber>,
    /// Until then the table may lack someone for whom there was no room.
    incomplete_until: Micros,
}

impl Acknowledgements {
    pub fn new(forget_after: Micros, room: usize) -> Acknowledgements {
        Acknowledgements { forget_after, room, subscribers: BTreeMap::new(), incomplete_until: 0 }
    }

    pub fn take(&mut self, now: Micros, told: Acknowledgement) {
        let Identity { name, incarnation } = told.identity;
        let Some(known) = self.subscribers.get_mut(name) else { return self.enter(now, told) };
        if *incarnation < known.incarnation {
            // A process that is no more: what it had in force is lost.
            return;
        }
        if *incarnation > known.incarnation {
            known.incarnation = *incarnation;
            known.offset = told.offset;
        }
        known.offset = known.offset.max(told.offset);
        if told.heard >= known.heard {
            known.heard = told.heard;
            known.via = told.via.to_owned();
        }
        if told.here {
            known.heard_here = Some(told.heard);
        }
    }

    /// Drops who has been silent for too long: its lease has been over for long.
    pub fn expire(&mut self, now: Micros) {
        let forget_after = self.forget_after;
        self.subscribers.retain(|_, known| now.saturating_sub(known.heard) <= forget_after);
    }

    /// An operator's word that there is no such subscriber any more.
    pub fn forget(&mut self, name: &str) -> bool {
        self.subscribers.remove(name).is_some()
    }

    /// All numbers are void: another feed has begun.
    pub fn forget_offsets(&mut self) {
        for known in self.subscribers.values_mut() {
            known.offset = 0;
        }
    }

    /// Whether nobody is missing for want of room.
    pub fn complete(&self, now: Micros) -> bool {
        now >= self.incomplete_until
    }

    /// What all have acknowledged; `None` if there is nobody.
    pub fn lowest(&self, now: Micros) -> Option<u64> {
        self.present(now).map(|(_, known)| known.offset).min()
    }

    /// Those who have not been silent for too long.
    pub fn present(&self, now: Micros) -> impl Iterator<Item = (&str, &Subscriber)> + '_ {
        let forget_after = self.forget_after;
        self.subscribers
            .iter()
            .filter(move |(_, known)| now.saturating_sub(known.heard) <= forget_after)
            .map(|(name, known)| (name.as_str(), known))
    }

    fn enter(&mut self, now: Micros, told: Acknowledgement) {
        if now.saturating_sub(told.heard) > self.forget_after {
            return;
        }
        if self.subscribers.len() >= self.room {
            self.expire(now);
        }
        if self.subscribers.len() >= self.room {
            self.incomplete_until = now.saturating_add(self.forget_after);
            return;
        }
        let known = Subscriber {
            incarnation: told.identity.incarnation,
            offset: told.offset,
            heard: told.heard,
            via: told.via.to_owned(),
            heard_here: told.here.then_some(told.heard),
        };
        self.subscribers.insert(told.identity.name.clone(), known);
    }
}

/// How long ago that was, in whole milliseconds.
pub fn silent_ms(now: Micros, heard: Micros) -> u64 {
    now.saturating_sub(heard) / MILLISECOND
}
