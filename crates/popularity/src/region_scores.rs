//! Object scores used by one gateway: the region's scores while they arrive, and its own counts otherwise.

use crate::Interval;
use std::collections::BTreeMap;

/// Maximum number of objects with a region score.
const MAX_SCORES: usize = 30_000;
/// Age up to which a region score has full weight.
const FULL_WEIGHT_INTERVALS: f64 = 1.0;
/// Age at which a region score expires. Its weight declines linearly from full weight to zero by then.
const MAX_AGE_INTERVALS: f64 = 2.0;
/// Minimum time between two searches of a full table for expired scores.
const EVICTION_PERIOD_INTERVALS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct ReceivedScore {
    count: f64,
    /// The time of receipt, in intervals.
    received_at: f64,
}

impl ReceivedScore {
    fn is_valid(&self, now: f64) -> bool {
        now < self.received_at + MAX_AGE_INTERVALS
    }
}

/// The latest region scores received by one gateway. Times are in intervals and may be fractional.
#[derive(Clone, Debug, Default)]
pub struct RegionScores {
    scores: BTreeMap<u64, ReceivedScore>,
    /// The time of the last search of a full table for expired scores.
    last_eviction: f64,
}

impl RegionScores {
    /// Records the region score of an object. If the table is full, scores of new objects are ignored.
    pub fn receive(&mut self, now: f64, key: u64, count: f64) {
        if self.scores.len() >= MAX_SCORES && !self.scores.contains_key(&key) {
            if now >= self.last_eviction + EVICTION_PERIOD_INTERVALS {
                self.last_eviction = now;
                self.scores.retain(|_, score| score.is_valid(now));
            }
            if self.scores.len() >= MAX_SCORES {
                return;
            }
        }
        self.scores.insert(key, ReceivedScore { count, received_at: now });
    }

    /// The score of an object for which this gateway has counted `own_count` requests. It changes continuously from the
    /// region score to the gateway's own count as the region score ages, and always lies between the two.
    pub fn score(&self, now: f64, key: u64, own_count: f64) -> f64 {
        let Some(region) = self.scores.get(&key) else { return own_count };
        let fading_intervals = MAX_AGE_INTERVALS - FULL_WEIGHT_INTERVALS;
        let remaining = MAX_AGE_INTERVALS - (now - region.received_at);
        let weight = (remaining / fading_intervals).clamp(0.0, 1.0);
        own_count + (region.count.max(own_count) - own_count) * weight
    }

    /// Removes the scores that have expired in the interval `now`.
    pub fn evict_expired(&mut self, now: Interval) {
        self.scores.retain(|_, score| score.is_valid(f64::from(now)));
    }

    /// The number of objects with a region score.
    pub fn len(&self) -> usize {
        self.scores.len()
    }

    /// Whether no object has a region score.
    pub fn is_empty(&self) -> bool {
        self.scores.is_empty()
    }
}

#[cfg(test)]
mod tests;
