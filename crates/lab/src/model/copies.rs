//! What a cache keeps: by rank, and within a rank what was used last.

use super::Micros;
use std::collections::{BTreeSet, HashMap};

/// Object and part.
pub type Key = (String, String);

#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    /// When the origin gave it out.
    pub made: Micros,
    /// How often its group had been purged by then.
    pub version: u64,
}

#[derive(Clone, Debug)]
pub struct Copies {
    room: usize,
    kept: HashMap<Key, (Copy, u8, u64)>,
    order: BTreeSet<(u8, u64, Key)>,
    ticks: u64,
}

impl Copies {
    pub fn new(room: usize) -> Copies {
        Copies { room, kept: HashMap::new(), order: BTreeSet::new(), ticks: 0 }
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// The copy, which counts as used.
    pub fn get(&mut self, key: &Key) -> Option<Copy> {
        let (copy, rank, tick) = self.kept.get_mut(key)?;
        self.order.remove(&(*rank, *tick, key.clone()));
        self.ticks += 1;
        *tick = self.ticks;
        self.order.insert((*rank, *tick, key.clone()));
        Some(copy.clone())
    }

    /// Keeps a copy; the one of least rank that was used longest ago makes room.
    pub fn keep(&mut self, key: Key, copy: Copy, rank: u8) {
        if self.room == 0 {
            return;
        }
        if let Some((held, rank, tick)) = self.kept.remove(&key) {
            self.order.remove(&(rank, tick, key.clone()));
            // An older answer that comes late takes no newer one's place.
            if held.made > copy.made {
                return self.put(key, held, rank);
            }
        }
        while self.kept.len() >= self.room {
            let Some((_, _, least)) = self.order.pop_first() else { break };
            self.kept.remove(&least);
        }
        self.put(key, copy, rank);
    }

    fn put(&mut self, key: Key, copy: Copy, rank: u8) {
        self.ticks += 1;
        self.order.insert((rank, self.ticks, key.clone()));
        self.kept.insert(key, (copy, rank, self.ticks));
    }

    /// Drops all that a purge has made void.
    pub fn void(&mut self, gone: impl Fn(&Key, &Copy) -> bool) {
        let void: Vec<Key> = self
            .kept
            .iter()
            .filter(|(key, (copy, ..))| gone(key, copy))
            .map(|(key, _)| key.clone())
            .collect();
        for key in void {
            if let Some((_, rank, tick)) = self.kept.remove(&key) {
                self.order.remove(&(rank, tick, key));
            }
        }
    }

    pub fn clear(&mut self) {
        self.kept.clear();
        self.order.clear();
    }
}

#[cfg(test)]
mod tests;
