//! What the processes of a run wrote down, as the checker and the costs need it. No I/O.

use super::checker::{AppliedOffset, ProcessLifetime, Purge, TimeSpan};
use super::observation::{BusLine, HostLine, Traffic};
use super::usage::Usage;
use std::collections::BTreeMap;

const MICROS_PER_SECOND: f64 = 1e6;

/// Readings of one process, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    /// Processor and memory.
    pub usages: Vec<Usage>,
    /// Traffic so far, with the Unix time in microseconds of the reading.
    pub traffic: Vec<(u64, Traffic)>,
}

/// The traffic between two readings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficInterval {
    /// Messages and bytes.
    pub traffic: Traffic,
    /// The time between the readings.
    pub seconds: f64,
}

impl Readings {
    /// The first and the last reading of the processor within a span.
    pub fn usage_in(&self, span: TimeSpan) -> Option<(Usage, Usage)> {
        let is_within = |usage: &&Usage| (span.from..=span.until).contains(&usage.at_us);
        let first = self.usages.iter().find(is_within)?;
        let last = self.usages.iter().rfind(is_within)?;
        Some((*first, *last))
    }

    /// The traffic between the first and the last reading within a span. `None`: there are no two readings.
    pub fn traffic_in(&self, span: TimeSpan) -> Option<TrafficInterval> {
        let is_within = |reading: &&(u64, Traffic)| (span.from..=span.until).contains(&reading.0);
        let (first_us, first) = self.traffic.iter().find(is_within)?;
        let (last_us, last) = self.traffic.iter().rfind(is_within)?;
        let seconds = (last_us - first_us) as f64 / MICROS_PER_SECOND;
        (seconds > 0.0).then(|| TrafficInterval { traffic: last.since(first), seconds })
    }
}

/// What one host process wrote down.
#[derive(Clone, Debug, Default)]
pub struct HostRecord {
    /// Its gateways.
    pub processes: Vec<ProcessLifetime>,
    /// Of the whole process.
    pub readings: Readings,
}

impl HostRecord {
    /// Out of the lines of a host that ended at `until_us`.
    pub fn from_lines(lines: Vec<HostLine>, until_us: u64) -> HostRecord {
        let (mut processes, mut readings) = (BTreeMap::<usize, ProcessLifetime>::new(), Readings::default());
        let new = |gateway| ProcessLifetime {
            gateway,
            serving: TimeSpan { from: until_us, until: until_us },
            applied: Vec::new(),
            stale: Vec::new(),
        };
        for line in lines {
            match line {
                HostLine::Started { gateway, at_us } => {
                    processes.entry(gateway).or_insert_with(|| new(gateway)).serving.from = at_us;
                }
                HostLine::Applied { gateway, offsets } => {
                    let process = processes.entry(gateway).or_insert_with(|| new(gateway));
                    let applied = offsets.into_iter().map(|(offset, at)| AppliedOffset { offset, at });
                    process.applied.extend(applied);
                }
                HostLine::Stale { gateway, from_us, until_us } => {
                    let process = processes.entry(gateway).or_insert_with(|| new(gateway));
                    process.stale.push(TimeSpan { from: from_us, until: until_us });
                }
                HostLine::Usage(usage) => readings.usages.push(usage),
                HostLine::Traffic { at_us, traffic } => readings.traffic.push((at_us, traffic)),
            }
        }
        HostRecord { processes: processes.into_values().collect(), readings }
    }
}

/// What an event bus wrote down.
#[derive(Clone, Debug, Default)]
pub struct BusRecord {
    /// The purges that it issued.
    pub purges: Vec<Purge>,
    /// Of the whole process.
    pub readings: Readings,
    /// The most connections that were open at a reading.
    pub max_connections: usize,
}

impl BusRecord {
    /// Out of the lines of a bus.
    pub fn from_lines(lines: Vec<BusLine>) -> BusRecord {
        let mut record = BusRecord::default();
        for line in lines {
            match line {
                BusLine::Purge { offset, at_us } => record.purges.push(Purge { offset, issued: at_us }),
                BusLine::List { .. } => {}
                BusLine::Usage { usage, traffic, connections } => {
                    record.readings.usages.push(usage);
                    record.readings.traffic.push((usage.at_us, traffic));
                    record.max_connections = record.max_connections.max(connections);
                }
            }
        }
        record
    }
}

#[cfg(test)]
mod tests;
