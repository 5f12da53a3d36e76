use super::*;

const TIMES: Times = Times { every: 60_000, interval: 5_000, hold: 600_000 };

#[test]
fn flood_of_unknown_keys_causes_one_request_per_interval() {
    let mut schedule = RefreshSchedule::new(TIMES, 7, 0);
    let mut started = Vec::new();
    // Ten tokens with unknown keys each millisecond, and an issuer that responds after 200 ms.
    for now in 0..60_000 {
        (0..10).for_each(|_| schedule.request_early(now));
        if schedule.start_if_due(now) {
            started.push(now);
        }
        if started.last().is_some_and(|started| now == started + 200) {
            schedule.finish(now, RequestResult::Succeeded);
        }
    }
    assert!((10..=12).contains(&started.len()), "{started:?}");
    assert!(started.windows(2).all(|pair| pair[1] - pair[0] >= TIMES.interval), "{started:?}");
    assert!(schedule.suppressed > 500_000);
}

#[test]
fn schedules_with_different_seeds_start_requests_at_different_times() {
    let mut starts: Vec<Millis> = (0..1_000)
        .map(|seed| {
            let mut schedule = RefreshSchedule::new(TIMES, seed, 0);
            assert!(schedule.start_if_due(0));
            schedule.finish(0, RequestResult::Succeeded);
            (0..=72_000).find(|now| schedule.start_if_due(*now)).unwrap()
        })
        .collect();
    starts.sort_unstable();
    assert!(starts[0] >= 48_000 && starts[999] <= 72_000);
    let max_per_second = starts
        .iter()
        .map(|from| starts.iter().filter(|start| (*from..from + 1_000).contains(start)).count())
        .max();
    assert!(max_per_second < Some(100), "{max_per_second:?} of 1,000 within a second");
}

#[test]
fn failed_requests_are_retried_with_backoff_one_at_a_time() {
    let mut schedule = RefreshSchedule::new(TIMES, 3, 0);
    let (mut now, mut started) = (0, Vec::new());
    while started.len() < 6 {
        if schedule.start_if_due(now) {
            started.push(now);
            assert!(!schedule.start_if_due(now + 1), "two requests in flight");
            schedule.finish(now + 100, RequestResult::Failed);
            now += 100;
        }
        now += 1;
    }
    let delays: Vec<Millis> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(delays[0] < 13_000 && delays[4] >= 48_000, "{delays:?}");
}

#[test]
fn request_without_result_counts_as_failed() {
    let mut schedule = RefreshSchedule::new(TIMES, 3, 0);
    assert!(schedule.start_if_due(0));
    assert!(!schedule.start_if_due(REQUEST_TIMEOUT - 1));
    assert!((REQUEST_TIMEOUT..REQUEST_TIMEOUT + 13_000).any(|now| schedule.start_if_due(now)));
}
