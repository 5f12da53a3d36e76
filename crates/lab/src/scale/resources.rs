//! What a scale run needs of the machine: estimated before it starts, and refused where it does not fit. No I/O.

use super::error::ScaleError;
use super::layout::Layout;
use super::scenario::{Scenario, Size};
use serde::Serialize;
use std::time::Duration;

const MAX_PROCESSES: u64 = 200;
const MAX_MEMORY_MB: u64 = 12 * 1_024;
const MAX_DURATION: Duration = Duration::from_mins(5);
/// Memory of each kind of process, all above what was measured.
const HOLLOW_GATEWAY_MB: u64 = 3;
const HOST_MB: u64 = 16;
const REAL_GATEWAY_MB: u64 = 24;
const BUS_MB: u64 = 300;
const RELAY_MB: u64 = 150;
const LABORATORY_MB: u64 = 400;
/// The host of gateways that are restarted, and the empty one.
const FURTHER_HOSTS: u64 = 2;
/// The event bus and the laboratory.
const FURTHER_PROCESSES: u64 = 2;
/// Descriptors of one process beside its connections.
const FURTHER_FILES: u64 = 100;
/// The time of a size beside its phases: starts and ends.
const START_AND_STOP_TIME: Duration = Duration::from_secs(14);
/// How long the fleet runs without events, to measure what gateways cost at rest.
pub const IDLE_TIME: Duration = Duration::from_secs(4);
/// From the first event to the calm phase.
pub const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// What a size needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ResourceEstimate {
    /// How many processes run at once.
    pub processes: u64,
    /// Memory of all processes.
    pub memory_mb: u64,
    /// Descriptors of the process that has most.
    pub files: u64,
    /// How long the size runs.
    pub seconds: u64,
}

/// What one size needs.
pub fn estimate(scenario: &Scenario, size: &Size) -> ResourceEstimate {
    let layout = Layout::new(&scenario.fleet, size);
    let hosts = layout.hosts.len() as u64 + FURTHER_HOSTS;
    let (gateways, real) = (size.gateways as u64, size.real as u64);
    let relays = scenario.relays.unwrap_or(0) as u64;
    let faults = scenario.faults_at(size);
    let fault_time: Duration = faults.iter().map(|fault| fault.duration + fault.settle).sum();
    let linked = (layout.fault_region().len() as u64 + real) * 2 * relays.max(1);
    ResourceEstimate {
        processes: hosts + real + relays + FURTHER_PROCESSES,
        memory_mb: (gateways - real) * HOLLOW_GATEWAY_MB
            + hosts * HOST_MB
            + real * REAL_GATEWAY_MB
            + relays * RELAY_MB
            + BUS_MB
            + LABORATORY_MB,
        files: FURTHER_FILES + linked.max(gateways),
        seconds: (START_AND_STOP_TIME + IDLE_TIME + WARM_UP_TIME + size.calm + fault_time).as_secs(),
    }
}

/// Checks that sizes which run one after the other fit. `memory_mb` and `files` are what is available.
///
/// # Errors
///
/// The first resource that is not enough.
pub fn check_limits(estimates: &[ResourceEstimate], memory_mb: u64, files: u64) -> Result<(), ScaleError> {
    let max = |of: fn(&ResourceEstimate) -> u64| estimates.iter().map(of).max().unwrap_or(0);
    let seconds: u64 = estimates.iter().map(|estimate| estimate.seconds).sum();
    let checks = [
        ("processes", max(|estimate| estimate.processes), MAX_PROCESSES),
        ("MB of memory", max(|estimate| estimate.memory_mb), MAX_MEMORY_MB.min(memory_mb)),
        ("descriptors", max(|estimate| estimate.files), files),
        ("seconds", seconds, MAX_DURATION.as_secs()),
    ];
    match checks.into_iter().find(|(_, needed, limit)| needed > limit) {
        Some((resource, needed, limit)) => Err(ScaleError::OverLimit { resource, needed, limit }),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
