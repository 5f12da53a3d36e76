use super::*;
use crate::interface::MemberId;
use rstest::rstest;

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;
/// The true Unix time at the test's begin, and the monotonic clock then.
const EPOCH: i64 = 1_800_000_000 * SECOND;
const BEGIN: i64 = 86_400 * SECOND;
const STORE: MemberId = MemberId(7);

/// The clocks of a gateway, read some time after the test's begin.
fn reading(after: i64, step: i64) -> ClockReading {
    ClockReading { monotonic: (BEGIN + after) as Micros, wall: (EPOCH + after + step) as Micros }
}

/// What a clock that was stepped stamps.
fn stamp(after: i64, step: i64) -> UnixMillis {
    ((EPOCH + after + step) / 1_000) as UnixMillis
}

/// A gateway that has read its configuration and has been answered once, a second after the begin.
fn in_service() -> EventTimes {
    let mut times = EventTimes::default();
    times.answer(reading(0, 0), false, &[]);
    times.answer(reading(SECOND, 0), false, &[]);
    times
}

const TOLD: i64 = 2 * SECOND + 100_000;

/// A purge and a start that happened 0.1 s before they are told, in one answer with what came before and after them. Steps
/// of the gateway's clock and of the stamping clock come before all that, between the first and the second event, or after
/// the stamps. No event may count as older than it is.
#[rstest]
fn event_told_in_service_after_a_step_is_never_judged_older_than_it_is(
    #[values(5 * SECOND, -5 * SECOND, 60 * SECOND, HOUR, -HOUR)] step: i64,
    #[values((true, false), (false, true), (true, true))] (here, there): (bool, bool),
    #[values(1, 2, 3)] stepped_before_event: i64,
) {
    let mut times = in_service();
    let made: Vec<i64> = (0..3).map(|event| 2 * SECOND + event * 30_000).collect();
    let stamps: Vec<UnixMillis> = (1..)
        .zip(&made)
        .map(|(event, made)| stamp(*made, if there && event >= stepped_before_event { step } else { 0 }))
        .collect();
    let now = reading(TOLD, if here { step } else { 0 });
    let answer = times.answer(now, false, &stamps.iter().copied().map(Some).collect::<Vec<_>>());
    for (event, (made, stamp)) in made.iter().zip(&stamps).enumerate() {
        let age = (TOLD - made) as Micros;
        assert!(answer.purge_age(event, *stamp) <= age, "event {event}");
        assert!(answer.restart_age(event, *stamp) <= age, "event {event}");
        assert!(answer.new_store_age(event, *stamp) <= age, "event {event}");
    }
}

/// Without any step, after an outage of the bus: ages are as true as the later events prove.
#[test]
fn events_told_together_without_a_step_have_their_ages_up_to_the_last_one() {
    let mut times = in_service();
    let stamps = [9, 4, 2].map(|before| stamp(10 * SECOND - before * SECOND, 0));
    let answer = times.answer(reading(10 * SECOND, 0), false, &stamps.map(Some));
    let ages: Vec<Micros> = (0..3).map(|event| answer.purge_age(event, stamps[event])).collect();
    assert_eq!(ages, [7_000_000, 2_000_000, 0]);
}

#[test]
fn purge_without_a_time_or_known_at_the_start_counts_as_just_made() {
    let mut times = EventTimes::default();
    let stamps = [stamp(-4 * SECOND, 0), stamp(0, 0)];
    let known = times.answer(reading(0, 0), false, &stamps.map(Some));
    assert_eq!(known.purge_age(0, stamps[0]), 0);
    let mut times = in_service();
    let answer = times.answer(reading(TOLD, 0), false, &[Some(0), Some(stamp(2 * SECOND, 0))]);
    assert_eq!(answer.purge_age(0, 0), 0);
}

/// A relay's snapshot, with a folded purge first.
#[test]
fn folded_purge_of_a_snapshot_is_as_old_as_later_purges_prove() {
    let mut times = in_service();
    let stamps = [None, Some(stamp(-2 * SECOND, 0)), Some(stamp(SECOND, 0))];
    let answer = times.answer(reading(TOLD, HOUR), true, &stamps);
    assert_eq!(answer.purge_age(0, stamp(-50 * SECOND, 0)), 51_000_000);
    assert_eq!(answer.purge_age(1, stamp(-2 * SECOND, 0)), 3_000_000);
}

/// A gateway starts on a machine whose clock has been stepped by then, and knows of a purge of a second ago and of a store
/// that started ten seconds ago.
#[rstest]
#[case::no_step(0, 10_000_000)]
#[case::ahead_by_seconds(5 * SECOND, 9_000_000)]
#[case::behind_by_seconds(-5 * SECOND, 0)]
#[case::ahead_by_an_hour(HOUR, 9_000_000)]
#[case::behind_by_an_hour(-HOUR, 0)]
fn start_known_at_the_start_is_not_judged_older_than_it_is(#[case] step: i64, #[case] expected: Micros) {
    let mut times = EventTimes::default();
    let stamps = [stamp(-10 * SECOND, 0), stamp(-SECOND, 0)];
    let known = times.answer(reading(0, step), false, &stamps.map(Some));
    assert_eq!(known.new_store_age(0, stamps[0]), expected);
    let long_ago = stamp(-72 * HOUR, 0);
    let age = known.new_store_age(0, long_ago).cast_signed();
    assert!((69 * HOUR..=73 * HOUR).contains(&age), "past any slow start, whatever was stepped");
}

#[rstest]
#[case::as_it_is(0)]
#[case::ahead_by_an_hour(HOUR)]
#[case::behind_by_an_hour(-HOUR)]
fn start_stated_after_a_step_is_taken_for_a_new_one_and_keeps_its_time(#[case] step: i64) {
    let (mut times, mut starts) = (in_service(), StoreStarts::default());
    let mut listed = |after: i64, step: i64, stated: UnixMillis| {
        let now = reading(after, step);
        let answer = times.answer(now, false, &[Some(stated)]);
        starts.started(now.monotonic, STORE, stated, &answer, 0)
    };
    let first = listed(TOLD, 0, stamp(2 * SECOND, 0));
    assert_eq!(first, Some((BEGIN + TOLD) as Micros));
    let restarted = stamp(9 * SECOND, step);
    let second = listed(9 * SECOND, step, restarted);
    assert_eq!(second, Some((BEGIN + 9 * SECOND) as Micros), "neither in the future nor long ago");
    assert_eq!(listed(20 * SECOND, 0, restarted), second);
    assert_eq!(listed(21 * SECOND, 0, 0), None);
}
