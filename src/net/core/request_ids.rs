//! The ids of clients' requests that have come into use, so that no request runs again under its id.

use crate::net::lock;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// How many ids of requests that may run any number of times are remembered.
const MAX_IDEMPOTENT_IDS: usize = 4_096;
/// How many ids of other requests are remembered. They are kept apart, so that no number of requests of other classes makes
/// one of them forgotten.
const MAX_OTHER_IDS: usize = 32_768;

/// The ids that came into use last.
pub(in crate::net) struct RequestIds(Mutex<Ids>);

struct Ids {
    idempotent: RecentIds,
    other: RecentIds,
}

impl Ids {
    fn contains(&self, id: u64) -> bool {
        self.idempotent.contains(id) || self.other.contains(id)
    }

    fn list(&mut self, idempotent: bool) -> &mut RecentIds {
        if idempotent { &mut self.idempotent } else { &mut self.other }
    }
}

impl Default for RequestIds {
    fn default() -> RequestIds {
        let (idempotent, other) = (RecentIds::new(MAX_IDEMPOTENT_IDS), RecentIds::new(MAX_OTHER_IDS));
        RequestIds(Mutex::new(Ids { idempotent, other }))
    }
}

impl RequestIds {
    /// Takes an id into use. `false`: it is in use already.
    pub(in crate::net) fn insert(&self, id: u64, idempotent: bool) -> bool {
        let mut ids = lock(&self.0);
        if ids.contains(id) {
            return false;
        }
        ids.list(idempotent).insert(id);
        true
    }

    /// Forgets an id under which nothing was sent to a store.
    pub(in crate::net) fn remove(&self, id: u64, idempotent: bool) {
        lock(&self.0).list(idempotent).remove(id);
    }

    /// All ids, in the order in which the other process of an upgrade takes them into use: as it can't tell the classes, it
    /// keeps the last ones longest.
    pub(in crate::net) fn all(&self) -> Vec<u64> {
        let ids = lock(&self.0);
        ids.idempotent.oldest_first().chain(ids.other.oldest_first()).collect()
    }
}

/// The ids that were inserted last.
struct RecentIds {
    capacity: usize,
    /// The number of the insertion of each id.
    insertions: HashMap<u64, u64>,
    /// The insertions, oldest first. Those of removed ids stay until they are the oldest.
    order: VecDeque<Insertion>,
    next_number: u64,
}

#[derive(Clone, Copy)]
struct Insertion {
    id: u64,
    number: u64,
}

impl RecentIds {
    fn new(capacity: usize) -> RecentIds {
        RecentIds { capacity, insertions: HashMap::new(), order: VecDeque::new(), next_number: 0 }
    }

    fn contains(&self, id: u64) -> bool {
        self.insertions.contains_key(&id)
    }

    fn insert(&mut self, id: u64) {
        let number = self.next_number;
        self.next_number += 1;
        self.insertions.insert(id, number);
        self.order.push_back(Insertion { id, number });
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
            && self.is_current(&oldest)
        {
            self.insertions.remove(&oldest.id);
        }
    }

    fn remove(&mut self, id: u64) {
        self.insertions.remove(&id);
    }

    fn oldest_first(&self) -> impl Iterator<Item = u64> {
        self.order.iter().filter(|insertion| self.is_current(insertion)).map(|insertion| insertion.id)
    }

    /// Whether the id has not been removed since this insertion.
    fn is_current(&self, insertion: &Insertion) -> bool {
        self.insertions.get(&insertion.id) == Some(&insertion.number)
    }
}

#[cfg(test)]
mod tests;
