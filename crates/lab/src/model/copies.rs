//! The copies in a cache: evicted by rank, and within a rank the least recently used first.

use super::Micros;
use std::collections::{BTreeSet, HashMap};

/// An object and a part of it.
pub type Key = (String, String);

/// A copy of a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    /// When the origin sent it.
    pub made: Micros,
    /// How often its group had been purged by then.
    pub version: u64,
}

/// A copy with its place in the order of eviction.
#[derive(Clone, Debug)]
struct Entry {
    copy: Copy,
    rank: u8,
    /// The number of its last use.
    used: u64,
}

/// The copies in a cache.
#[derive(Clone, Debug)]
pub struct Copies {
    capacity: usize,
    entries: HashMap<Key, Entry>,
    /// The order of eviction: rank, last use, key.
    order: BTreeSet<(u8, u64, Key)>,
    uses: u64,
}

impl Copies {
    /// None yet, and at most `capacity`.
    pub fn new(capacity: usize) -> Copies {
        Copies { capacity, entries: HashMap::new(), order: BTreeSet::new(), uses: 0 }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The copy, which counts as used.
    pub fn get(&mut self, key: &Key) -> Option<Copy> {
        let entry = self.entries.get_mut(key)?;
        self.order.remove(&(entry.rank, entry.used, key.clone()));
        self.uses += 1;
        entry.used = self.uses;
        self.order.insert((entry.rank, entry.used, key.clone()));
        Some(entry.copy.clone())
    }

    /// Adds a copy. In a full cache the least recently used one of the lowest rank is evicted.
    pub fn keep(&mut self, key: Key, copy: Copy, rank: u8) {
        if self.capacity == 0 {
            return;
        }
        if let Some(present) = self.entries.remove(&key) {
            self.order.remove(&(present.rank, present.used, key.clone()));
            // An older answer that arrives late does not replace a newer one.
            if present.copy.made > copy.made {
                return self.insert(key, present.copy, present.rank);
            }
        }
        while self.entries.len() >= self.capacity {
            let Some((_, _, evicted)) = self.order.pop_first() else { break };
            self.entries.remove(&evicted);
        }
        self.insert(key, copy, rank);
    }

    fn insert(&mut self, key: Key, copy: Copy, rank: u8) {
        self.uses += 1;
        self.order.insert((rank, self.uses, key.clone()));
        self.entries.insert(key, Entry { copy, rank, used: self.uses });
    }

    /// Removes all copies that a purge is of.
    pub fn purge(&mut self, is_purged: impl Fn(&Key, &Copy) -> bool) {
        let purged: Vec<Key> = self
            .entries
            .iter()
            .filter(|(key, entry)| is_purged(key, &entry.copy))
            .map(|(key, _)| key.clone())
            .collect();
        for key in purged {
            if let Some(entry) = self.entries.remove(&key) {
                self.order.remove(&(entry.rank, entry.used, key));
            }
        }
    }

    /// Removes all copies.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
    }
}

#[cfg(test)]
mod tests;
