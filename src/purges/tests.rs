use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
/// Time after which the owner drops a purge.
const RETENTION: Micros = 10 * SECOND;

#[derive(Clone, Debug)]
struct PurgeNotice {
    /// Time since the previous notice.
    delay: Micros,
    object: Option<u8>,
    group: u8,
    /// Time between the purge and the notice.
    ago: Micros,
}

fn purge_notice() -> impl Strategy<Value = PurgeNotice> {
    let object = proptest::option::of(0..24_u8);
    (0..2 * SECOND, object, 0..4_u8, 0..3 * SECOND).prop_map(|(delay, object, group, ago)| PurgeNotice {
        delay,
        object,
        group,
        ago,
    })
}

/// A purge as stored by the reference model.
struct RecordedPurge {
    object: Option<u8>,
    group: u8,
    purged_at: Micros,
    recorded_at: Micros,
}

impl RecordedPurge {
    fn applies_to(&self, object: u8, group: Option<u8>) -> bool {
        match self.object {
            Some(purged) => purged == object,
            None => Some(self.group) == group,
        }
    }
}

/// Reference model that keeps all purges and searches them linearly.
#[derive(Default)]
struct PurgeModel(Vec<RecordedPurge>);

impl PurgeModel {
    fn latest(&self, object: u8, group: Option<u8>, since: Micros) -> Option<Micros> {
        let matching = self.0.iter().filter(|purge| purge.applies_to(object, group));
        matching.filter(|purge| purge.recorded_at >= since).map(|purge| purge.purged_at).max()
    }
}

fn object_name(object: u8) -> String {
    format!("object-{object}")
}

proptest! {
    /// At any capacity the table misses no purge within the retention. With capacity for all objects and groups it
    /// reports no purge that was not made.
    #[test]
    fn table_of_any_capacity_misses_no_purge(
        purges in proptest::collection::vec(purge_notice(), 1..200),
        capacity in 0..32_usize,
    ) {
        let (mut table, mut model, mut now) =
            (Purges::with_capacity(capacity), PurgeModel::default(), RETENTION);
        for PurgeNotice { delay, object, group, ago } in purges {
            now += delay;
            table.enter(now, object.map(object_name).as_deref(), Some(u64::from(group)), now - ago);
            table.drop_before(now.saturating_sub(RETENTION));
            model.0.push(RecordedPurge { object, group, purged_at: now - ago, recorded_at: now });
            prop_assert!(table.latest.len() <= capacity && table.queue.len() == table.latest.len());
            for (object, group) in [(0, None), (1, Some(0)), (7, Some(3)), (23, Some(1))] {
                let found = table.latest(object_hash(&object_name(object)), group.map(u64::from));
                prop_assert!(found >= model.latest(object, group, now - RETENTION));
                // There are only 24 objects and 4 groups.
                if capacity >= 28 {
                    prop_assert!(found <= model.latest(object, group, 0));
                }
            }
        }
    }

    /// A purged slice of any size is covered by the floors of the table, whose slices have another size.
    #[test]
    fn slice_purge_of_any_slice_count_covers_its_slice(hash: u64, slice_count in 1..10_000_u32) {
        let mut table = Purges::default();
        table.enter_slice(slice_of(hash, slice_count), slice_count, SECOND);
        prop_assert_eq!(table.latest_of_hash(hash), Some(SECOND));
    }
}

#[test]
fn drop_before_keeps_purges_recorded_again_and_reports_the_latest_dropped_time() {
    let mut table = Purges::default();
    table.enter(SECOND, Some("a"), None, SECOND);
    table.enter(2 * SECOND, Some("b"), None, 2 * SECOND);
    table.enter(3 * SECOND, Some("a"), None, 3 * SECOND);
    table.drop_before(3 * SECOND);
    assert_eq!(table.latest(object_hash("a"), None), Some(3 * SECOND));
    assert_eq!((table.latest(object_hash("b"), None), table.dropped()), (None, Some(2 * SECOND)));
}

#[test]
fn enter_slice_out_of_range_purges_nothing() {
    let mut table = Purges::default();
    table.enter_slice(3, 3, SECOND);
    table.enter_slice(0, 0, SECOND);
    assert!(table.floors.is_empty());
}

/// Guards against a cost per purge that grows with the size of a burst: the queue holds no more than the purges of the
/// retention time.
#[test]
fn queue_during_a_burst_is_bounded_by_the_retention() {
    let mut table = Purges::default();
    for number in 0..100_000_u64 {
        table.enter(number, None, Some(number), number);
        table.drop_before(number.saturating_sub(5_000));
        assert!(table.queue.len() <= 5_001);
    }
}
