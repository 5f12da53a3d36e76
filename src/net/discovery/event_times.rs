//! Estimates when purges were made and stores were started, on this process's monotonic clock.
//!
//! Events carry Unix time stamps of other machines, and the wall clock of any machine may be stepped. So a time stamp
//! is trusted only as far as a second source confirms it; otherwise the event is assumed to have just happened. An
//! estimate that is too late only costs some repeated fetches after a purge, or a longer slow start of a store. An
//! estimate that is too early could let purged copies be served, or a cold store be overloaded.
//!
//! The age of an event is estimated as the smallest of:
//!
//! - the time from its time stamp to the latest time stamp of the events from it to the end of the batch, by the clocks
//!   of the stamping machines. This is too long only if those clocks were stepped forward in between;
//! - its age by this machine's wall clock, corrected to the smallest lead over the monotonic clock seen so far, so that
//!   a step forward after the start has no effect;
//! - the time since the previous poll response, if there was one.
//!
//! When the gateway starts there is no previous response. Stores that are listed then may have been running for long,
//! so their start times are taken from the wall clock if the latest time stamp agrees with it.
//!
//! The module performs no I/O and reads no clock.

mod starts;

pub use starts::StoreStartTimes;

use crate::interface::Micros;
use sagearch_feed::MILLISECOND;

/// A Unix time in milliseconds, as in events; 0 if none is stated.
pub type UnixMillis = u64;

/// The largest total error of two wall clocks, each of which may be stepped by up to an hour. A store whose start lies
/// further back than this is past its slow start even then.
const MAX_CLOCK_STEPS_MICROS: Micros = 2 * 3_600 * 1_000_000;
/// The wall clock is trusted if the latest of all time stamps is no older than this.
const AGREEMENT_WINDOW_MICROS: Micros = 3_000_000;
/// A time stamp further ahead of the wall clock than this is not used as evidence of the current time.
const MAX_SKEW_MICROS: Micros = 1_000_000;

/// A simultaneous reading of the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Microseconds of the process's monotonic clock.
    pub monotonic: Micros,
    /// Microseconds since the Unix epoch.
    pub wall: Micros,
}

/// The batch that was recorded last.
#[derive(Clone, Copy, Debug, Default)]
enum PreviousBatch {
    #[default]
    None,
    /// The events of the configuration, which may be of any age.
    Configuration,
    /// The response to a poll, received at this time of the monotonic clock.
    PollResponse(Micros),
}

/// Estimates the ages of events, batch by batch.
#[derive(Debug, Default)]
pub struct EventAgeEstimator {
    previous: PreviousBatch,
    /// The smallest lead of the wall clock over the monotonic clock seen so far; negative if the wall clock is behind.
    smallest_lead: Option<i128>,
}

impl EventAgeEstimator {
    /// Records a batch: first the events of the configuration, then poll responses. `stamps` holds the latest time
    /// stamp of each event. A snapshot repeats events of any age.
    pub fn record_batch(
        &mut self,
        now: ClockReading,
        snapshot: bool,
        stamps: &[Option<UnixMillis>],
    ) -> BatchAges {
        let wall = self.earliest_wall(now);
        let previous = match self.previous {
            PreviousBatch::None => PreviousBatch::Configuration,
            PreviousBatch::Configuration | PreviousBatch::PollResponse(_) => {
                PreviousBatch::PollResponse(now.monotonic)
            }
        };
        let previous_response = match std::mem::replace(&mut self.previous, previous) {
            PreviousBatch::PollResponse(received_at) if !snapshot => Some(received_at),
            _ => None,
        };
        let latest_stamps = latest_stamps_from(stamps, wall.saturating_add(MAX_SKEW_MICROS));
        let latest = latest_stamps.first().copied().unwrap_or(0);
        BatchAges {
            wall,
            wall_agrees: previous_response.is_none()
                && wall.saturating_sub(latest) <= AGREEMENT_WINDOW_MICROS,
            max_age: previous_response.map(|received_at| now.monotonic.saturating_sub(received_at)),
            snapshot,
            latest_stamps,
        }
    }

    /// The wall clock's current time without the forward steps seen since the start.
    fn earliest_wall(&mut self, now: ClockReading) -> Micros {
        let lead = i128::from(now.wall) - i128::from(now.monotonic);
        let smallest = self.smallest_lead.map_or(lead, |smallest| smallest.min(lead));
        self.smallest_lead = Some(smallest);
        Micros::try_from(i128::from(now.monotonic) + smallest).unwrap_or(0)
    }
}

/// Returns for each event the latest time stamp of it and the events that follow, ignoring time stamps after `until`.
fn latest_stamps_from(stamps: &[Option<UnixMillis>], until: Micros) -> Vec<Micros> {
    let mut latest = 0;
    let mut latest_stamps: Vec<Micros> = Vec::with_capacity(stamps.len());
    for stamp in stamps.iter().rev() {
        let stamp = stamp.map_or(0, to_micros);
        if stamp <= until {
            latest = latest.max(stamp);
        }
        latest_stamps.push(latest);
    }
    latest_stamps.reverse();
    latest_stamps
}

fn to_micros(stamp: UnixMillis) -> Micros {
    stamp.saturating_mul(MILLISECOND)
}

/// Estimates the ages of the events of one batch.
#[derive(Debug)]
pub struct BatchAges {
    /// The wall clock's time without the forward steps seen since the start.
    wall: Micros,
    /// Whether the latest time stamp confirms the wall clock. Only set if no previous response bounds the ages.
    wall_agrees: bool,
    /// The time since the previous poll response, which bounds the age of each event; `None` if nothing bounds it.
    max_age: Option<Micros>,
    snapshot: bool,
    /// For each event the latest time stamp of it and the events that follow.
    latest_stamps: Vec<Micros>,
}

impl BatchAges {
    /// The minimum age of a purge. `event_index` is the index of its event in the batch.
    pub fn purge_age(&self, event_index: usize, made: UnixMillis) -> Micros {
        // If nothing bounds the ages, few purges are active, and repeating their fetches costs little. In a snapshot
        // the combined purges invalidate whole slices of the hash space, so their ages are estimated.
        let is_estimated = self.max_age.is_some() || self.snapshot;
        if is_estimated && made > 0 { self.confirmed_age(event_index, made) } else { 0 }
    }

    /// The minimum time since the start of a store that was not listed before, and may have been running for long.
    pub fn new_store_age(&self, event_index: usize, started: UnixMillis) -> Micros {
        if self.wall_agrees {
            return self.wall_age(started);
        }
        let age_despite_steps = self.wall_age(started).saturating_sub(MAX_CLOCK_STEPS_MICROS);
        self.confirmed_age(event_index, started).max(age_despite_steps)
    }

    /// The minimum time since the restart of a store that was listed before.
    pub fn restart_age(&self, event_index: usize, started: UnixMillis) -> Micros {
        self.confirmed_age(event_index, started)
    }

    fn confirmed_age(&self, event_index: usize, stamp: UnixMillis) -> Micros {
        let latest = self.latest_stamps.get(event_index).copied().unwrap_or(0);
        let age_by_stamps = latest.saturating_sub(to_micros(stamp));
        age_by_stamps.min(self.wall_age(stamp)).min(self.max_age.unwrap_or(Micros::MAX))
    }

    fn wall_age(&self, stamp: UnixMillis) -> Micros {
        self.wall.saturating_sub(to_micros(stamp))
    }
}

#[cfg(test)]
mod tests;
