//! Tests of stored purges: a purge stays effective, whether stored individually or folded into a floor.

use proptest::prelude::*;
use sagearch_feed::message::Ban;
use sagearch_feed::relay::purges::Purges;
use sagearch_feed::slice::{self, Floor, Floors, SLICES};

const RETENTION_MICROS: u64 = 1_000;

fn url(path: String, ts: u64) -> Ban {
    Ban { url: Some(path), ts, ..Ban::default() }
}

/// The time before which a receiver of these purges counts a copy of the URL as purged.
fn purged_before(purges: &Purges, path: &str) -> Option<u64> {
    let mut floors = Floors::default();
    let mut individual = None;
    for ban in purges.all() {
        if let (Some(slice), Some(of)) = (ban.slice, ban.of) {
            floors.raise(slice, of, Floor { ts: ban.ts, known_since: 0 });
        } else if ban.url.as_deref() == Some(path) {
            individual = individual.max(Some(ban.ts));
        }
    }
    individual.max(floors.floor(slice::url_hash(path)))
}

fn any_ban() -> impl Strategy<Value = Ban> {
    prop_oneof![
        6 => (0_u32..40, 0_u64..100).prop_map(|(path, ts)| url(format!("/{path}"), ts)),
        1 => (0_u64..20, 0_u64..100).prop_map(|(tag, ts)| Ban { tag: Some(tag), ts, ..Ban::default() }),
        1 => (0_u32..9, 1_u32..9, 0_u64..100).prop_map(|(slice, of, ts)| Ban {
            slice: Some(slice),
            of: Some(of),
            ts,
            ..Ban::default()
        }),
        1 => (0_u64..100).prop_map(|ts| Ban { ts, ..Ban::default() }),
    ]
}

proptest! {
    #[test]
    fn folded_purges_are_never_weaker_than_received_ones(
        received in proptest::collection::vec((any_ban(), 0_u64..400), 1..60), capacity in 0_usize..12,
    ) {
        let mut purges = Purges::new(RETENTION_MICROS, capacity);
        let mut retained: Vec<(u64, Ban)> = Vec::new();
        let mut now = 0;
        for (ban, elapsed) in received {
            now += elapsed;
            purges.expire(now);
            purges.add(now, &ban);
            retained.push((now, ban));
            retained.retain(|(received_at, _)| now - received_at <= RETENTION_MICROS);
            prop_assert!(purges.count() <= capacity);
            for (_, ban) in &retained {
                let Some(path) = &ban.url else { continue };
                prop_assert!(purged_before(&purges, path) >= Some(ban.ts), "{path} at {now}");
            }
        }
    }
}

#[test]
fn purge_with_earlier_time_does_not_weaken_known_one() {
    let mut purges = Purges::new(RETENTION_MICROS, 10);
    purges.add(0, &url("/a".to_owned(), 9));
    purges.add(1, &url("/a".to_owned(), 3));
    assert_eq!((purged_before(&purges, "/a"), purges.count()), (Some(9), 1));
}

#[test]
fn tags_fold_into_slices_and_unknown_purges_into_all_slices() {
    let mut purges = Purges::new(RETENTION_MICROS, 0);
    purges.add(0, &Ban { tag: Some(7), ts: 5, ..Ban::default() });
    assert_eq!(purges.floors().floor(slice::tag_hash(7)), Some(5));
    assert_eq!(purges.floors().len(), 1);
    purges.add(0, &Ban { ts: 4, ..Ban::default() });
    assert_eq!(purges.floors().len(), SLICES as usize);
    assert_eq!(purges.floors().floor(slice::tag_hash(7)), Some(5));
}

#[test]
fn purges_and_floors_after_retention_are_dropped() {
    let mut purges = Purges::new(RETENTION_MICROS, 1);
    purges.add(0, &url("/a".to_owned(), 1));
    purges.add(10, &url("/b".to_owned(), 1));
    purges.expire(RETENTION_MICROS);
    assert_eq!((purges.count(), purges.floors().len()), (1, 1));
    purges.expire(RETENTION_MICROS + 1);
    assert_eq!((purges.count(), purges.floors().len()), (1, 0));
    purges.expire(RETENTION_MICROS + 11);
    assert_eq!(purges.all().count(), 0);
}

#[test]
fn purges_over_byte_limit_are_folded() {
    let mut purges = Purges::new(RETENTION_MICROS, 1_000_000);
    for number in 0..300 {
        purges.add(0, &url("u".repeat(10_000) + &number.to_string(), 1));
    }
    assert!(purges.count() < 210 && purges.floors().len() > 80);
}
