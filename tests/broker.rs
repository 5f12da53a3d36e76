//! Tests of the broker in simulated time, without sockets: requests, attempts and outcomes.

mod common;
#[path = "broker/first_byte.rs"]
mod first_byte;
#[path = "broker/freshness.rs"]
mod freshness;
#[path = "broker/hedging.rs"]
mod hedging;

use common::{MS, SECOND, fleet, member, settings};
use rstest::rstest;
use sagearch::broker::{AttemptReport, Broker, NextStep, PlannedAttempt, Verdict, Waiter};
use sagearch::interface::*;
use sagearch_identity::Caller;
use std::cell::RefCell;
use std::rc::Rc;

/// Records the verdicts and withdrawals that it receives.
#[derive(Clone, Default)]
struct RecordingWaiter {
    verdicts: Rc<RefCell<Vec<Verdict>>>,
    withdrawn: Rc<RefCell<Vec<u32>>>,
}

impl Waiter for RecordingWaiter {
    fn deliver(&self, verdict: Verdict) {
        self.verdicts.borrow_mut().push(verdict);
    }

    fn withdraw(&self, attempt: u32) {
        self.withdrawn.borrow_mut().push(attempt);
    }
}

fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: Some(class),
        timeout: 3 * SECOND,
        object: "a".into(),
        ..Request::default()
    }
}

fn broker() -> Broker<RecordingWaiter> {
    let mut broker = Broker::new(settings(), 1);
    broker.members(0, ListKind::Complete, fleet());
    broker
}

fn attempt(verdict: Option<Verdict>) -> PlannedAttempt {
    let Some(Verdict::Attempt(planned)) = verdict else { panic!("{verdict:?}") };
    planned
}

fn report(
    broker: &mut Broker<RecordingWaiter>,
    now: Micros,
    planned: &PlannedAttempt,
    outcome: Outcome,
) -> NextStep {
    broker.report(now, planned.request, planned.attempt, outcome)
}

#[test]
fn report_of_a_failure_returns_a_retry_and_of_a_success_done() {
    let mut broker = broker();
    let first = attempt(broker.pick(MS, request(1, 0), Caller::anonymous(), RecordingWaiter::default()));
    let NextStep::Verdict(next) = report(&mut broker, 2 * MS, &first, Outcome::Unreachable) else { panic!() };
    let second = attempt(Some(next));
    assert_eq!((first.attempt, second.attempt), (0, 1));
    assert_ne!(first.member, second.member);
    // A late report on the first attempt is ignored.
    assert_eq!(report(&mut broker, 3 * MS, &first, Outcome::Served), NextStep::Wait);
    assert_eq!(report(&mut broker, 4 * MS, &second, Outcome::Served), NextStep::Done);
    assert_eq!(report(&mut broker, 5 * MS, &second, Outcome::Served), NextStep::Wait);
    assert_eq!(broker.open_requests(), 0);
}

#[test]
fn tick_times_out_attempts_and_ends_the_request() {
    let (mut broker, waiter) = (broker(), RecordingWaiter::default());
    attempt(broker.pick(0, request(1, 0), Caller::anonymous(), waiter.clone()));
    for now in 1..3_000 {
        broker.tick(now * MS);
    }
    let verdicts = waiter.verdicts.borrow();
    let (last, others) = verdicts.split_last().unwrap();
    assert!(matches!(last, Verdict::Refused { .. }), "{last:?}");
    assert!(!others.is_empty() && others.iter().all(|verdict| matches!(verdict, Verdict::Attempt(_))));
    assert_eq!(broker.open_requests(), 0);
}

#[test]
fn tick_after_a_backoff_delivers_the_retry() {
    let (mut broker, waiter) = (broker(), RecordingWaiter::default());
    let first = attempt(broker.pick(0, request(1, 2), Caller::anonymous(), waiter.clone()));
    assert_eq!(report(&mut broker, MS, &first, Outcome::Rejected), NextStep::Wait);
    (1..200).for_each(|now| broker.tick(now * MS));
    assert!(matches!(waiter.verdicts.borrow()[..], [Verdict::Attempt(PlannedAttempt { attempt: 1, .. })]));
}

