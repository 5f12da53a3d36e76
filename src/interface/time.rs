//! Points in time and durations.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Converts a duration to seconds.
pub fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// The factor, from 1 to 0, by which a value decays exponentially in the elapsed time.
pub fn decay(elapsed: Micros, half_life: Micros) -> f64 {
    0.5_f64.powf(elapsed as f64 / half_life as f64)
}
