//! Backoffs and timeouts. Jitter keeps subscribers that fail at the same time from retrying at the same time.

use crate::{MILLISECOND, Micros};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The hold that a poll of a plain bus requests.
pub const PLAIN_BUS_HOLD: Micros = 1_000 * MILLISECOND;
/// A poll of a plain bus times out after its hold plus this duration, with jitter of up to the same duration again.
const PLAIN_BUS_GRACE: Micros = 300 * MILLISECOND;
const FIRST_PLAIN_BUS_BACKOFF: Micros = 20 * MILLISECOND;
const MAX_PLAIN_BUS_BACKOFF: Micros = 200 * MILLISECOND;

/// A poll times out after its hold plus this duration: long enough for an answer from another region, short enough to
/// poll one more relay within the lease.
const ANSWER_GRACE: Micros = 150 * MILLISECOND;
const ANSWER_GRACE_SPREAD: Micros = 100 * MILLISECOND;
/// The grace period of the first poll of a relay, which may have to open a connection.
const FIRST_ANSWER_GRACE: Micros = 400 * MILLISECOND;

/// The duration over which the first retries are spread; it doubles with each failure.
const BACKOFF_SPREAD: Micros = 200 * MILLISECOND;
const MAX_BACKOFF_SPREAD: Micros = 1_000 * MILLISECOND;
/// The shortest backoff, regardless of the remaining lease: prevents a busy loop.
const MIN_BACKOFF: Micros = 10 * MILLISECOND;
/// The maximum delay before an interrupted connection is opened again.
const RECONNECT_SPREAD: Micros = 50 * MILLISECOND;
/// The lease duration divided by this is reserved for the poll that must be answered before lease expiry.
const POLL_RESERVE_DIVISOR: u64 = 8;

/// Draws backoffs, and counts the consecutive failures that lengthen them.
#[derive(Clone, Debug)]
pub struct Backoff {
    random: Pcg32,
    failures: u32,
}

impl Backoff {
    pub fn new(seed: u64) -> Backoff {
        Backoff { random: Pcg32::seed_from_u64(seed), failures: 0 }
    }

    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub fn plain_bus_answer_timeout(&mut self) -> Micros {
        PLAIN_BUS_HOLD + self.random_between(PLAIN_BUS_GRACE, 2 * PLAIN_BUS_GRACE)
    }

    pub fn plain_bus_delay(&mut self) -> Micros {
        let maximum = doubled(FIRST_PLAIN_BUS_BACKOFF, self.failures).min(MAX_PLAIN_BUS_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.random_between(maximum / 2, maximum)
    }

    pub fn answer_timeout(&mut self, hold: Micros) -> Micros {
        let grace = if hold == 0 { FIRST_ANSWER_GRACE } else { ANSWER_GRACE };
        hold + self.random_between(grace, grace + ANSWER_GRACE_SPREAD)
    }

    pub fn reconnect_delay(&mut self) -> Micros {
        self.random_between(0, RECONNECT_SPREAD)
    }

    /// The backoff after a failure: at most half of the remaining lease, so that another relay can be polled before
    /// lease expiry.
    pub fn failure_delay(&mut self, remaining_lease: Micros) -> Micros {
        let spread = doubled(BACKOFF_SPREAD, self.failures).min(MAX_BACKOFF_SPREAD);
        self.failures = self.failures.saturating_add(1);
        let delay = match remaining_lease {
            0 => self.random_between(spread / 2, spread),
            remaining => self.random_between(0, spread.min(remaining / 2)),
        };
        delay.max(MIN_BACKOFF)
    }

    /// The delay for a relay's Retry-After, with jitter of up to a quarter: at most the remaining lease minus the time
    /// reserved for a poll, or at most the lease duration once the lease has expired.
    pub fn retry_after(
        &mut self,
        requested: Micros,
        remaining_lease: Micros,
        lease_duration: Micros,
    ) -> Micros {
        let bound = match remaining_lease {
            0 => lease_duration,
            remaining => remaining.saturating_sub(lease_duration / POLL_RESERVE_DIVISOR),
        };
        let delay = self.random_between(requested, requested.saturating_add(requested / 4));
        delay.min(bound).max(MIN_BACKOFF)
    }

    pub fn random_between(&mut self, minimum: Micros, maximum: Micros) -> Micros {
        self.random.random_range(minimum..=maximum)
    }
}

fn doubled(duration: Micros, times: u32) -> Micros {
    duration << times.min(8)
}
