// The compared values are sums of a few binary fractions and therefore exact.
#![allow(clippy::float_cmp)]

use super::*;
use crate::counter::KeyCount;

fn report(interval: Interval, number: u8, counts: &[(u64, u16)]) -> Report {
    let counts = counts.iter().map(|(key, count)| KeyCount { key: *key, count: *count }).collect();
    Report { interval, number, counts }
}

fn source(gateway: u16, incarnation: u64) -> ReportSource {
    ReportSource { gateway, incarnation }
}

fn aggregator(max_per_gateway: u64, halving_period: Interval, now: Interval) -> Aggregator {
    Aggregator::new(AggregatorConfig { capacity: 8, max_per_gateway, halving_period }, now)
}

#[test]
fn duplicated_report_is_counted_once_and_late_one_within_the_maximum_age() {
    let mut aggregator = aggregator(1_000, 100, 10);
    assert_eq!(aggregator.receive(10, source(1, 5), &report(10, 0, &[(7, 3)])), ReportOutcome::Counted);
    assert_eq!(aggregator.receive(10, source(1, 5), &report(10, 0, &[(7, 3)])), ReportOutcome::Duplicate);
    assert_eq!(
        aggregator.receive(12, source(1, 5), &report(10, 1, &[(7, 2)])),
        ReportOutcome::Counted,
        "within the maximum age"
    );
    assert_eq!(aggregator.receive(13, source(1, 5), &report(10, 2, &[(7, 2)])), ReportOutcome::Rejected);
    assert_eq!(aggregator.receive(13, source(1, 5), &report(14, 0, &[(7, 2)])), ReportOutcome::Rejected);
    assert_eq!(
        aggregator.receive(13, source(1, 4), &report(13, 0, &[(7, 2)])),
        ReportOutcome::Rejected,
        "from an earlier incarnation"
    );
    assert_eq!(aggregator.top(1), [Score { key: 7, count: 5.0, error: 0.0 }]);
}

#[test]
fn excessive_report_is_capped_and_a_restart_does_not_renew_the_allowance() {
    let mut aggregator = aggregator(100, 100, 10);
    assert_eq!(
        aggregator.receive(10, source(1, 5), &report(10, 0, &[(7, 60_000), (8, 60_000)])),
        ReportOutcome::Capped
    );
    assert_eq!(aggregator.receive(10, source(1, 6), &report(10, 0, &[(9, 60_000)])), ReportOutcome::Capped);
    assert_eq!(aggregator.receive(10, source(2, 1), &report(10, 0, &[(3, 40)])), ReportOutcome::Counted);
    let total: f64 = aggregator.top(8).iter().map(|score| score.count).sum();
    assert_eq!(total, 140.0);
}

#[test]
fn aged_count_is_halved_and_dropped_near_zero() {
    let mut aggregator = aggregator(1_000, 10, 0);
    aggregator.receive(0, source(1, 1), &report(0, 0, &[(7, 5), (8, 1)]));
    aggregator.age(10);
    assert_eq!(aggregator.top(2)[0].count, 2.5);
    aggregator.age(50);
    assert_eq!(aggregator.len(), 1);
    aggregator.age(u32::MAX);
    assert!(aggregator.is_empty());
}
