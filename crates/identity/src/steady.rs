//! The time to judge by, where the Unix clock steps.
//!
//! A step forward is believed at once: at worst something is refused too early. A step back is not: what was
//! refused as over would be good again. Time then goes on with the monotonic clock, and the Unix clock is believed
//! again once it has gone its new way for [`SETTLES`]. What has been retired or revoked by then stays so, as keyrings
//! hold that apart from any clock.

use crate::Millis;

/// A jump of less than this is no step: clocks are slewed, and reading two takes time.
pub const TOLERANCE: Millis = 500;
/// How long a clock that stepped back must keep its new way.
pub const SETTLES: Millis = 60_000;

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Now {
    pub unix: Millis,
    /// Since any fixed moment of this process.
    pub monotonic: Millis,
}

#[derive(Debug, Default)]
pub struct Steady {
    last: Option<(Millis, Millis)>,
    /// Since when the Unix clock has been behind.
    behind: Option<Millis>,
    /// Steps that were noticed, either way.
    pub steps: u64,
}

impl Steady {
    /// Time goes on from here at least: another process of this gateway has judged by it.
    pub fn from(floor: Millis, now: Now) -> Steady {
        Steady { last: Some((floor.max(now.unix), now.monotonic)), behind: None, steps: 0 }
    }

    /// The time to judge by: never earlier than the last one, but for a step back that has settled.
    pub fn now(&mut self, now: Now) -> Millis {
        let Some((last, at)) = self.last else {
            self.last = Some((now.unix, now.monotonic));
            return now.unix;
        };
        let expected = last + now.monotonic.saturating_sub(at);
        let judged = if now.unix + TOLERANCE >= expected {
            if self.behind.take().is_none() && now.unix > expected + TOLERANCE {
                self.steps += 1;
            }
            now.unix.max(last)
        } else {
            let since = *self.behind.get_or_insert_with(|| {
                self.steps += 1;
                now.monotonic
            });
            if now.monotonic.saturating_sub(since) >= SETTLES {
                self.behind = None;
                now.unix
            } else {
                expected
            }
        };
        self.last = Some((judged, now.monotonic));
        judged
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(unix: Millis, monotonic: Millis) -> Now {
        Now { unix, monotonic }
    }

    #[test]
    fn a_step_forward_is_believed_and_one_back_only_once_it_has_settled() {
        let mut steady = Steady::default();
        assert_eq!(steady.now(at(1_000_000, 10)), 1_000_000);
        assert_eq!(steady.now(at(1_000_100, 110)), 1_000_100);
        assert_eq!(steady.now(at(4_000_100, 120)), 4_000_100);
        // An hour back: time goes on by the other clock.
        assert_eq!(steady.now(at(400_100, 1_120)), 4_001_100);
        assert_eq!(steady.now(at(400_100 + SETTLES - 1, 1_119 + SETTLES)), 4_001_099 + SETTLES);
        assert_eq!(steady.now(at(400_100 + SETTLES, 1_120 + SETTLES)), 400_100 + SETTLES);
        assert_eq!(steady.steps, 2);
    }

    #[test]
    fn a_clock_that_is_slewed_or_comes_back_is_no_step() {
        let mut steady = Steady::default();
        steady.now(at(1_000_000, 0));
        assert_eq!(steady.now(at(1_000_990, 1_000)), 1_000_990);
        assert_eq!(steady.now(at(1_000_980, 1_001)), 1_000_990, "never earlier");
        assert_eq!(steady.steps, 0);
        // Back by ten seconds and forth again before it settled.
        assert_eq!(steady.now(at(992_000, 2_001)), 1_001_990);
        assert_eq!(steady.now(at(1_003_000, 3_001)), 1_003_000);
        assert_eq!(steady.steps, 1);
    }

    #[test]
    fn a_new_process_goes_on_from_the_time_of_the_old_one() {
        let mut steady = Steady::from(5_000_000, at(1_000_000, 0));
        assert_eq!(steady.now(at(1_000_010, 10)), 5_000_010);
    }
}
