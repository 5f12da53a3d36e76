//! The monotonic clock, on which all decisions are based, and conversion to and from wall clock times.

use crate::interface::Micros;
use crate::net::discovery::event_times::ClockReading;
use std::time::Instant;

/// The reading of the monotonic clock at process start. It is not 0, so that starts and purges from before the process
/// can be represented.
const MONOTONIC_START_MICROS: Micros = 24 * 3_600 * 1_000_000;

/// The monotonic clock of the gateway, with the wall clock time of its start.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Unix microseconds at `started`, read once: a start that is reported twice must map to the same time both times.
    unix_at_start: Micros,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { started: Instant::now(), unix_at_start: sagearch_clock::unix_micros() }
    }
}

impl Clock {
    /// The current time on the monotonic clock, in microseconds.
    pub fn now(&self) -> Micros {
        MONOTONIC_START_MICROS + self.started.elapsed().as_micros() as Micros
    }

    /// Converts Unix milliseconds to the monotonic clock; `None` if the time is too early to be represented.
    pub fn at(&self, unix_ms: u64) -> Option<Micros> {
        let monotonic = (unix_ms.saturating_mul(1_000))
            .saturating_add(MONOTONIC_START_MICROS)
            .checked_sub(self.unix_at_start)?;
        (unix_ms > 0 && monotonic > 0).then_some(monotonic)
    }

    /// The current wall clock time in Unix milliseconds, including any steps of the wall clock.
    pub fn unix_ms(&self) -> u64 {
        sagearch_clock::unix_millis()
    }

    /// Converts a time on the monotonic clock to Unix microseconds, for logs. It is based on the wall clock time at process
    /// start and ignores later steps of the wall clock.
    pub fn unix_us(&self, monotonic: Micros) -> u64 {
        (monotonic + self.unix_at_start).saturating_sub(MONOTONIC_START_MICROS)
    }

    /// The current readings of both clocks.
    pub fn reading(&self) -> ClockReading {
        ClockReading { monotonic: self.now(), wall: sagearch_clock::unix_micros() }
    }
}

#[cfg(test)]
mod tests;
