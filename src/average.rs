//! Averages over time, for values that a gateway observes too seldom to act on single observations.

use crate::interface::{Micros, decay};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The average over time of a level that moves in steps. The past counts half after a half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: f64,
    updated_at: Micros,
}

impl Average {
    /// The average at `now`, where the level has not moved since it was last recorded.
    pub fn at(&self, now: Micros, level: f64, half_life: Micros) -> f64 {
        level + (self.value - level) * decay(now.saturating_sub(self.updated_at), half_life)
    }

    /// Records the level until now. To be called before the level moves.
    pub fn record(&mut self, now: Micros, level: f64, half_life: Micros) {
        *self = Average { value: self.at(now, level, half_life), updated_at: now.max(self.updated_at) };
    }
}

/// Initial value of smoothed times, in seconds.
const INITIAL_PACE: f64 = 0.2;

/// Smoothed durations of answers: actual, and ideal ones without any other load.
#[derive(Clone, Serialize, Deserialize)]
pub struct Pace {
    /// Seconds that they took.
    #[serde(rename = "took")]
    pub actual: f64,
    /// Seconds that their sending takes at full pace.
    #[serde(rename = "alone")]
    pub ideal: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { actual: INITIAL_PACE, ideal: INITIAL_PACE }
    }
}

impl Pace {
    /// Moves both averages towards an observation.
    pub fn learn(&mut self, actual: f64, ideal: f64, rate: f64) {
        self.actual += (actual - self.actual) * rate;
        self.ideal += (ideal - self.ideal) * rate;
    }

    /// How many times longer than ideal answers take.
    pub fn stretch(&self) -> f64 {
        self.actual / self.ideal
    }
}

/// The latest values, against which a new one is ranked.
#[derive(Clone, Debug, Default)]
pub struct Recent(VecDeque<f64>);

impl Recent {
    /// Adds a value, and keeps the latest `capacity` ones.
    pub fn push(&mut self, value: f64, capacity: usize) {
        self.0.truncate(capacity.saturating_sub(1));
        self.0.push_front(value);
    }

    /// The share of the values, from 0 to 1, that are smaller.
    pub fn share_below(&self, value: f64) -> f64 {
        let below = self.0.iter().filter(|other| **other < value).count();
        below as f64 / self.0.len().max(1) as f64
    }
}

/// The median, the lower one of two middle values; 0 for no values.
pub fn lower_median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
