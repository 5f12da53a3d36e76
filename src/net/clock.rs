//! The two clocks: a monotonic one for the module and the Unix clock, in whose times the rules and the
//! bus speak.

use crate::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock does not start at 0, so that starts and purges of before the process have a place.
const BEFORE: Micros = 24 * 3_600 * 1_000_000;

#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    /// Unix microseconds at `began`, read once: a start told twice must give the same time twice.
    unix: Micros,
}

impl Default for Clock {
    fn default() -> Self {
        let unix =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros);
        Clock { began: Instant::now(), unix }
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
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
    }

    /// The Unix microsecond of a time on the monotonic clock, as far as the Unix clock has not stepped since the start.
    pub fn unix_us(&self, at: Micros) -> u64 {
        (at + self.unix).saturating_sub(BEFORE)
    }

    /// How long ago a Unix millisecond was.
    pub fn ago(&self, unix_ms: u64) -> Micros {
        match SystemTime::now().duration_since(UNIX_EPOCH) {
            Ok(now) => (now.as_micros() as Micros).saturating_sub(unix_ms.saturating_mul(1_000)),
            Err(_) => 0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unix_times_map_to_one_place_and_old_ones_are_long_ago() {
        let clock = Clock::default();
        let ms = clock.unix / 1_000;
        assert_eq!(clock.at(ms - 500), clock.at(ms - 500));
        assert!(clock.at(ms - 500).unwrap() < clock.now());
        assert_eq!((clock.at(0), clock.at(1)), (None, None));
        assert!((500_000..60_000_000).contains(&clock.ago(ms - 500)));
        assert_eq!(clock.ago(ms + 3_600_000), 0);
    }
}