#[test]
fn pick_of_an_open_id_fails_and_leaves_the_open_request() {
    let (mut broker, waiter) = (broker(), RecordingWaiter::default());
    let first = attempt(broker.pick(0, request(1, 0), Caller::anonymous(), waiter));
    assert_eq!(
        broker.pick(MS, request(1, 0), Caller::anonymous(), RecordingWaiter::default()),
        Some(Verdict::Failed)
    );
    assert_eq!(report(&mut broker, 2 * MS, &first, Outcome::Served), NextStep::Done);
}

#[test]
fn abandoned_request_gets_no_verdict() {
    let (mut broker, waiter) = (broker(), RecordingWaiter::default());
    let first = attempt(broker.pick(0, request(1, 0), Caller::anonymous(), waiter.clone()));
    broker.abandon(MS, RequestId(1));
    assert_eq!(report(&mut broker, 2 * MS, &first, Outcome::Unreachable), NextStep::Wait);
    (1..4_000).for_each(|now| broker.tick(now * MS));
    assert!(waiter.verdicts.borrow().is_empty() && broker.open_requests() == 0);
}

/// A request may bring a timeout beyond the shutdown deadline: it was computed before the shutdown was known or, as for
/// DNS lookups, without regard to it.
#[test]
fn request_with_a_timeout_beyond_the_shutdown_deadline_is_answered_before_it() {
    let (mut broker, waiter) = (broker(), RecordingWaiter::default());
    broker.end_by(0, 500 * MS);
    attempt(broker.pick(100 * MS, request(1, 0), Caller::anonymous(), waiter.clone()));
    (101..500).for_each(|now| broker.tick(now * MS));
    assert!(
        matches!(waiter.verdicts.borrow().last(), Some(Verdict::Refused { .. })),
        "{:?}",
        waiter.verdicts.borrow()
    );
    assert_eq!(broker.open_requests(), 0);
}

#[test]
fn lookup_whose_checked_member_is_gone_continues_with_the_next_member() {
    let mut broker = broker();
    let lookup = |id| Request { is_lookup: true, ..request(id, 0) };
    let first = attempt(broker.pick(0, lookup(1), Caller::anonymous(), RecordingWaiter::default()));
    let gone = Member { state: MemberState::Gone, ..member(first.member.0, Role::Cache) };
    broker.members(MS, ListKind::Changes, vec![gone]);
    let NextStep::Verdict(next) = broker.report_health_check_passed(2 * MS, &first) else { panic!() };
    let second = attempt(Some(next));
    assert_ne!(first.member, second.member);
    assert_eq!(broker.report_health_check_passed(3 * MS, &second), NextStep::Done);
}

/// A health check takes hardly any time. If that were learned as a sending time, the next request would time out early.
#[test]
fn health_checks_do_not_change_learned_sending_times() {
    let sized_request = |id| Request { size_kb: 500.0, ..request(id, 0) };
    let attempt_after = |checks: u64| {
        let mut broker = broker();
        for id in 0..20 {
            let planned = attempt(broker.pick(
                id * SECOND,
                sized_request(id),
                Caller::anonymous(),
                RecordingWaiter::default(),
            ));
            let filled = AttemptReport { detail: Detail::Filled, ..Outcome::Served.into() };
            broker.report(id * SECOND + 600 * MS, planned.request, 0, filled);
        }
        for id in 100..100 + checks {
            let lookup = Request { is_lookup: true, object: format!("o{id}"), ..request(id, 0) };
            let planned =
                attempt(broker.pick(21 * SECOND, lookup, Caller::anonymous(), RecordingWaiter::default()));
            assert_eq!(broker.report_health_check_passed(21 * SECOND + MS, &planned), NextStep::Done);
        }
        let planned = attempt(broker.pick(
            22 * SECOND,
            sized_request(1_000),
            Caller::anonymous(),
            RecordingWaiter::default(),
        ));
        (planned.member, planned.timeout, planned.fill)
    };
    assert_eq!(attempt_after(0), attempt_after(200));
}

