//! Routing rules that every gateway must follow, tested on a single gateway in simulated time.

mod common;
use common::*;
use sagearch::interface::*;
use std::collections::BTreeSet;

// ---- Every request gets an answer ----

#[test]
fn request_to_an_unresponsive_member_is_rejected_before_its_deadline() {
    let mut bench = Bench::new();
    assert!(sent(&bench.ask(1, "a")).is_some());
    let actions = bench.after(3 * SECOND - 4 * MS).event(Event::Timer(TimerId(1)));
    assert!(refused(&actions));
    assert!(actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
    assert!(bench.after(MS).event(Event::Timer(TimerId(1))).is_empty());
}

#[test]
fn abandoned_request_gets_no_further_attempt() {
    let mut bench = Bench::new();
    bench.ask(1, "a");
    bench.event(Event::Abandoned { request: RequestId(1) });
    assert!(bench.ended(1, 0, Outcome::Unreachable, Detail::Unspecified).is_empty());
}

#[test]
fn request_of_unknown_class_or_without_remaining_time_is_answered_at_once() {
    let mut bench = Bench::new();
    let unknown_class = bench.event(Event::Request(Request {
        id: RequestId(1),
        class: None,
        timeout: SECOND,
        size_kb: 1.0,
        object: "a".into(),
        part: 0,
        purge_group: None,
        is_lookup: false,
    }));
    assert_eq!(unknown_class, vec![Action::Fail { request: RequestId(1) }]);
    let expired = bench.event(Event::Request(Request {
        id: RequestId(2),
        class: Some(0),
        timeout: 0,
        size_kb: 1.0,
        object: "a".into(),
        part: 0,
        purge_group: None,
        is_lookup: false,
    }));
    assert!(refused(&expired) && sent(&expired).is_none());
}

#[test]
fn request_is_rejected_without_members_and_served_by_a_single_member() {
    let mut bench = Bench::with(settings(), Vec::new());
    assert!(refused(&bench.ask(1, "a")));
    assert!(refused(&bench.asked(2, 1, "a", 1.0)));
    let mut bench = Bench::with(settings(), vec![member(20, Role::Origin)]);
    assert_eq!(sent(&bench.ask(1, "a")).unwrap().member, 20);
    let mut bench = Bench::with(settings(), vec![member(1, Role::Cache)]);
    let attempt = sent(&bench.ask(1, "a")).unwrap();
    assert_eq!((attempt.member, attempt.source()), (1, 1));
}

// ---- No request takes effect twice ----

#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Failed, Outcome::Unknown] {
        let mut bench = Bench::new();
        assert_eq!(sent(&bench.asked(1, 2, "a", 1.0)).unwrap().member, 20);
        let actions = bench.after(SECOND).ended(1, 0, outcome, Detail::Unspecified);
        assert!(failed(&actions) && !refused(&actions) && sent(&actions).is_none(), "{outcome:?}");
    }
    let mut bench = Bench::new();
    bench.asked(1, 2, "a", 1.0);
    let retry = bench.after(SECOND).ended(1, 0, Outcome::Unreachable, Detail::Unspecified);
    assert_eq!(sent(&retry).unwrap().member, 20);
}

#[test]
fn keyed_request_is_retried_only_within_its_deduplication_window() {
    let mut bench = Bench::new();
    bench.asked(1, 1, "a", 1.0);
    let within_window = bench.after(1900 * MS).ended(1, 0, Outcome::TimedOut, Detail::Unspecified);
    assert!(sent(&within_window).is_some());
    let mut bench = Bench::new();
    bench.asked(1, 1, "a", 1.0);
    let after_window = bench.after(2 * SECOND).ended(1, 0, Outcome::TimedOut, Detail::Unspecified);
    assert!(sent(&after_window).is_none() && refused(&after_window));
}

#[test]
fn keyed_request_is_retried_only_in_its_cell() {
    let mut settings = settings();
    settings.direct_requests = false;
    settings.classes[1].idempotency =
        Idempotency::Keyed { group: DeduplicationGroup::Cell, window: 2 * SECOND };
    let mut members = fleet();
    for member in &mut members {
        member.cell = member.id.0;
    }
    let mut bench = Bench::with(settings, members);
    let first_member = sent(&bench.asked(1, 1, "a", 1.0)).unwrap().member;
    let retry = bench.after(500 * MS).ended(1, 0, Outcome::Reset, Detail::Unspecified);
    assert_eq!(sent(&retry).unwrap().member, first_member);
    let actions = bench.after(500 * MS).ended(1, 1, Outcome::TimedOut, Detail::Unspecified);
    assert!(sent(&actions).is_none() && failed(&actions) && !refused(&actions));
}

#[test]
fn no_second_attempt_is_sent_in_parallel_without_hedging() {
    let mut bench = Bench::new();
    bench.ask(1, "a");
    for _ in 0..20 {
        assert!(sent(&bench.after(100 * MS).event(Event::Timer(TimerId(1)))).is_none());
    }
}

