//! Tests of routing in simulated time: hashing, cache ranks, fill sources and the object table.

mod common;
use common::*;
use sagearch::interface::*;

#[test]
fn object_hash_selects_the_same_cache_and_parent_at_every_router() {
    let (mut first, mut second) = (Bench::new(), Bench::new());
    second.router = {
        let mut settings_of_second = settings();
        settings_of_second.zone = 0;
        let mut router = sagearch::Router::new(settings_of_second, 99);
        let mut members = fleet();
        members.reverse();
        router.handle(second.now, Event::Members { kind: ListKind::Complete, members }, &mut Vec::new());
        router
    };
    let mut counts_by_cache = [0; 3];
    for id in 0..300 {
        let object = format!("o{id}");
        let (by_first, by_second) = (first.serve(id, &object).unwrap(), second.serve(id, &object).unwrap());
        assert_eq!((by_first.member, by_first.source()), (by_second.member, by_second.source()));
        assert_eq!(first.serve(1000 + id, &object).unwrap().member, by_first.member);
        counts_by_cache[by_first.member as usize - 1] += 1;
    }
    assert!(counts_by_cache.iter().all(|count| *count > 60), "{counts_by_cache:?}");
}

#[test]
fn cache_rank_follows_the_halved_count() {
    let mut bench = Bench::new();
    let ranks: Vec<u8> = (0..9).map(|id| bench.serve(id, "a").unwrap().fill.unwrap().cache_rank).collect();
    assert_eq!(ranks, [1, 2, 2, 2, 2, 2, 2, 3, 3]);
    let halved = bench.after(11 * SECOND).serve(20, "a").unwrap().fill.unwrap().cache_rank;
    assert_eq!(halved, 2);
    (0..3).for_each(|id| {
        bench.after(11 * SECOND).serve(30 + id, "b");
    });
    assert_eq!(bench.serve(40, "a").unwrap().fill.unwrap().cache_rank, 1);
}

#[test]
fn failed_attempts_are_retried_at_other_members() {
    let mut bench = Bench::new();
    let first = sent(&bench.ask(1, "a")).unwrap();
    let second = sent(&bench.ended(1, 0, Outcome::Unreachable, Detail::Unspecified)).unwrap();
    let third = sent(&bench.ended(1, 1, Outcome::Rejected, Detail::Unspecified)).unwrap();
    assert!(first.member != second.member && third.member != first.member && third.member != second.member);
}

#[test]
fn zone_without_parents_is_filled_by_the_origin() {
    let members = fleet().into_iter().filter(|member| member.role != Role::Parent).collect();
    let mut bench = Bench::with(settings(), members);
    assert_eq!(bench.serve(1, "a").unwrap().source(), 20);
}

#[test]
fn uncacheable_request_reaches_the_origin_directly_or_through_a_cache() {
    let mut bench = Bench::new();
    let direct = sent(&bench.asked(1, 1, "a", 1.0)).unwrap();
    assert_eq!((direct.member, direct.fill), (20, None));
    let mut settings = settings();
    settings.direct_requests = false;
    let mut bench = Bench::with(settings, fleet());
    let by_cache = sent(&bench.asked(1, 1, "a", 1.0)).unwrap();
    assert!(by_cache.member <= 3);
    assert_eq!((by_cache.source(), by_cache.fill.unwrap().cache_rank), (20, 0));
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut bench = Bench::new();
        let mut actions = Vec::new();
        for id in 0..200 {
            actions.extend(bench.after(MS).asked(id, (id % 4) as usize, &format!("o{}", id % 17), 60.0));
            if id % 3 == 0 {
                actions.extend(bench.ended(id, 0, Outcome::Rejected, Detail::Unspecified));
            }
        }
        actions
    };
    assert_eq!(run(), run());
}

#[test]
fn full_object_table_evicts_the_smallest_counts_first() {
    let mut bench = Bench::new();
    (0..3).for_each(|id| assert!(bench.serve(id, "often").is_some()));
    assert!(bench.serve(3, "once").is_some());
    (10..30_010).for_each(|id| assert!(bench.serve(id, &format!("o{id}")).is_some()));
    let mut rank = |id, object| bench.serve(id, object).unwrap().fill.unwrap().cache_rank;
    assert_eq!((rank(5, "once"), rank(6, "often")), (1, 2));
}
