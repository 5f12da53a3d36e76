//! Popularity of objects, and the cache rank derived from it.

use super::Router;
use crate::interface::Micros;

/// Interval at which request counts are halved.
const POPULARITY_HALVING_INTERVAL: Micros = 10_000_000;
/// Maximum number of objects whose requests are counted; the smallest counts are dropped first.
const MAX_COUNTED_OBJECTS: usize = 30_000;
/// Number of requests from which a copy is cached at the middle rank.
const MIDDLE_RANK_MIN_COUNT: u32 = 2;
/// Number of requests from which a copy is cached at the top rank.
const TOP_RANK_MIN_COUNT: u32 = 8;

impl Router {
    /// Halves all counts once per halving interval.
    pub(super) fn age_popularity(&mut self) {
        let halving_at = *self.next_halving.get_or_insert(self.now + POPULARITY_HALVING_INTERVAL);
        if self.now >= halving_at {
            self.next_halving = Some(self.now + POPULARITY_HALVING_INTERVAL);
            self.learned.popularity.halve();
        }
    }

    /// Counts a request for an object and returns the rank at which its copy is cached.
    pub(super) fn record_request(&mut self, key: u64) -> u8 {
        let count = self.learned.popularity.increment(key, MAX_COUNTED_OBJECTS);
        1 + u8::from(count >= MIDDLE_RANK_MIN_COUNT) + u8::from(count >= TOP_RANK_MIN_COUNT)
    }
}