// ---- Draining members get no new requests ----

#[test]
fn draining_or_gone_member_is_neither_target_nor_source() {
    for state in [MemberState::Draining, MemberState::Gone] {
        let mut bench = Bench::new();
        let removed = [member(1, Role::Cache), member(11, Role::Parent)];
        let members = removed.into_iter().map(|member| Member { state, ..member }).collect();
        bench.event(Event::Members { kind: ListKind::Changes, members });
        for id in 0..60 {
            let attempt = bench.serve(id, &format!("o{id}")).unwrap();
            assert!(attempt.member != 1 && attempt.source() != 11);
        }
    }
}

#[test]
fn member_missing_from_a_complete_list_gets_no_requests() {
    let mut bench = Bench::new();
    let members = fleet().into_iter().filter(|member| member.id != MemberId(2)).collect();
    bench.event(Event::Members { kind: ListKind::Complete, members });
    assert!((0..60).all(|id| bench.serve(id, &format!("o{id}")).unwrap().member != 2));
}

// ---- Cold members are not overloaded ----

fn started_now(bench: &Bench, id: u32, role: Role) -> Event {
    let members = vec![Member { started: Some(bench.now), ..member(id, role) }];
    Event::Members { kind: ListKind::Changes, members }
}

#[test]
fn cold_cache_gets_less_work_than_its_slow_start_bound() {
    let mut bench = Bench::new();
    let cold = started_now(&bench, 1, Role::Cache);
    bench.event(cold);
    let (mut seconds, mut others) = (0.0, 0);
    for id in 0..2000 {
        match bench.after(MS).serve(id, &format!("o{id}")).map(|sent| sent.member) {
            Some(1) => seconds += 0.05,
            _ => others += 1,
        }
    }
    // The rule allows 2.5 x (0.2 rising to 0.36) x 8 transfers for 2 s, all sent by this gateway.
    assert!(seconds > 0.0 && seconds < 2.5 * 0.2 * 8.0 * 2.0, "{seconds}");
    assert!(others > 0);
}

#[test]
fn cold_parent_gets_fewer_fills_than_its_slow_start_bound() {
    let mut bench = Bench::new();
    let cold = started_now(&bench, 11, Role::Parent);
    bench.event(cold);
    let (mut seconds, mut others) = (0.0, 0);
    for id in 0..2000 {
        let attempt = sent(&bench.after(MS).ask(id, &format!("o{id}"))).unwrap();
        bench.ended(id, 0, Outcome::Served, Detail::Filled);
        match attempt.source() {
            11 => seconds += 0.05,
            _ => others += 1,
        }
    }
    // The rule allows 2.0 x (0.1 rising to 0.19) x 8 transfers for 2 s, a third of them from this gateway.
    assert!(seconds < 2.0 * 0.1 * 8.0 * 2.0 / 3.0, "{seconds}");
    assert!(others > 0);
}

/// Returns the work that `routers` gateways, with `requests_per_router` requests each, together send to a cache that
/// has just started, in seconds of transfer time.
fn work_sent_to_cold_cache(routers: u32, requests_per_router: u64) -> f64 {
    let mut seconds = 0.0;
    for router in 0..routers {
        let mut settings = settings();
        settings.zones[0].routers = routers;
        settings.routers = routers;
        let mut bench = Bench::new();
        bench.router = sagearch::Router::new(settings, u64::from(router));
        bench.event(Event::Members { kind: ListKind::Complete, members: fleet() });
        let cold = started_now(&bench, 1, Role::Cache);
        bench.event(cold);
        for number in 0..requests_per_router {
            let id = u64::from(router) * requests_per_router + number;
            let attempt = bench.after(2 * SECOND / requests_per_router).serve(id, &format!("o{}", id % 997));
            seconds += if attempt.is_some_and(|attempt| attempt.member == 1) { 0.05 } else { 0.0 };
        }
    }
    seconds
}

#[test]
fn cold_cache_gets_work_within_its_slow_start_bound_from_200_routers() {
    let bound = 2.5 * 0.2 * 8.0 * 2.0;
    for requests_per_router in [2, 20, 200] {
        let seconds = work_sent_to_cold_cache(200, requests_per_router);
        assert!(seconds > 0.5 && seconds < bound, "{requests_per_router} requests per router: {seconds} s");
    }
}

#[test]
fn cold_parent_charges_are_refunded_for_hits() {
    let mut bench = Bench::new();
    let cold = started_now(&bench, 11, Role::Parent);
    bench.event(cold);
    bench.after(10 * SECOND);
    (0..50).for_each(|id| assert!(bench.serve(id, &format!("o{id}")).is_some()));
    bench.after(2 * SECOND);
    let named_as_source = (50..2000).filter(|id| bench.serve(*id, &format!("o{id}")).unwrap().source() == 11);
    assert!(named_as_source.count() > 500);
}

