//! Request counts of one gateway and the reports that carry them.

use crate::Interval;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of counts in a report, limited by the size of a datagram.
pub const MAX_COUNTS: usize = 16;
/// Maximum number of reports per interval. The aggregator records the received ones as the bits of a 64-bit integer.
pub const MAX_REPORTS: usize = 64;

/// Number of requests for an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// The hash of the object.
    pub key: u64,
    /// The number of requests.
    pub count: u16,
}

/// Part of a gateway's counts for one interval, identified by gateway, incarnation, interval and number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The interval in which the requests were counted.
    pub interval: Interval,
    /// The number of the report within the interval, starting from 0 and below [`MAX_REPORTS`].
    pub number: u8,
    /// At most [`MAX_COUNTS`] counts.
    pub counts: Vec<KeyCount>,
}

/// Counts the requests of the current interval, for at most as many objects as fit into the reports of one interval.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    counts: BTreeMap<u64, u16>,
    dropped: u64,
}

impl Counter {
    /// Counts a request for the object with the hash `key`. If the table is full, new objects are not counted.
    pub fn count(&mut self, key: u64) {
        if self.counts.len() >= MAX_COUNTS * MAX_REPORTS && !self.counts.contains_key(&key) {
            self.dropped += 1;
            return;
        }
        let count = self.counts.entry(key).or_default();
        *count = count.saturating_add(1);
    }

    /// The number of requests since the start that were not counted because the table was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Ends an interval and returns its reports. The highest counts come first, so that the loss of later reports
    /// matters least.
    pub fn close(&mut self, interval: Interval) -> Vec<Report> {
        let counts = std::mem::take(&mut self.counts).into_iter();
        let mut counts: Vec<KeyCount> = counts.map(|(key, count)| KeyCount { key, count }).collect();
        counts.sort_by_key(|entry| (Reverse(entry.count), entry.key));
        let report = |(number, chunk): (u8, &[KeyCount])| Report { interval, number, counts: chunk.to_vec() };
        (0..).zip(counts.chunks(MAX_COUNTS)).map(report).collect()
    }
}

#[cfg(test)]
mod tests;
