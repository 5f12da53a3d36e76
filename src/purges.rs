//! A bounded table of purges: the latest time for each object, group and slice of the hash space. It may count more as
//! purged than was, never less.

use crate::interface::Micros;
use sagearch_feed::slice::{covering, slice_of, tag_hash, url_hash};
use std::collections::{HashMap, VecDeque};

/// Purges that are held one by one; beyond, the oldest fold into floors.
const ROOM: usize = 16_384;
/// Equal slices of the hash space, each with a floor of its own.
const SLICES: u32 = 4_096;

/// An object's hash, by which its purges are found. Relays hash alike.
pub fn object_hash(object: &str) -> u64 {
    url_hash(object)
}

#[derive(Clone, Copy, Debug)]
struct Purge {
    /// The latest time that was entered.
    at: Micros,
    /// When that was.
    entered: Micros,
}

/// Times of purges. What the times stand for is the holder's matter: when a purge was made, or when it was told.
#[derive(Debug)]
pub struct Purges {
    /// By the hash of an object or a group.
    latest: HashMap<u64, Purge>,
    /// Each hash of `latest` once, in about the order in which they were entered.
    queue: VecDeque<(Micros, u64)>,
    room: usize,
    /// By slice: all that hashes into it counts as purged then. Empty until the first.
    floors: Vec<Option<Micros>>,
    /// The latest time among those that were dropped.
    dropped: Option<Micros>,
}

impl Default for Purges {
    fn default() -> Self {
        Purges::with_room(ROOM)
    }
}

impl Purges {
    /// An empty table that holds so many purges one by one.
    pub fn with_room(room: usize) -> Purges {
        let (latest, queue, floors) = (HashMap::new(), VecDeque::new(), Vec::new());
        Purges { latest, queue, room, floors, dropped: None }
    }

    /// Enters a purge of an object, or with no object of a group.
    pub fn enter(&mut self, now: Micros, object: Option<&str>, group: Option<u64>, at: Micros) {
        let hash = match (object, group) {
            (Some(object), _) => object_hash(object),
            (None, Some(group)) => tag_hash(group),
            (None, None) => return,
        };
        match self.latest.get_mut(&hash) {
            Some(purge) => {
                purge.at = purge.at.max(at);
                purge.entered = now;
            }
            None => {
                self.latest.insert(hash, Purge { at, entered: now });
                self.queue.push_back((now, hash));
            }
        }
        while self.latest.len() > self.room {
            self.fold_oldest();
        }
    }

    /// Enters a purge of all that hashes into slice `slice` of `of`.
    pub fn enter_slice(&mut self, slice: u32, of: u32, at: Micros) {
        for covered in covering(slice, of, SLICES) {
            self.raise_floor(covered, at);
        }
    }

    /// Drops the purges that were entered before that time and not again since.
    pub fn drop_before(&mut self, time: Micros) {
        while let Some((entered, hash)) = self.queue.front().copied().filter(|(entered, _)| *entered < time) {
            self.queue.pop_front();
            let Some(purge) = self.latest.get(&hash).copied() else { continue };
            if purge.entered > entered {
                self.queue.push_back((purge.entered, hash));
            } else {
                self.latest.remove(&hash);
                self.dropped = self.dropped.max(Some(purge.at));
            }
        }
    }

    /// The latest time for an object by its hash, and its group.
    pub fn latest(&self, object: u64, group: Option<u64>) -> Option<Micros> {
        self.of_hash(object).max(group.and_then(|group| self.of_hash(tag_hash(group))))
    }

    /// The latest time among those that were dropped.
    pub fn dropped(&self) -> Option<Micros> {
        self.dropped
    }

    fn of_hash(&self, hash: u64) -> Option<Micros> {
        let own = self.latest.get(&hash).map(|purge| purge.at);
        let floor = self.floors.get(slice_of(hash, SLICES) as usize).copied().flatten();
        own.max(floor)
    }

    /// The one that was entered first makes way for its slice's floor; one that was entered again goes behind.
    fn fold_oldest(&mut self) {
        let Some((entered, hash)) = self.queue.pop_front() else { return };
        match self.latest.get(&hash).copied() {
            Some(purge) if purge.entered > entered => self.queue.push_back((purge.entered, hash)),
            Some(purge) => {
                self.latest.remove(&hash);
                self.raise_floor(slice_of(hash, SLICES), purge.at);
            }
            None => {}
        }
    }

    fn raise_floor(&mut self, slice: u32, at: Micros) {
        self.floors.resize(SLICES as usize, None);
        if let Some(floor) = self.floors.get_mut(slice as usize) {
            *floor = (*floor).max(Some(at));
        }
    }
}

#[cfg(test)]
mod tests;