// ---- Purged copies are not served ----

#[test]
fn purge_limits_the_age_of_copies_until_older_copies_are_gone() {
    for object in [Some("a".to_string()), None] {
        let mut bench = Bench::new();
        bench.event(Event::Purged { object, group: Some(7), ago: 85 * MS });
        let attempt = bench.after(15 * MS).serve(1, "a").unwrap();
        let max_age = attempt.fill.unwrap().max_age.unwrap();
        assert!(max_age > 0 && max_age <= 100 * MS);
        assert!(!attempt.fill.unwrap().join);
        let within_window = bench.after(5 * SECOND).serve(2, "a").unwrap().fill.unwrap();
        assert!(within_window.max_age.unwrap() <= 5100 * MS && !within_window.join);
        let after_window = bench.after(3 * SECOND).serve(3, "a").unwrap().fill.unwrap();
        assert!(after_window.max_age.is_none() && after_window.join);
    }
}

#[test]
fn purge_at_the_current_time_sends_a_nonzero_age_limit() {
    let mut bench = Bench::new();
    bench.event(Event::Purged { object: Some("a".into()), group: None, ago: 0 });
    assert_eq!(bench.serve(1, "a").unwrap().fill.unwrap().max_age, Some(1));
}

#[test]
fn purge_of_another_object_or_group_sets_no_limit() {
    let mut bench = Bench::new();
    bench.event(Event::Purged { object: Some("b".into()), group: Some(7), ago: 0 });
    bench.event(Event::Purged { object: None, group: Some(8), ago: 0 });
    let fill = bench.serve(1, "a").unwrap().fill.unwrap();
    assert!(fill.max_age.is_none() && fill.join);
}

#[test]
fn direct_request_to_a_parent_after_a_purge_has_an_age_limit() {
    let members = vec![member(11, Role::Parent), member(20, Role::Origin)];
    let mut bench = Bench::with(settings(), members);
    bench.event(Event::Purged { object: Some("a".into()), group: None, ago: 10 * MS });
    let direct = bench.serve(1, "a").unwrap();
    // A parent that is named as its own source fetches nothing and would reject a miss, so the origin is named.
    assert_eq!((direct.member, direct.source()), (11, 20));
    assert!(direct.fill.unwrap().max_age.is_some());
}

// ---- Members out of service ----

fn listed_with_start(started: Option<Micros>) -> Event {
    let members =
        vec![Member { started, ..member(1, Role::Cache) }, Member { started, ..member(11, Role::Parent) }];
    Event::Members { kind: ListKind::Changes, members }
}

fn members_used(bench: &mut Bench, ids: std::ops::Range<u64>) -> BTreeSet<u32> {
    ids.filter_map(|id| bench.after(50 * MS).serve(id, &format!("o{id}")))
        .flat_map(|attempt| [attempt.member, attempt.source()])
        .collect()
}

#[test]
fn member_out_of_service_is_unused_whatever_the_lists_state() {
    let mut bench = Bench::new();
    assert!(members_used(&mut bench, 1..60).is_superset(&[1, 11].into()));
    let now = bench.now;
    for id in [1, 11, 1] {
        bench.event(Event::OutOfService(MemberId(id)));
    }
    bench.event(listed_with_start(Some(now)));
    bench.event(Event::Members { kind: ListKind::Complete, members: fleet() });
    assert!(members_used(&mut bench, 100..160).is_disjoint(&[1, 11].into()));
    for id in [1, 11] {
        bench.event(Event::ReturnedToService { member: MemberId(id), started: bench.now });
    }
    assert!(
        members_used(&mut bench, 200..300).is_superset(&[1, 11].into()),
        "members back in service get requests within 5 s"
    );
}

/// Slow start of a member that returns to service begins at the restart that discovery reported while the member was
/// out of service, or else at the time of its return.
#[test]
fn member_returned_to_service_is_cold() {
    let requests_sent = |restarted_after: Option<Micros>| {
        let mut bench = Bench::with(settings(), fleet());
        let removed_at = bench.now;
        bench.event(Event::OutOfService(MemberId(1)));
        bench.after(9 * SECOND).event(listed_with_start(restarted_after.map(|after| removed_at + after)));
        bench.event(Event::ReturnedToService { member: MemberId(1), started: bench.now });
        let mut serve = |id| bench.after(10 * MS).serve(id, &format!("o{id}"));
        (0..300).filter(|id| serve(*id).is_some_and(|attempt| attempt.member == 1)).count()
    };
    let (reported, unreported) = (requests_sent(Some(SECOND)), requests_sent(None));
    assert!(unreported < reported / 2, "{unreported} requests without, {reported} with a reported restart");
    // A start before the member was taken out of service does not show whether it restarted since.
    assert_eq!(requests_sent(Some(0)), unreported);
}
