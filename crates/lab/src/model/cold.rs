//! A cache that has just started can take little, and dies where it is sent far more for long.

use super::Micros;

/// How a cache starts, and when it dies of overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// The share of its slots that it has at its start.
    pub initial_share: f64,
    /// From its start until it has all slots.
    pub warm_up: Micros,
    /// It is overloaded where it is sent this many times what its slots can do.
    pub overload_factor: f64,
    /// It dies once it has been overloaded for this long.
    pub sustained_for: Micros,
}

impl ColdRule {
    /// The share of its slots that a cache of this age has.
    pub fn capacity_share(&self, age: Micros) -> f64 {
        let warmed = age as f64 / self.warm_up.max(1) as f64;
        (self.initial_share + (1.0 - self.initial_share) * warmed).min(1.0)
    }
}

/// Intervals that the time of [`ColdRule::sustained_for`] is divided into.
const INTERVALS: u64 = 10;

/// Work that arrives at a cache.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub now: Micros,
    /// The age of the cache.
    pub age: Micros,
    /// How long one slot works on it.
    pub work: Micros,
    /// The slots that the cache has when warm.
    pub slots: usize,
}

/// Detects sustained overload: the work that arrives at a cache in each of some intervals.
#[derive(Clone, Debug, Default)]
pub struct OverloadDetector {
    /// The number of the current interval.
    interval: u64,
    /// The work that has arrived in it.
    work: Micros,
    /// Overloaded intervals in a row before it.
    overloaded: u64,
}

impl OverloadDetector {
    /// Adds work. Returns whether the cache dies of it.
    pub fn add(&mut self, arrival: Arrival, rule: &ColdRule) -> bool {
        let length = (rule.sustained_for / INTERVALS).max(1);
        let interval = arrival.now / length;
        if interval != self.interval {
            let share = rule.capacity_share(arrival.age);
            let capacity = share * arrival.slots as f64 * length as f64;
            let is_overloaded = self.work as f64 > rule.overload_factor * capacity && share < 1.0;
            // An interval without arrivals breaks the row, too.
            let continues = interval == self.interval + 1 || self.overloaded == 0;
            self.overloaded = if is_overloaded && continues { self.overloaded + 1 } else { 0 };
            (self.interval, self.work) = (interval, 0);
        }
        self.work += arrival.work;
        self.overloaded >= INTERVALS
    }
}

#[cfg(test)]
mod tests;
