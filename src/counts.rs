//! A bounded table of request counts by object. Counts decay by halving.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Request counts by object hash.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<u64, u32>);

impl Counts {
    /// Increments the count of `key` and returns it. If the table already holds `capacity` entries, the
    /// smallest counts are removed to make room for a new key.
    pub fn increment(&mut self, key: u64, capacity: usize) -> u32 {
        if self.0.len() >= capacity && !self.0.contains_key(&key) {
            let min_count = self.0.values().copied().min().unwrap_or(0);
            self.0.retain(|_, count| *count > min_count);
        }
        let count = self.0.entry(key).or_insert(0);
        *count = count.saturating_add(1);
        *count
    }

    /// Halves all counts and removes those that reach zero.
    pub fn halve(&mut self) {
        self.0.values_mut().for_each(|count| *count /= 2);
        self.0.retain(|_, count| *count > 0);
    }
}

#[cfg(test)]
mod tests;
