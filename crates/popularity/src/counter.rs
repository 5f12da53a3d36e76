//! What one gateway has counted, and how it tells it.

use crate::Interval;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of a report: a datagram holds as many.
pub const COUNTS: usize = 16;
/// Reports of one interval, as they are told apart by bits.
pub const REPORTS: usize = 64;

/// A part of what was counted in an interval. Told apart by gateway, incarnation, interval and number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub interval: Interval,
    pub number: u8,
    pub counts: Vec<(u64, u16)>,
}

/// Bounded: beyond what reports can tell, what is new in an interval is not counted, and that is told.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    counts: BTreeMap<u64, u16>,
    /// Not counted, as the table was full.
    pub dropped: u64,
}

impl Counter {
    pub fn count(&mut self, key: u64) {
        if self.counts.len() >= COUNTS * REPORTS && !self.counts.contains_key(&key) {
            self.dropped += 1;
            return;
        }
        let count = self.counts.entry(key).or_default();
        *count = count.saturating_add(1);
    }

    /// The interval is over: what is to be told of it, the most counted first, so that what is lost last is the least.
    pub fn close(&mut self, interval: Interval) -> Vec<Report> {
        let mut counts: Vec<(u64, u16)> = std::mem::take(&mut self.counts).into_iter().collect();
        counts.sort_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        let report = |(number, part): (usize, &[(u64, u16)])| Report {
            interval,
            number: number as u8,
            counts: part.to_vec(),
        };
        counts.chunks(COUNTS).enumerate().map(report).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_that_was_counted_is_told_once_and_a_full_table_says_so() {
        let mut counter = Counter::default();
        (0..2_000_u64).for_each(|key| counter.count(key));
        (0..10).for_each(|_| counter.count(7));
        let reports = counter.close(3);
        assert_eq!((reports.len(), counter.dropped), (REPORTS, 2_000 - (COUNTS * REPORTS) as u64));
        assert_eq!(reports[0].counts[0], (7, 11));
        let all: u64 = reports.iter().flat_map(|it| &it.counts).map(|(_, count)| u64::from(*count)).sum();
        assert_eq!(all, (COUNTS * REPORTS) as u64 + 10);
        assert_eq!(counter.close(4), []);
    }
}
