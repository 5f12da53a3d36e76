//! The relay's clock: the monotonic clock of the machine, in microseconds.

use sagearch_feed::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// The clock's time at its start. It is above zero so that an answer's age can lead to a time before the start.
const TIME_AT_START: Micros = 3_600 * 1_000_000;

/// A monotonic clock that starts with the relay.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        let elapsed = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        elapsed.saturating_add(TIME_AT_START)
    }

    /// Converts a time of this clock to an [`Instant`].
    pub fn instant(&self, time: Micros) -> Instant {
        self.started_at + Duration::from_micros(time.saturating_sub(TIME_AT_START))
    }
}
