//! Tests of hedged requests: each gets one answer, and no attempt stays in flight.

use super::*;

/// Creates a broker that may hedge and has learned that answers get lost.
fn broker_with_losses() -> Broker<RecordingWaiter> {
    let mut broker = Broker::new(Settings { hedging: true, ..settings() }, 1);
    broker.members(0, ListKind::Complete, fleet());
    for id in 1_000..1_010 {
        let first = attempt(broker.pick(MS, request(id, 0), Caller::anonymous(), RecordingWaiter::default()));
        let NextStep::Verdict(next) = report(&mut broker, MS, &first, Outcome::TimedOut) else { panic!() };
        assert_eq!(report(&mut broker, MS, &attempt(Some(next)), Outcome::Served), NextStep::Done);
    }
    broker
}

/// Picks the first attempt of a request and waits for the hedged one.
fn hedged_request(
    broker: &mut Broker<RecordingWaiter>,
    now: Micros,
    id: u64,
) -> ([PlannedAttempt; 2], RecordingWaiter) {
    let waiter = RecordingWaiter::default();
    let first = attempt(broker.pick(now, request(id, 0), Caller::anonymous(), waiter.clone()));
    (1..=600).for_each(|ms| broker.tick(now + ms * MS));
    let second = attempt(waiter.verdicts.borrow_mut().pop());
    assert!(waiter.withdrawn.borrow().is_empty(), "the first attempt stays in flight");
    assert!(broker.may_send(now, &first) && broker.may_send(now, &second));
    ([first, second], waiter)
}

#[rstest]
#[case::first(0)]
#[case::second(1)]
fn answer_to_either_hedged_attempt_ends_the_request_once(#[case] winner: usize) {
    let mut broker = broker_with_losses();
    let (attempts, waiter) = hedged_request(&mut broker, SECOND, 1);
    let now = SECOND + 700 * MS;
    assert_eq!(report(&mut broker, now, &attempts[winner], Outcome::Served), NextStep::Done);
    assert_eq!(report(&mut broker, now, &attempts[1 - winner], Outcome::Served), NextStep::Wait);
    assert!(attempts.iter().all(|planned| !broker.may_send(now, planned)));
    (0..3_000).for_each(|ms| broker.tick(now + ms * MS));
    assert!(waiter.verdicts.borrow().is_empty() && broker.open_requests() == 0);
}

#[test]
fn failure_of_a_hedged_request_leaves_the_first_attempt_in_flight() {
    let mut broker = broker_with_losses();
    let ([first, second], waiter) = hedged_request(&mut broker, SECOND, 1);
    assert_eq!(report(&mut broker, SECOND + 610 * MS, &second, Outcome::Miss), NextStep::Wait);
    assert!(broker.may_send(SECOND + 610 * MS, &first) && !broker.may_send(SECOND + 610 * MS, &second));
    (610..3_000).for_each(|ms| broker.tick(SECOND + ms * MS));
    // When the first attempt times out, it is withdrawn by its number, and then the retry is sent.
    assert_eq!(waiter.withdrawn.borrow().first(), Some(&0));
    assert!(matches!(
        waiter.verdicts.borrow().first(),
        Some(Verdict::Attempt(PlannedAttempt { attempt: 2, .. }))
    ));
    assert_eq!(broker.open_requests(), 0);
}

/// If the end of a losing attempt were not reported to the policies, it would count as in flight forever.
#[test]
fn losing_attempts_do_not_stay_in_flight() {
    let mut broker = broker_with_losses();
    for id in 0..200 {
        let now = SECOND * (1 + id);
        let ([_, second], _) = hedged_request(&mut broker, now, 1 + id);
        assert_eq!(report(&mut broker, now + 700 * MS, &second, Outcome::Served), NextStep::Done);
        // Immediate answers earn the budget for the next hedged request.
        for number in 0..4 {
            let now = now + 710 * MS;
            let verdict = broker.pick(
                now,
                request(10_000 + id * 10 + number, 0),
                Caller::anonymous(),
                RecordingWaiter::default(),
            );
            assert_eq!(report(&mut broker, now, &attempt(verdict), Outcome::Served), NextStep::Done, "{id}");
        }
    }
}

#[test]
fn abandoned_request_ends_both_hedged_attempts() {
    let mut broker = broker_with_losses();
    let (attempts, _) = hedged_request(&mut broker, SECOND, 1);
    let now = SECOND + 610 * MS;
    broker.abandon(now, RequestId(1));
    assert!(attempts.iter().all(|planned| !broker.may_send(now, planned)));
    assert_eq!(broker.open_requests(), 0);
}
