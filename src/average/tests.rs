//! Tests of the time-weighted average.

use super::Average;

#[test]
fn level_of_one_for_half_the_time_averages_to_one_half() {
    let mut average = Average::default();
    for round in 0..400_u64 {
        average.record(round * 1_000, f64::from(u8::from(round % 2 == 0)), 20_000);
    }
    assert!((average.value_at(400_000, 0.0, 20_000) - 0.5).abs() < 0.05);
}

#[test]
fn average_after_one_half_life_has_moved_halfway() {
    let mut average = Average::default();
    average.record(1_000_000, 4.0, 1);
    assert!((average.value_at(1_020_000, 0.0, 20_000) - 2.0).abs() < 1e-9);
    assert_eq!(average.value_at(0, 0.0, 20_000).to_bits(), 4.0_f64.to_bits());
}
