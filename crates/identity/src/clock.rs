//! The clock that validity is checked against, which tolerates steps of the Unix clock.
//!
//! A step forward is followed immediately: at worst something is refused too early. A step back is not, because expired
//! credentials would be accepted again. Time then advances with the monotonic clock, and the Unix clock is followed
//! again once it has been behind for [`SETTLE_TIME`]. Keys that are retired or revoked by then stay so, because
//! keyrings record that independently of any clock.

use crate::Millis;

/// The largest difference that is not treated as a step: clocks are slewed, and two of them are not read at the same
/// instant.
pub const STEP_TOLERANCE: Millis = 500;
/// The time that a Unix clock must stay behind after a step back before it is followed.
pub const SETTLE_TIME: Millis = 60_000;

/// A reading of the Unix clock and the monotonic clock at the same time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Now {
    /// The time since the Unix epoch.
    pub unix: Millis,
    /// The time since an arbitrary fixed point of this process, by a clock that never steps.
    pub monotonic: Millis,
}

/// Wall clock time from the Unix clock, continued with the monotonic clock when the Unix clock steps back.
#[derive(Debug, Default)]
pub struct StepTolerantClock {
    /// The time returned last, and the reading of the monotonic clock for it.
    last: Option<(Millis, Millis)>,
    /// The monotonic time since which the Unix clock has been behind.
    behind_since: Option<Millis>,
    /// The number of steps of the Unix clock that were detected, in either direction.
    pub steps: u64,
}

impl StepTolerantClock {
    /// Creates a clock that starts at `floor` or later, the time up to which another process of this gateway has
    /// checked validity.
    pub fn starting_at(floor: Millis, now: Now) -> StepTolerantClock {
        StepTolerantClock { last: Some((floor.max(now.unix), now.monotonic)), behind_since: None, steps: 0 }
    }

    /// Returns the time in milliseconds since the Unix epoch. It never goes back, except after a step back that has
    /// lasted for [`SETTLE_TIME`].
    pub fn time(&mut self, now: Now) -> Millis {
        let Some((last, last_monotonic)) = self.last else {
            self.last = Some((now.unix, now.monotonic));
            return now.unix;
        };
        let expected = last + now.monotonic.saturating_sub(last_monotonic);
        let time = if now.unix + STEP_TOLERANCE >= expected {
            self.follow_unix_clock(now.unix, last, expected)
        } else {
            self.continue_monotonic(now, expected)
        };
        self.last = Some((time, now.monotonic));
        time
    }

    /// Returns the Unix clock's time, which is as expected or ahead.
    fn follow_unix_clock(&mut self, unix: Millis, last: Millis, expected: Millis) -> Millis {
        let was_behind = self.behind_since.take().is_some();
        if !was_behind && unix > expected + STEP_TOLERANCE {
            self.steps += 1;
        }
        unix.max(last)
    }

    /// Returns the expected time while the Unix clock is behind, until it has been so for [`SETTLE_TIME`].
    fn continue_monotonic(&mut self, now: Now, expected: Millis) -> Millis {
        let since = *self.behind_since.get_or_insert_with(|| {
            self.steps += 1;
            now.monotonic
        });
        if now.monotonic.saturating_sub(since) < SETTLE_TIME {
            return expected;
        }
        self.behind_since = None;
        now.unix
    }
}

#[cfg(test)]
mod tests;
