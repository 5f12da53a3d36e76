//! Tests of the freshness lease: age limits, checks before the first byte, and the revalidation budget.

use super::*;
use sagearch_feed::lease::Lease;

const LEASE_DURATION: Micros = 1_700 * MS;

fn lease(as_of: Option<Micros>) -> Lease {
    let mut lease = Lease::new(LEASE_DURATION, 0, 0);
    if let Some(as_of) = as_of {
        lease.renew(as_of);
    }
    lease
}

fn max_age(planned: &PlannedAttempt) -> Option<Micros> {
    planned.fill.and_then(|fill| fill.max_age)
}

#[test]
fn expired_lease_limits_the_age_of_copies_to_its_purge_floor() {
    let mut broker = broker();
    broker.renew_freshness(0, lease(None), 1_000);
    let max_age_at = |broker: &mut Broker<RecordingWaiter>, now, id| {
        max_age(&attempt(broker.pick(now, request(id, 0), Caller::anonymous(), RecordingWaiter::default())))
    };
    assert_eq!(max_age_at(&mut broker, 0, 1), Some(1), "no event has been received yet");
    broker.renew_freshness(0, lease(Some(0)), 1_000);
    assert_eq!(max_age_at(&mut broker, LEASE_DURATION - 1, 2), None);
    for time_since_expiry in [0, SECOND, 60 * SECOND] {
        let now = LEASE_DURATION + time_since_expiry;
        assert_eq!(max_age_at(&mut broker, now, 10 + time_since_expiry), Some(LEASE_DURATION - MS));
        assert!(broker.freshness(now).unwrap().is_stale);
    }
    // A purge after the floor lowers the limit further.
    broker.purged(90 * SECOND, Some("a".into()), None, 0);
    assert_eq!(max_age_at(&mut broker, 91 * SECOND, 4), Some(SECOND - MS));
    broker.renew_freshness(100 * SECOND, lease(Some(100 * SECOND)), 1_000);
    assert_eq!(max_age_at(&mut broker, 101 * SECOND, 5), None);
}

#[test]
fn may_send_refuses_attempts_picked_before_the_lease_expired() {
    let mut broker = broker();
    broker.renew_freshness(0, lease(Some(0)), 1_000);
    let pick = |broker: &mut Broker<RecordingWaiter>, now, id, class| {
        attempt(broker.pick(now, request(id, class), Caller::anonymous(), RecordingWaiter::default()))
    };
    let picked_before = pick(&mut broker, SECOND, 1, 0);
    let uncacheable = pick(&mut broker, SECOND, 2, 2);
    assert!(broker.may_send(LEASE_DURATION - 1, &picked_before));
    assert!(!broker.may_send(LEASE_DURATION, &picked_before));
    assert!(broker.may_send(LEASE_DURATION, &uncacheable), "an uncacheable object cannot be purged");
    let picked_after = pick(&mut broker, LEASE_DURATION, 3, 0);
    assert!(
        broker.may_send(LEASE_DURATION + SECOND, &picked_after),
        "its age limit allows for the expired lease"
    );
    assert_eq!(broker.freshness(LEASE_DURATION).unwrap().unsent, 1);
    // Once the lease is renewed, the attempt is checked against each purge that was received meanwhile.
    broker.renew_freshness(LEASE_DURATION, lease(Some(LEASE_DURATION)), 1_000);
    assert!(broker.may_send(LEASE_DURATION + 1, &picked_before));
}

#[test]
fn revalidations_are_limited_to_a_rate_and_refunded_on_hits() {
    let mut broker = broker();
    let refused = |verdict: &Option<Verdict>| matches!(verdict, Some(Verdict::Refused { backoff: Some(_) }));
    broker.renew_freshness(0, lease(None), 3);
    let pick = |broker: &mut Broker<RecordingWaiter>, now, id, class| {
        broker.pick(now, request(id, class), Caller::anonymous(), RecordingWaiter::default())
    };
    let paid: Vec<PlannedAttempt> = (1..=3).map(|id| attempt(pick(&mut broker, MS, id, 0))).collect();
    assert!(refused(&pick(&mut broker, MS, 4, 0)));
    attempt(pick(&mut broker, MS, 5, 2));
    let hit = AttemptReport { detail: Detail::Hit, ..Outcome::Served.into() };
    broker.report(2 * MS, paid[0].request, paid[0].attempt, hit);
    attempt(pick(&mut broker, 2 * MS, 6, 0));
    let filled = AttemptReport { detail: Detail::FilledByOrigin, ..Outcome::Served.into() };
    broker.report(3 * MS, paid[1].request, paid[1].attempt, filled);
    assert!(refused(&pick(&mut broker, 3 * MS, 7, 0)));
    attempt(pick(&mut broker, 400 * MS, 8, 0));
    assert_eq!(broker.freshness(400 * MS).unwrap().refused, 2);
}

#[test]
fn broker_without_a_lease_does_not_limit_the_age_of_copies() {
    let mut broker = broker();
    let planned =
        attempt(broker.pick(60 * SECOND, request(1, 0), Caller::anonymous(), RecordingWaiter::default()));
    assert_eq!((max_age(&planned), broker.freshness(u64::MAX)), (None, None));
    assert!(broker.may_send(62 * SECOND, &planned));
}
