use super::*;

#[test]
fn unix_time_converts_repeatably_and_too_early_time_is_none() {
    let clock = Clock::default();
    let ms = clock.unix_at_start / 1_000;
    assert_eq!(clock.at(ms - 500), clock.at(ms - 500));
    assert!(clock.at(ms - 500).unwrap() < clock.now());
    assert_eq!((clock.at(0), clock.at(1)), (None, None));
}
