use super::*;
use crate::interface::MemberId;
use rstest::rstest;

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;
/// The true Unix time and the monotonic clock at the start of a test, in microseconds.
const WALL_AT_START: i64 = 1_800_000_000 * SECOND;
const MONOTONIC_AT_START: i64 = 86_400 * SECOND;
const STORE: MemberId = MemberId(7);

/// The clocks of a gateway some time after the start of the test, with its wall clock stepped.
fn reading(elapsed: i64, step: i64) -> ClockReading {
    ClockReading {
        monotonic: (MONOTONIC_AT_START + elapsed) as Micros,
        wall: (WALL_AT_START + elapsed + step) as Micros,
    }
}

/// The time stamp of a stepped clock some time after the start of the test.
fn stamp(elapsed: i64, step: i64) -> UnixMillis {
    ((WALL_AT_START + elapsed + step) / 1_000) as UnixMillis
}

/// The estimator of a gateway that has read its configuration and received one poll response, a second after the start.
fn estimator_in_service() -> EventAgeEstimator {
    let mut estimator = EventAgeEstimator::default();
    estimator.record_batch(reading(0, 0), false, &[]);
    estimator.record_batch(reading(SECOND, 0), false, &[]);
    estimator
}

/// When the gateway receives the events, after the start of the test.
const RECEIVED_AT: i64 = 2 * SECOND + 100_000;

/// Three events of the last 0.1 s arrive in one batch, after a step of the gateway's clock, of the stamping clock or of
/// both. The stamping clock is stepped before the first, second or third event. An event that counts as older than it
/// is could let purged copies be served.
#[rstest]
fn age_of_an_event_received_after_a_clock_step_is_not_overestimated(
    #[values(5 * SECOND, -5 * SECOND, 60 * SECOND, HOUR, -HOUR)] step: i64,
    #[values((true, false), (false, true), (true, true))] (gateway_stepped, stamping_clock_stepped): (
        bool,
        bool,
    ),
    #[values(1, 2, 3)] first_event_after_step: i64,
) {
    let mut estimator = estimator_in_service();
    let made: Vec<i64> = (0..3).map(|event| 2 * SECOND + event * 30_000).collect();
    let stamps: Vec<UnixMillis> = (1..)
        .zip(&made)
        .map(|(event, made)| {
            stamp(*made, if stamping_clock_stepped && event >= first_event_after_step { step } else { 0 })
        })
        .collect();
    let now = reading(RECEIVED_AT, if gateway_stepped { step } else { 0 });
    let batch_ages =
        estimator.record_batch(now, false, &stamps.iter().copied().map(Some).collect::<Vec<_>>());
    for (event, (made, stamp)) in made.iter().zip(&stamps).enumerate() {
        let age = (RECEIVED_AT - made) as Micros;
        assert!(batch_ages.purge_age(event, *stamp) <= age, "event {event}");
        assert!(batch_ages.restart_age(event, *stamp) <= age, "event {event}");
        assert!(batch_ages.new_store_age(event, *stamp) <= age, "event {event}");
    }
}

/// After an outage of the bus and without any clock step, ages are as large as the time stamps of later events prove.
#[test]
fn age_of_an_event_without_a_clock_step_reaches_to_the_last_event_of_the_batch() {
    let mut estimator = estimator_in_service();
    let stamps = [9, 4, 2].map(|before| stamp(10 * SECOND - before * SECOND, 0));
    let batch_ages = estimator.record_batch(reading(10 * SECOND, 0), false, &stamps.map(Some));
    let ages: Vec<Micros> = (0..3).map(|event| batch_ages.purge_age(event, stamps[event])).collect();
    assert_eq!(ages, [7_000_000, 2_000_000, 0]);
}

#[test]
fn purge_without_time_stamp_or_from_the_configuration_has_age_zero() {
    let mut estimator = EventAgeEstimator::default();
    let stamps = [stamp(-4 * SECOND, 0), stamp(0, 0)];
    let ages = estimator.record_batch(reading(0, 0), false, &stamps.map(Some));
    assert_eq!(ages.purge_age(0, stamps[0]), 0);
    let mut estimator = estimator_in_service();
    let batch_ages =
        estimator.record_batch(reading(RECEIVED_AT, 0), false, &[Some(0), Some(stamp(2 * SECOND, 0))]);
    assert_eq!(batch_ages.purge_age(0, 0), 0);
}

/// A relay's snapshot whose first event is the combined purge of a slice.
#[test]
fn combined_purge_in_a_snapshot_is_as_old_as_later_purges_prove() {
    let mut estimator = estimator_in_service();
    let stamps = [None, Some(stamp(-2 * SECOND, 0)), Some(stamp(SECOND, 0))];
    let batch_ages = estimator.record_batch(reading(RECEIVED_AT, HOUR), true, &stamps);
    assert_eq!(batch_ages.purge_age(0, stamp(-50 * SECOND, 0)), 51_000_000);
    assert_eq!(batch_ages.purge_age(1, stamp(-2 * SECOND, 0)), 3_000_000);
}

/// A gateway starts on a machine whose clock was stepped before, with a store that started ten seconds ago and an event
/// of one second ago in its configuration. An overestimated age would end the store's slow start too early.
#[rstest]
#[case::no_step(0, 10_000_000)]
#[case::ahead_by_seconds(5 * SECOND, 9_000_000)]
#[case::behind_by_seconds(-5 * SECOND, 0)]
#[case::ahead_by_an_hour(HOUR, 9_000_000)]
#[case::behind_by_an_hour(-HOUR, 0)]
fn age_of_a_store_start_from_the_configuration_is_not_overestimated(
    #[case] step: i64,
    #[case] expected: Micros,
) {
    let mut estimator = EventAgeEstimator::default();
    let stamps = [stamp(-10 * SECOND, 0), stamp(-SECOND, 0)];
    let ages = estimator.record_batch(reading(0, step), false, &stamps.map(Some));
    assert_eq!(ages.new_store_age(0, stamps[0]), expected);
    let long_ago = stamp(-72 * HOUR, 0);
    let age = ages.new_store_age(0, long_ago).cast_signed();
    assert!(
        (69 * HOUR..=73 * HOUR).contains(&age),
        "a store started long ago must be past its slow start despite clock steps"
    );
}

#[rstest]
#[case::no_step(0)]
#[case::ahead_by_an_hour(HOUR)]
#[case::behind_by_an_hour(-HOUR)]
fn restart_stamped_after_a_clock_step_counts_as_new_and_keeps_its_time(#[case] step: i64) {
    let (mut estimator, mut start_times) = (estimator_in_service(), StoreStartTimes::default());
    let mut list_store = |elapsed: i64, step: i64, stated: UnixMillis| {
        let now = reading(elapsed, step);
        let batch_ages = estimator.record_batch(now, false, &[Some(stated)]);
        start_times.start_time(now.monotonic, STORE, stated, &batch_ages, 0)
    };
    let first = list_store(RECEIVED_AT, 0, stamp(2 * SECOND, 0));
    assert_eq!(first, Some((MONOTONIC_AT_START + RECEIVED_AT) as Micros));
    let restart_stamp = stamp(9 * SECOND, step);
    let second = list_store(9 * SECOND, step, restart_stamp);
    assert_eq!(
        second,
        Some((MONOTONIC_AT_START + 9 * SECOND) as Micros),
        "the restart must count as just happened"
    );
    assert_eq!(list_store(20 * SECOND, 0, restart_stamp), second);
    assert_eq!(list_store(21 * SECOND, 0, 0), None);
}
