//! The purges that are part of snapshots. Beyond the capacity the oldest are folded into purge floors by slice, which
//! purge more than was requested and never less.

use crate::Micros;
use crate::message::Ban;
use crate::slice::{self, Floor, Floors, SLICES};
use std::collections::BTreeMap;

/// The maximum size in bytes of the purges of a snapshot, not counting floors.
const MAX_PURGES_BYTES: usize = 2 * 1024 * 1024;
/// The approximate size of a purge in bytes, not counting its key.
const PURGE_OVERHEAD_BYTES: usize = 64;

/// The target of a purge as gateways interpret it: a URL takes precedence over a tag.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Url(String),
    Tag(u64),
    /// A purge of another kind, as JSON.
    Unknown(String),
}

#[derive(Debug)]
struct Purge {
    ban: Ban,
    known_since: Micros,
    /// The number of the purge in the order in which purges became known.
    sequence: u64,
}

/// Purges by their target, each retained for a configured duration after it became known.
#[derive(Debug)]
pub struct Purges {
    retention: Micros,
    /// The maximum number of purges that are stored individually.
    capacity: usize,
    by_key: BTreeMap<Key, Purge>,
    by_sequence: BTreeMap<u64, Key>,
    next_sequence: u64,
    bytes: usize,
    floors: Floors,
}

impl Purges {
    /// Creates an empty table. It retains each purge for `retention`, and folds the oldest purges beyond `capacity`.
    pub fn new(retention: Micros, capacity: usize) -> Purges {
        Purges {
            retention,
            capacity,
            by_key: BTreeMap::new(),
            by_sequence: BTreeMap::new(),
            next_sequence: 0,
            bytes: 0,
            floors: Floors::default(),
        }
    }

    /// Adds a purge. It never weakens an earlier purge of the same URL, tag or slice.
    pub fn add(&mut self, now: Micros, ban: &Ban) {
        if let (Some(slice), Some(of)) = (ban.slice, ban.of) {
            self.floors.raise(slice, of, Floor { ts: ban.ts, known_since: now });
            return;
        }
        let key = key(ban);
        let mut ban = ban.clone();
        if let Some(known) = self.remove(&key) {
            ban.ts = ban.ts.max(known.ban.ts);
        }
        self.insert(key, ban, now);
        while self.by_key.len() > self.capacity || self.bytes > MAX_PURGES_BYTES {
            self.fold_oldest();
        }
    }

    /// Drops the purges older than the retention: the copies that they purge no longer exist.
    pub fn expire(&mut self, now: Micros) {
        let Some(oldest_retained) = now.checked_sub(self.retention) else { return };
        while let Some((_, key)) = self.by_sequence.first_key_value() {
            let key = key.clone();
            if self.by_key.get(&key).is_some_and(|purge| purge.known_since >= oldest_retained) {
                break;
            }
            self.remove(&key);
        }
        self.floors.remove_older_than(oldest_retained);
    }

    /// Iterates over the floors, then over the individual purges, the oldest first.
    pub fn all(&self) -> impl Iterator<Item = Ban> + '_ {
        let floor =
            |(slice, Floor { ts, .. })| Ban { slice: Some(slice), of: Some(SLICES), ts, ..Ban::default() };
        let individual = |key: &Key| self.by_key.get(key).map(|purge| purge.ban.clone());
        self.floors.iter().map(floor).chain(self.by_sequence.values().filter_map(individual))
    }

    /// The number of purges that are stored individually.
    pub fn count(&self) -> usize {
        self.by_key.len()
    }

    /// The floors into which older purges have been folded.
    pub fn floors(&self) -> &Floors {
        &self.floors
    }

    fn insert(&mut self, key: Key, ban: Ban, known_since: Micros) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.bytes += size_bytes(&key);
        self.by_sequence.insert(sequence, key.clone());
        self.by_key.insert(key, Purge { ban, known_since, sequence });
    }

    fn remove(&mut self, key: &Key) -> Option<Purge> {
        let purge = self.by_key.remove(key)?;
        self.by_sequence.remove(&purge.sequence);
        self.bytes -= size_bytes(key);
        Some(purge)
    }

    fn fold_oldest(&mut self) {
        let Some((_, key)) = self.by_sequence.first_key_value() else { return };
        let key = key.clone();
        let Some(Purge { ban, known_since, .. }) = self.remove(&key) else { return };
        let floor = Floor { ts: ban.ts, known_since };
        match key {
            Key::Url(url) => self.raise(slice::url_hash(&url), floor),
            Key::Tag(tag) => self.raise(slice::tag_hash(tag), floor),
            // The target may be in any slice.
            Key::Unknown(_) => self.floors.raise(0, 1, floor),
        }
    }

    fn raise(&mut self, hash: u64, floor: Floor) {
        self.floors.raise(slice::slice_of(hash, SLICES), SLICES, floor);
    }
}

fn key(ban: &Ban) -> Key {
    match (&ban.url, ban.tag) {
        (Some(url), _) => Key::Url(url.clone()),
        (None, Some(tag)) => Key::Tag(tag),
        (None, None) => {
            let without_time = Ban { ts: 0, ..ban.clone() };
            // A ban that was parsed from JSON can be encoded as JSON.
            Key::Unknown(serde_json::to_string(&without_time).unwrap_or_default())
        }
    }
}

fn size_bytes(key: &Key) -> usize {
    PURGE_OVERHEAD_BYTES
        + match key {
            Key::Url(text) | Key::Unknown(text) => text.len(),
            Key::Tag(_) => 0,
        }
}
