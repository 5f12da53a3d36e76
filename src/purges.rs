//! A bounded table with the latest purge time of each object, group and slice of the hash space. It may report objects
//! as purged that were not, but never misses a purge.

use crate::interface::Micros;
use sagearch_feed::slice::{covering, slice_of, tag_hash, url_hash};
use std::collections::{HashMap, VecDeque};

/// Maximum number of purges with an entry of their own; the oldest beyond that are merged into the floors of their
/// slices.
const DEFAULT_CAPACITY_ENTRIES: usize = 16_384;
/// Number of equal slices of the hash space, each with a floor of its own.
const SLICE_COUNT: u32 = 4_096;

/// Returns the hash by which purges of an object are found. Relays use the same hash.
pub fn object_hash(object: &str) -> u64 {
    url_hash(object)
}

/// The latest purge of an object or a group.
#[derive(Clone, Copy, Debug)]
struct Purge {
    /// The latest purge time that was recorded.
    purged_at: Micros,
    /// When the purge was last recorded.
    recorded_at: Micros,
}

/// Table of purge times. The owner defines their meaning: when a purge was made, or when it was reported.
#[derive(Debug)]
pub struct Purges {
    /// Latest purges by the hash of their object or group.
    latest: HashMap<u64, Purge>,
    /// Each hash of `latest` once, approximately in the order in which the purges were recorded.
    queue: VecDeque<(Micros, u64)>,
    /// Maximum number of entries in `latest`.
    capacity: usize,
    /// Floors by slice: every object and group that hashes into the slice counts as purged at this time or later. Empty
    /// until the first floor is raised.
    floors: Vec<Option<Micros>>,
    /// The latest purge time among dropped entries.
    dropped: Option<Micros>,
}

impl Default for Purges {
    fn default() -> Self {
        Purges::with_capacity(DEFAULT_CAPACITY_ENTRIES)
    }
}

impl Purges {
    /// Creates an empty table for at most `capacity` entries.
    pub fn with_capacity(capacity: usize) -> Purges {
        Purges { latest: HashMap::new(), queue: VecDeque::new(), capacity, floors: Vec::new(), dropped: None }
    }

    /// Records a purge, made at `purged_at`, of an object or, without an object, of a group.
    pub fn enter(&mut self, now: Micros, object: Option<&str>, group: Option<u64>, purged_at: Micros) {
        let hash = match (object, group) {
            (Some(object), _) => object_hash(object),
            (None, Some(group)) => tag_hash(group),
            (None, None) => return,
        };
        if let Some(purge) = self.latest.get_mut(&hash) {
            purge.purged_at = purge.purged_at.max(purged_at);
            purge.recorded_at = now;
        } else {
            self.latest.insert(hash, Purge { purged_at, recorded_at: now });
            self.queue.push_back((now, hash));
        }
        while self.latest.len() > self.capacity {
            self.merge_oldest();
        }
    }

    /// Records a purge, made at `purged_at`, of every object and group that hashes into slice `slice` of `slice_count`
    /// equal slices. These need not be the slices of the table.
    pub fn enter_slice(&mut self, slice: u32, slice_count: u32, purged_at: Micros) {
        for covered in covering(slice, slice_count, SLICE_COUNT) {
            self.raise_floor(covered, purged_at);
        }
    }

    /// Drops entries that were last recorded before `time`.
    pub fn drop_before(&mut self, time: Micros) {
        while let Some((queued_at, hash)) =
            self.queue.front().copied().filter(|(queued_at, _)| *queued_at < time)
        {
            self.queue.pop_front();
            let Some(purge) = self.latest.get(&hash).copied() else { continue };
            if purge.recorded_at > queued_at {
                self.queue.push_back((purge.recorded_at, hash));
            } else {
                self.latest.remove(&hash);
                self.dropped = self.dropped.max(Some(purge.purged_at));
            }
        }
    }

    /// Returns the latest purge time that applies to an object, given its hash and group.
    pub fn latest(&self, object: u64, group: Option<u64>) -> Option<Micros> {
        let group_purge = group.and_then(|group| self.latest_of_hash(tag_hash(group)));
        self.latest_of_hash(object).max(group_purge)
    }

    /// Returns the latest purge time among dropped entries.
    pub fn dropped(&self) -> Option<Micros> {
        self.dropped
    }

    fn latest_of_hash(&self, hash: u64) -> Option<Micros> {
        let entry = self.latest.get(&hash).map(|purge| purge.purged_at);
        let floor = self.floors.get(slice_of(hash, SLICE_COUNT) as usize).copied().flatten();
        entry.max(floor)
    }

    /// Merges the entry at the head of the queue into the floor of its slice. An entry that was recorded again since it
    /// was queued moves to the end of the queue instead.
    fn merge_oldest(&mut self) {
        let Some((queued_at, hash)) = self.queue.pop_front() else { return };
        match self.latest.get(&hash).copied() {
            Some(purge) if purge.recorded_at > queued_at => self.queue.push_back((purge.recorded_at, hash)),
            Some(purge) => {
                self.latest.remove(&hash);
                self.raise_floor(slice_of(hash, SLICE_COUNT), purge.purged_at);
            }
            None => {}
        }
    }

    /// Raises the floor of a slice of the table to at least `purged_at`.
    fn raise_floor(&mut self, slice: u32, purged_at: Micros) {
        self.floors.resize(SLICE_COUNT as usize, None);
        if let Some(floor) = self.floors.get_mut(slice as usize) {
            *floor = (*floor).max(Some(purged_at));
        }
    }
}

#[cfg(test)]
mod tests;
