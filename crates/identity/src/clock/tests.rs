use super::*;

fn reading(unix: Millis, monotonic: Millis) -> Now {
    Now { unix, monotonic }
}

#[test]
fn unix_step_forward_is_followed_immediately_and_step_back_after_settle_time() {
    let mut clock = StepTolerantClock::default();
    assert_eq!(clock.time(reading(1_000_000, 10)), 1_000_000);
    assert_eq!(clock.time(reading(1_000_100, 110)), 1_000_100);
    assert_eq!(clock.time(reading(4_000_100, 120)), 4_000_100);
    // After a step back of an hour, time advances with the monotonic clock.
    assert_eq!(clock.time(reading(400_100, 1_120)), 4_001_100);
    assert_eq!(clock.time(reading(400_100 + SETTLE_TIME - 1, 1_119 + SETTLE_TIME)), 4_001_099 + SETTLE_TIME);
    assert_eq!(clock.time(reading(400_100 + SETTLE_TIME, 1_120 + SETTLE_TIME)), 400_100 + SETTLE_TIME);
    assert_eq!(clock.steps, 2);
}

#[test]
fn slewed_or_returning_clock_is_not_a_step() {
    let mut clock = StepTolerantClock::default();
    clock.time(reading(1_000_000, 0));
    assert_eq!(clock.time(reading(1_000_990, 1_000)), 1_000_990);
    assert_eq!(clock.time(reading(1_000_980, 1_001)), 1_000_990, "the time goes back");
    assert_eq!(clock.steps, 0);
    // A step back by ten seconds and forward again within the settle time.
    assert_eq!(clock.time(reading(992_000, 2_001)), 1_001_990);
    assert_eq!(clock.time(reading(1_003_000, 3_001)), 1_003_000);
    assert_eq!(clock.steps, 1);
}

#[test]
fn clock_of_new_process_continues_from_time_of_old_one() {
    let mut clock = StepTolerantClock::starting_at(5_000_000, reading(1_000_000, 0));
    assert_eq!(clock.time(reading(1_000_010, 10)), 5_000_010);
}
