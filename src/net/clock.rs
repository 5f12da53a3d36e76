//! The monotonic clock by which everything is decided, and the wall clock's readings beside it.

use crate::interface::Micros;
use crate::net::discovery::event_times::ClockReading;
use std::time::Instant;

/// The monotonic clock does not start at 0, so that starts and purges of before the process have a place.
const BEFORE: Micros = 24 * 3_600 * 1_000_000;

/// The monotonic clock of the gateway, which also knows the wall clock of its start.
#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    /// Unix microseconds at `began`, read once: a start told twice must give the same time twice.
    unix: Micros,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { began: Instant::now(), unix: sagearch_clock::unix_micros() }
    }
}

impl Clock {
    /// Monotonic microseconds.
    pub fn now(&self) -> Micros {
        BEFORE + self.began.elapsed().as_micros() as Micros
    }

    /// A Unix millisecond on the monotonic clock; `None`: long ago.
    pub fn at(&self, unix_ms: u64) -> Option<Micros> {
        let at = (unix_ms.saturating_mul(1_000)).saturating_add(BEFORE).checked_sub(self.unix)?;
        (unix_ms > 0 && at > 0).then_some(at)
    }

    /// The Unix clock now, in milliseconds, wherever it has stepped to.
    pub fn unix_ms(&self) -> u64 {
        sagearch_clock::unix_millis()
    }

    /// The Unix microsecond of a time on the monotonic clock, for logs: by the wall clock of the start, whatever its steps
    /// since.
    pub fn unix_us(&self, at: Micros) -> u64 {
        (at + self.unix).saturating_sub(BEFORE)
    }

    /// Both clocks now.
    pub fn reading(&self) -> ClockReading {
        ClockReading { monotonic: self.now(), wall: sagearch_clock::unix_micros() }
    }
}

#[cfg(test)]
mod tests;
