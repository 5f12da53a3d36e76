//! Aggregated request counts of a region, held by the lease holder of a slice in a Space-Saving table with stated
//! errors.

use crate::Interval;
use crate::counter::{MAX_REPORTS, Report};
use std::collections::{BTreeMap, BTreeSet};

/// Counts are kept in units of this fraction of a request, so that halving loses little precision.
const UNITS_PER_REQUEST: u64 = 256;
/// Entries at or below this count are dropped when counts are halved.
const EVICTION_THRESHOLD_UNITS: u64 = UNITS_PER_REQUEST / 8;
/// A report is accepted up to this many intervals after the interval it covers.
const MAX_REPORT_AGE_INTERVALS: Interval = 2;
/// After this many halvings at most one unit of any count remains, so further ones have no effect.
const MAX_HALVINGS: u32 = 63;

/// Outcome of receiving a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// All requests of the report were counted.
    Counted,
    /// The report had already been counted.
    Duplicate,
    /// The report was not counted, because its interval is too old or in the future, its number is invalid, or its
    /// gateway has restarted since.
    Rejected,
    /// The requests beyond the maximum of one gateway in an interval were not counted.
    Capped,
}

/// Estimated number of recent requests for an object in the region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// The hash of the object.
    pub key: u64,
    /// The estimated number of requests: at least the true sum of the received reports, and at most `error` above it.
    pub count: f64,
    /// The largest possible excess of `count`.
    pub error: f64,
}

/// One process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSource {
    /// The gateway, by its number in the fleet.
    pub gateway: u16,
    /// The incarnation of the process, which increases with each start of the gateway.
    pub incarnation: u64,
}

/// The parameters of an [`Aggregator`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AggregatorConfig {
    /// The maximum number of objects with counts; at least 1.
    pub capacity: usize,
    /// The maximum number of requests that one gateway may count in an interval.
    pub max_per_gateway: u64,
    /// The number of intervals between halvings of the counts; at least 1.
    pub halving_period: Interval,
}

/// The count of an object and its error, in units.
#[derive(Clone, Copy, Debug)]
struct Entry {
    count: u64,
    error: u64,
}

/// The reports received from a gateway for one interval.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedInterval {
    /// A bit set of the numbers of the received reports.
    reports: u64,
    /// The number of requests that were counted.
    counted: u64,
}

/// The recent reports received from one gateway.
#[derive(Clone, Debug, Default)]
struct GatewayRecord {
    incarnation: u64,
    intervals: BTreeMap<Interval, ReceivedInterval>,
}

impl GatewayRecord {
    /// Clears the received report numbers after a restart of the gateway, because the new process numbers its reports
    /// from 0 again. The number of counted requests is kept: a restart does not renew the allowance of an interval.
    fn update_incarnation(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.intervals.values_mut().for_each(|received| received.reports = 0);
        }
    }
}

/// Adds up the reports of a region's gateways, for a bounded number of objects.
#[derive(Clone, Debug)]
pub struct Aggregator {
    config: AggregatorConfig,
    entries: BTreeMap<u64, Entry>,
    /// Counts and keys, in ascending order.
    keys_by_count: BTreeSet<(u64, u64)>,
    gateways: BTreeMap<u16, GatewayRecord>,
    /// The interval up to which halvings have been applied.
    last_halving: Interval,
}

impl Aggregator {
    /// Creates an aggregator without counts in the interval `now`.
    pub fn new(config: AggregatorConfig, now: Interval) -> Aggregator {
        let AggregatorConfig { capacity, max_per_gateway, halving_period } = config;
        let (capacity, halving_period) = (capacity.max(1), halving_period.max(1));
        Aggregator {
            config: AggregatorConfig { capacity, max_per_gateway, halving_period },
            entries: BTreeMap::new(),
            keys_by_count: BTreeSet::new(),
            gateways: BTreeMap::new(),
            last_halving: now,
        }
    }

