//! When purges were made and stores were started, on this process's monotonic clock.
//!
//! Events carry Unix times stamped by other machines, and the wall clock of any machine may be stepped. So a stamp counts only
//! as far as a second source confirms it, and an event is otherwise assumed to have just happened. If a purge is assumed too
//! late, some copies are fetched again; if a start is, its slow start lasts longer. If a purge were assumed too early,
//! purged copies could be served, and a cold store could be overloaded.
//!
//! An event's age is the smallest of:
//!
//! - the time from its stamp to the latest stamp of a later event of the same answer, by the clocks of the stamping machines.
//!   That is too much only if those were stepped forward in between;
//! - its age by this machine's wall clock, read with the smallest lead over the monotonic clock seen so far, so that a
//!   step forward in service changes nothing;
//! - the time since the previous answer, if there was one.
//!
//! At the start there is no previous answer. Stores that are listed then may have been running for long, so their starts are
//! taken from the wall clock where the latest stamp agrees with it.
//!
//! The module does no I/O and reads no clock.

mod starts;

pub use starts::StoreStarts;

use crate::interface::Micros;
use sagearch_feed::MILLISECOND;

/// A Unix time in milliseconds, as in events; 0: none is stated.
pub type UnixMillis = u64;

/// Wall clocks are stepped by up to an hour. A start that lies further back than this is past any slow start even so.
const MAX_CLOCK_STEPS: Micros = 2 * 3_600 * 1_000_000;
/// The wall clock is trusted if the latest of all stamps is no older than this.
const AGREEMENT_WINDOW: Micros = 3_000_000;
/// A stamp further ahead of the wall clock than this is ignored as a sign of the present time.
const MAX_SKEW: Micros = 1_000_000;

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Microseconds of the process's monotonic clock.
    pub monotonic: Micros,
    /// Microseconds since the Unix epoch.
    pub wall: Micros,
}

/// The previous answer.
#[derive(Clone, Copy, Debug, Default)]
enum Previous {
    #[default]
    None,
    /// The events of the configuration, which may be of any age.
    Configuration,
    /// An answer to a poll, at this time of the monotonic clock.
    Answered(Micros),
}

/// Judges the ages of events, answer by answer.
#[derive(Debug, Default)]
pub struct EventTimes {
    previous: Previous,
    /// The smallest lead of the wall clock over the monotonic clock that was seen; negative where it is behind.
    smallest_lead: Option<i128>,
}

impl EventTimes {
    /// Records an answer, or at first the events of the configuration. `stamps`: for each event the latest time that it
    /// states. A snapshot repeats events of any age.
    pub fn answer(
        &mut self,
        now: ClockReading,
        snapshot: bool,
        stamps: &[Option<UnixMillis>],
    ) -> AnswerTimes {
        let wall = self.earliest_wall(now);
        let previous = match self.previous {
            Previous::None => Previous::Configuration,
            Previous::Configuration | Previous::Answered(_) => Previous::Answered(now.monotonic),
        };
        let answered = match std::mem::replace(&mut self.previous, previous) {
            Previous::Answered(at) if !snapshot => Some(at),
            _ => None,
        };
        let latest_from = latest_from(stamps, wall.saturating_add(MAX_SKEW));
        let latest = latest_from.first().copied().unwrap_or(0);
        AnswerTimes {
            wall,
            wall_agrees: answered.is_none() && wall.saturating_sub(latest) <= AGREEMENT_WINDOW,
            max_age: answered.map(|at| now.monotonic.saturating_sub(at)),
            snapshot,
            latest_from,
        }
    }

    /// The wall clock now, without the steps forward that were seen since the start.
    fn earliest_wall(&mut self, now: ClockReading) -> Micros {
        let lead = i128::from(now.wall) - i128::from(now.monotonic);
        let smallest = self.smallest_lead.map_or(lead, |smallest| smallest.min(lead));
        self.smallest_lead = Some(smallest);
        Micros::try_from(i128::from(now.monotonic) + smallest).unwrap_or(0)
    }
}

/// For each event the latest stamp of it and of those that follow, without stamps after `until`.
fn latest_from(stamps: &[Option<UnixMillis>], until: Micros) -> Vec<Micros> {
    let mut latest = 0;
    let mut from: Vec<Micros> = Vec::with_capacity(stamps.len());
    for stamp in stamps.iter().rev() {
        let stamp = stamp.map_or(0, micros_of);
        if stamp <= until {
            latest = latest.max(stamp);
        }
        from.push(latest);
    }
    from.reverse();
    from
}

fn micros_of(stamp: UnixMillis) -> Micros {
    stamp.saturating_mul(MILLISECOND)
}

/// By which the ages of one answer's events are judged.
#[derive(Debug)]
pub struct AnswerTimes {
    /// The earliest time that the wall clock may show.
    wall: Micros,
    /// No previous answer bounds the ages, and the latest stamp confirms the wall clock.
    wall_agrees: bool,
    /// The time since the previous answer, by which no event can be older; `None`: nothing bounds that.
    max_age: Option<Micros>,
    snapshot: bool,
    /// For each event the latest stamp of it and of those that follow.
    latest_from: Vec<Micros>,
}

impl AnswerTimes {
    /// How long ago a purge was made at least. `event`: its index in the answer.
    pub fn purge_age(&self, event: usize, made: UnixMillis) -> Micros {
        // Where nothing bounds the ages, few purges are in force, and repeating their fetches costs little. A snapshot is
        // different: its combined purges invalidate whole slices of the hash space.
        let bounded = self.max_age.is_some() || self.snapshot;
        if bounded && made > 0 { self.confirmed_age(event, made) } else { 0 }
    }

    /// How long ago a store that was not listed before was started at least. It may have been running for long.
    pub fn new_store_age(&self, event: usize, started: UnixMillis) -> Micros {
        if self.wall_agrees {
            return self.wall_age(started);
        }
        let beyond_any_step = self.wall_age(started).saturating_sub(MAX_CLOCK_STEPS);
        self.confirmed_age(event, started).max(beyond_any_step)
    }

    /// How long ago a store that was listed before was restarted at least.
    pub fn restart_age(&self, event: usize, started: UnixMillis) -> Micros {
        self.confirmed_age(event, started)
    }

    fn confirmed_age(&self, event: usize, stamp: UnixMillis) -> Micros {
        let latest = self.latest_from.get(event).copied().unwrap_or(0);
        let by_stamps = latest.saturating_sub(micros_of(stamp));
        by_stamps.min(self.wall_age(stamp)).min(self.max_age.unwrap_or(Micros::MAX))
    }

    fn wall_age(&self, stamp: UnixMillis) -> Micros {
        self.wall.saturating_sub(micros_of(stamp))
    }
}

#[cfg(test)]
mod tests;
