use super::*;

#[test]
fn counter_with_a_full_table_reports_each_count_once_and_the_dropped_requests() {
    let mut counter = Counter::default();
    (0..2_000_u64).for_each(|key| counter.count(key));
    (0..10).for_each(|_| counter.count(7));
    let reports = counter.close(3);
    assert_eq!((reports.len(), counter.dropped()), (MAX_REPORTS, 2_000 - (MAX_COUNTS * MAX_REPORTS) as u64));
    assert_eq!(reports[0].counts[0], KeyCount { key: 7, count: 11 });
    let total: u64 =
        reports.iter().flat_map(|report| &report.counts).map(|entry| u64::from(entry.count)).sum();
    assert_eq!(total, (MAX_COUNTS * MAX_REPORTS) as u64 + 10);
    assert_eq!(counter.close(4), []);
}
