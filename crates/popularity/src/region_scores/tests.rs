use super::*;
use rstest::rstest;

#[rstest]
#[case::fresh(10.0, 40.0)]
#[case::one_interval_old(11.0, 40.0)]
#[case::half_weight(11.5, 22.0)]
#[case::expired(12.0, 4.0)]
#[case::long_expired(99.0, 4.0)]
fn score_without_updates_reaches_the_own_count_within_two_intervals(#[case] now: f64, #[case] score: f64) {
    let mut scores = RegionScores::default();
    scores.receive(10.0, 7, 40.0);
    assert_eq!((scores.score(now, 7, 4.0), scores.score(now, 8, 4.0)), (score, 4.0));
}

#[test]
fn score_declines_continuously_and_the_table_stays_bounded() {
    let mut scores = RegionScores::default();
    scores.receive(0.0, 7, 100.0);
    let over_time: Vec<f64> = (0..300).map(|step| scores.score(f64::from(step) / 100.0, 7, 2.0)).collect();
    assert!(over_time.windows(2).all(|pair| pair[0] - pair[1] <= 1.0 && pair[1] <= pair[0]));
    (0..40_000).for_each(|key| scores.receive(0.5, key, 1.0));
    assert_eq!(scores.len(), MAX_SCORES);
    scores.evict_expired(3);
    assert!(scores.is_empty());
}
