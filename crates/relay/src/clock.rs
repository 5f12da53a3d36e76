//! The relay's clock: microseconds since it started, on the machine's monotonic clock.

use sagearch_feed::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that begins with the relay.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Clock {
        Clock { began: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// When a time on this clock is.
    pub fn instant(&self, at: Micros) -> Instant {
        self.began + Duration::from_micros(at)
    }
}

/// Microseconds since the Unix epoch: the incarnation of a process that starts now. No deadline depends on it.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