/// Lookups count against the slow start of a cache like other requests.
#[test]
fn lookups_are_charged_to_the_slow_start_of_a_member() {
    let mut settings = settings();
    settings.direct_requests = false;
    let mut broker: Broker<RecordingWaiter> = Broker::new(settings, 1);
    let cold = Member { started: Some(100 * SECOND), ..member(1, Role::Cache) };
    broker.members(100 * SECOND, ListKind::Complete, vec![cold, member(20, Role::Origin)]);
    let mut sent = 0;
    let sized_request = |id| Request { size_kb: 500.0, ..request(id, 0) };
    // The mean sending time is learned from the first requests, which state a size. The lookups that follow use up the
    // rest of the budget.
    for id in 0..200 {
        let next_request =
            if id < 3 { sized_request(id) } else { Request { is_lookup: true, ..request(id, 0) } };
        let now = 100 * SECOND + id * MS;
        let Some(Verdict::Attempt(planned)) =
            broker.pick(now, next_request, Caller::anonymous(), RecordingWaiter::default())
        else {
            continue;
        };
        sent += 1;
        let outcome = if id < 3 { Outcome::Served } else { Outcome::Checked };
        report(&mut broker, now, &planned, outcome);
    }
    assert!((1..20).contains(&sent), "{sent}");
}

/// During an upgrade, each of the gateway's two processes sends a cache in slow start half of the gateway's share, and
/// the new process resumes with the learned state of the previous one.
#[test]
fn two_processes_share_slow_start_and_learned_state() {
    let run_with = |processes: u8| {
        let settings = Settings { direct_requests: false, ..settings() };
        let mut broker: Broker<RecordingWaiter> = Broker::new(settings, 1);
        let cold = Member { started: Some(100 * SECOND), ..member(1, Role::Cache) };
        broker.members(100 * SECOND, ListKind::Complete, vec![cold, member(20, Role::Origin)]);
        broker.set_process_count(processes);
        let mut sent = 0;
        for id in 0..800 {
            let now = 100 * SECOND + id * 2 * MS;
            let next_request = Request { size_kb: 50.0, object: format!("o{id}"), ..request(id, 0) };
            let Some(Verdict::Attempt(planned)) =
                broker.pick(now, next_request, Caller::anonymous(), RecordingWaiter::default())
            else {
                continue;
            };
            sent += 1;
            report(&mut broker, now, &planned, Outcome::Served);
        }
        (sent, broker)
    };
    let ((sent_by_one, previous), (sent_by_one_of_two, mut new)) = (run_with(1), run_with(2));
    assert!(
        sent_by_one_of_two * 3 < sent_by_one * 2 && sent_by_one_of_two > 0,
        "{sent_by_one_of_two} of {sent_by_one}"
    );
    let learned_counts =
        |broker: &Broker<RecordingWaiter>| serde_json::to_value(broker.learned()).unwrap()["counts"].clone();
    new.take_over(serde_json::from_value(serde_json::json!(previous.learned())).unwrap());
    assert_eq!(learned_counts(&new), learned_counts(&previous));
}

/// At shutdown each open request is answered as its class requires, before the deadline but no earlier than necessary.
#[rstest]
#[case::idempotent(0, false)]
#[case::not_idempotent(2, true)]
fn open_requests_at_shutdown_are_answered_just_before_the_deadline(
    #[case] class: usize,
    #[case] fails: bool,
) {
    let (mut broker, waiter) = (broker(), RecordingWaiter::default());
    let sized_request = Request { timeout: 60 * SECOND, size_kb: 60_000.0, ..request(1, class) };
    attempt(broker.pick(0, sized_request, Caller::anonymous(), waiter.clone()));
    broker.end_by(SECOND, 4 * SECOND);
    (1_000..3_990).for_each(|ms| broker.tick(ms * MS));
    assert!(waiter.verdicts.borrow().is_empty());
    (3_990..4_000).for_each(|ms| broker.tick(ms * MS));
    let verdicts = waiter.verdicts.borrow();
    assert_eq!(verdicts.len(), 1);
    assert_eq!((verdicts[0] == Verdict::Failed, broker.open_requests()), (fails, 0));
}