    /// The number of objects with counts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no object has a count.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies all halvings that are due in the interval `now`. Skipped intervals are included, because a suspended
    /// process resumes with outdated counts.
    pub fn age(&mut self, now: Interval) {
        let halvings = now.saturating_sub(self.last_halving) / self.config.halving_period;
        if halvings == 0 {
            return;
        }
        self.last_halving += halvings * self.config.halving_period;
        self.halve(halvings.min(MAX_HALVINGS));
        for record in self.gateways.values_mut() {
            record.intervals.retain(|interval, _| interval + MAX_REPORT_AGE_INTERVALS >= now);
        }
        self.gateways.retain(|_, record| !record.intervals.is_empty());
    }

    /// Halves all counts the given number of times. Counts and errors are rounded up, so that both bounds still hold.
    fn halve(&mut self, times: u32) {
        let halved = |units: u64| units.div_ceil(1 << times);
        self.entries.retain(|_, entry| {
            *entry = Entry { count: halved(entry.count), error: halved(entry.error) };
            entry.count > EVICTION_THRESHOLD_UNITS
        });
        self.keys_by_count = self.entries.iter().map(|(key, entry)| (entry.count, *key)).collect();
    }

    /// Counts a report unless it was already counted. A late report from an earlier incarnation is counted only until
    /// the first report from a later one is received.
    pub fn receive(&mut self, now: Interval, source: ReportSource, report: &Report) -> ReportOutcome {
        self.age(now);
        let is_in_time = report.interval <= now && report.interval + MAX_REPORT_AGE_INTERVALS >= now;
        if !is_in_time || usize::from(report.number) >= MAX_REPORTS {
            return ReportOutcome::Rejected;
        }
        let record = self.gateways.entry(source.gateway).or_default();
        if source.incarnation < record.incarnation {
            return ReportOutcome::Rejected;
        }
        record.update_incarnation(source.incarnation);
        let mut received = record.intervals.get(&report.interval).copied().unwrap_or_default();
        let bit = 1 << report.number;
        if received.reports & bit != 0 {
            return ReportOutcome::Duplicate;
        }
        received.reports |= bit;
        let outcome = self.add_counts(&mut received, report);
        if let Some(record) = self.gateways.get_mut(&source.gateway) {
            record.intervals.insert(report.interval, received);
        }
        outcome
    }

    /// Adds the counts of a report, up to the remaining allowance of the gateway in the interval.
    fn add_counts(&mut self, received: &mut ReceivedInterval, report: &Report) -> ReportOutcome {
        let mut outcome = ReportOutcome::Counted;
        for entry in &report.counts {
            let reported = u64::from(entry.count);
            let count = reported.min(self.config.max_per_gateway.saturating_sub(received.counted));
            if count < reported {
                outcome = ReportOutcome::Capped;
            }
            received.counted += count;
            if count > 0 {
                self.add(entry.key, count * UNITS_PER_REQUEST);
            }
        }
        outcome
    }

    /// Adds units to the count of an object. If the table is full, a new object replaces the one with the smallest
    /// count and inherits that count as its error (Space-Saving algorithm).
    fn add(&mut self, key: u64, units: u64) {
        let entry = match self.entries.get(&key).copied() {
            Some(entry) => {
                self.keys_by_count.remove(&(entry.count, key));
                Entry { count: entry.count + units, ..entry }
            }
            None if self.entries.len() < self.config.capacity => Entry { count: units, error: 0 },
            None => {
                let Some((smallest, replaced)) = self.keys_by_count.pop_first() else { return };
                self.entries.remove(&replaced);
                Entry { count: smallest + units, error: smallest }
            }
        };
        self.entries.insert(key, entry);
        self.keys_by_count.insert((entry.count, key));
    }

    /// The objects with the highest counts in descending order, at most `limit`.
    pub fn top(&self, limit: usize) -> Vec<Score> {
        let requests = |units: u64| units as f64 / UNITS_PER_REQUEST as f64;
        let score = |(_, key): &(u64, u64)| {
            let entry = &self.entries[key];
            Score { key: *key, count: requests(entry.count), error: requests(entry.error) }
        };
        self.keys_by_count.iter().rev().take(limit).map(score).collect()
    }
}

#[cfg(test)]
mod tests;
