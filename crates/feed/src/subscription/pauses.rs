//! How long a subscriber waits, spread so that many that fail in one instant do not come back in one.

use crate::{MILLISECOND, Micros};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The plain bus, held for this long at a time.
pub const PLAIN_HOLD: Micros = 1_000 * MILLISECOND;
/// A plain bus silent for so long beyond its hold is called anew, up to as much again later.
const PLAIN_SILENT: Micros = 300 * MILLISECOND;
const PLAIN_PAUSE: Micros = 20 * MILLISECOND;
const PLAIN_LONGEST_PAUSE: Micros = 200 * MILLISECOND;

/// A relay silent for so long beyond a hold is given up: late enough for an answer from another region, early enough
/// for one more relay within the lease.
const SILENT: Micros = 150 * MILLISECOND;
const SILENT_SPREAD: Micros = 100 * MILLISECOND;
/// The first poll of a relay may have to open a connection.
const SILENT_AT_FIRST: Micros = 400 * MILLISECOND;

/// Over which span those that lost their relay come back at first; it doubles with each failure.
const RETURN_SPREAD: Micros = 200 * MILLISECOND;
const LONGEST_RETURN_SPREAD: Micros = 1_000 * MILLISECOND;
/// However little of the lease is left, this is waited between two failures: no busy loop.
const SHORTEST_PAUSE: Micros = 10 * MILLISECOND;
/// An interrupted connection is opened again within this.
const RECONNECT_SPREAD: Micros = 50 * MILLISECOND;
/// Of the lease, this part is kept back for the poll that must be answered before its end.
const KEPT_BACK: u64 = 8;

/// Draws pauses, and counts the failures in a row that lengthen them.
#[derive(Clone, Debug)]
pub struct Pauses {
    random: Pcg32,
    failures: u32,
}

impl Pauses {
    pub fn new(seed: u64) -> Pauses {
        Pauses { random: Pcg32::seed_from_u64(seed), failures: 0 }
    }

    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub fn plain_silence(&mut self) -> Micros {
        PLAIN_HOLD + self.between(PLAIN_SILENT, 2 * PLAIN_SILENT)
    }

    pub fn plain_pause(&mut self) -> Micros {
        let longest = doubled(PLAIN_PAUSE, self.failures).min(PLAIN_LONGEST_PAUSE);
        self.failures = self.failures.saturating_add(1);
        self.between(longest / 2, longest)
    }

    pub fn silence(&mut self, hold: Micros) -> Micros {
        let beyond = if hold == 0 { SILENT_AT_FIRST } else { SILENT };
        hold + self.between(beyond, beyond + SILENT_SPREAD)
    }

    pub fn reconnect(&mut self) -> Micros {
        self.between(0, RECONNECT_SPREAD)
    }

    /// After a failure with so much of the lease left: half of that at most is waited, so that another relay can be
    /// asked after it as well.
    pub fn after_failure(&mut self, lease_left: Micros) -> Micros {
        let spread = doubled(RETURN_SPREAD, self.failures).min(LONGEST_RETURN_SPREAD);
        self.failures = self.failures.saturating_add(1);
        let pause = match lease_left {
            0 => self.between(spread / 2, spread),
            left => self.between(0, spread.min(left / 2)),
        };
        pause.max(SHORTEST_PAUSE)
    }

    /// A relay's Retry-After as it is obeyed, spread by up to a quarter: never beyond what is left of the lease less
    /// the time for a poll, and in doubt no longer than a lease lasts.
    pub fn retry_after(&mut self, asked: Micros, lease_left: Micros, lasts: Micros) -> Micros {
        let bound = match lease_left {
            0 => lasts,
            left => left.saturating_sub(lasts / KEPT_BACK),
        };
        let spread = self.between(asked, asked.saturating_add(asked / 4));
        spread.min(bound).max(SHORTEST_PAUSE)
    }

    pub fn between(&mut self, least: Micros, most: Micros) -> Micros {
        self.random.random_range(least..=most)
    }
}

fn doubled(span: Micros, times: u32) -> Micros {
    span << times.min(8)
}
