//! Tests of request counts.

use super::Counts;

#[test]
fn full_table_and_halving_remove_the_smallest_counts() {
    let mut counts = Counts::default();
    assert_eq!([counts.increment(1, 2), counts.increment(1, 2), counts.increment(2, 2)], [1, 2, 1]);
    assert_eq!(counts.increment(3, 2), 1, "key 2 is removed, key 1 is kept");
    counts.halve();
    assert_eq!([counts.increment(1, 2), counts.increment(3, 2)], [2, 1]);
}
