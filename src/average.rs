//! Moving averages, for values that a gateway observes too rarely to act on single observations.

use crate::interface::{Micros, decay};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Time-weighted exponential average of a value that changes in steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: f64,
    updated_at: Micros,
}

impl Average {
    /// Returns the average at `now` if the level has been constant since it was last recorded.
    pub fn value_at(&self, now: Micros, level: f64, half_life: Micros) -> f64 {
        level + (self.value - level) * decay(now.saturating_sub(self.updated_at), half_life)
    }

    /// Records the level up to `now`. Must be called before the level changes.
    pub fn record(&mut self, now: Micros, level: f64, half_life: Micros) {
        *self = Average { value: self.value_at(now, level, half_life), updated_at: now.max(self.updated_at) };
    }
}

/// Initial value of both averages of a `Pace`.
const INITIAL_PACE_SECONDS: f64 = 0.2;

/// Averages of the actual durations of answers, and of their ideal durations without other load.
#[derive(Clone, Serialize, Deserialize)]
pub struct Pace {
    /// Average actual duration, in seconds.
    #[serde(rename = "took")]
    pub actual: f64,
    /// Average duration at full pace, in seconds.
    #[serde(rename = "alone")]
    pub ideal: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { actual: INITIAL_PACE_SECONDS, ideal: INITIAL_PACE_SECONDS }
    }
}

impl Pace {
    /// Updates both averages with an observation of weight `rate`.
    pub fn learn(&mut self, actual: f64, ideal: f64, rate: f64) {
        self.actual += (actual - self.actual) * rate;
        self.ideal += (ideal - self.ideal) * rate;
    }

    /// Returns the ratio of the actual to the ideal duration.
    pub fn stretch(&self) -> f64 {
        self.actual / self.ideal
    }
}

/// The latest values, against which a new one is ranked.
#[derive(Clone, Debug, Default)]
pub struct Recent(VecDeque<f64>);

impl Recent {
    /// Adds a value and keeps the latest `capacity` values.
    pub fn push(&mut self, value: f64, capacity: usize) {
        self.0.truncate(capacity.saturating_sub(1));
        self.0.push_front(value);
    }

    /// Returns the share of the values, from 0 to 1, that are smaller than `value`.
    pub fn share_below(&self, value: f64) -> f64 {
        let below = self.0.iter().filter(|other| **other < value).count();
        below as f64 / self.0.len().max(1) as f64
    }
}

/// Returns the median, or the lower of the two middle values. Returns 0 for an empty iterator.
pub fn lower_median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
