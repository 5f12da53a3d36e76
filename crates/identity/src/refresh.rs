//! The schedule of requests for an issuer's key set.
//!
//! Requests are usually sent at a fixed interval with jitter, so that the gateways of a fleet do not send them at the
//! same time. A token with an unknown key makes the next request due earlier; a failed request is retried with
//! exponential backoff. At most one request is in flight, and the starts of two requests are at least the settings'
//! minimum interval apart, independently of the number of tokens.
//!
//! All times are in milliseconds of the monotonic clock.

use crate::Millis;
use crate::settings::Times;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The time after which a request without a result counts as failed.
pub const REQUEST_TIMEOUT: Millis = 30_000;
/// The maximum number of times that the retry delay is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// The schedule of requests to one issuer.
#[derive(Debug)]
pub struct RefreshSchedule {
    times: Times,
    random: Pcg32,
    /// The time at which the next request is due.
    next_due: Millis,
    /// The time at which the last request was started.
    last_start: Option<Millis>,
    in_flight: bool,
    /// The number of failures since the last success.
    failures: u32,
    /// The number of tokens with unknown keys that caused no additional request.
    pub suppressed: u64,
    /// The number of requests that were started.
    pub started: u64,
}

impl RefreshSchedule {
    /// Creates a schedule whose first request is due immediately. `seed` determines the jitter.
    pub fn new(times: Times, seed: u64, now: Millis) -> RefreshSchedule {
        RefreshSchedule {
            times,
            random: Pcg32::seed_from_u64(seed),
            next_due: now,
            last_start: None,
            in_flight: false,
            failures: 0,
            suppressed: 0,
            started: 0,
        }
    }

    /// Changes the intervals. The request that is already scheduled stays due at its time.
    pub fn set_times(&mut self, times: Times) {
        self.times = times;
    }

    /// Returns a random duration from 80% to 120% of `duration`.
    fn with_jitter(&mut self, duration: Millis) -> Millis {
        duration * 4 / 5 + self.random.random_range(0..=duration * 2 / 5)
    }

    /// The earliest time at which the next request may start.
    fn earliest_start(&self) -> Millis {
        self.last_start.map_or(0, |start| start + self.times.interval)
    }

    /// Makes the next request due as early as allowed, because a token names an unknown key. A random delay of up to a
    /// tenth of the minimum interval is added, because all gateways of the fleet receive such tokens at the same time.
    pub fn request_early(&mut self, now: Millis) {
        let earliest = now.max(self.earliest_start());
        let max_delay = self.times.interval / 10;
        if self.in_flight || self.next_due <= earliest + max_delay {
            self.suppressed += 1;
            return;
        }
        self.next_due = earliest + self.random.random_range(0..=max_delay);
    }

    /// Whether a request is due now. If so it is marked as started, and its result must be reported with
    /// [`RefreshSchedule::finish`].
    pub fn start_if_due(&mut self, now: Millis) -> bool {
        if self.in_flight && self.last_start.is_some_and(|start| now >= start + REQUEST_TIMEOUT) {
            self.finish(now, RequestResult::Failed);
        }
        if self.in_flight || now < self.next_due.max(self.earliest_start()) {
            return false;
        }
        self.in_flight = true;
        self.last_start = Some(now);
        self.started += 1;
        true
    }

    /// Records the result of the request in flight. After a failure the next one is due earlier than usual, with
    /// exponential backoff.
    pub fn finish(&mut self, now: Millis, result: RequestResult) {
        self.in_flight = false;
        self.failures = match result {
            RequestResult::Succeeded => 0,
            RequestResult::Failed => self.failures.saturating_add(1),
        };
        let delay = match self.failures {
            0 => self.times.every,
            failures => (self.times.interval << failures.min(MAX_DOUBLINGS)).min(self.times.every),
        };
        self.next_due = now + self.with_jitter(delay);
    }
}

/// The result of a request to an issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The issuer's key set has been installed.
    Succeeded,
    /// There was no response, or the key set was rejected.
    Failed,
}

#[cfg(test)]
mod tests;
