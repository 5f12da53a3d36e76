use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
/// After so long the holder has no use for a purge.
const KEPT: Micros = 10 * SECOND;

#[derive(Clone, Debug)]
struct Told {
    after: Micros,
    object: Option<u8>,
    group: u8,
    ago: Micros,
}

fn told() -> impl Strategy<Value = Told> {
    let object = proptest::option::of(0..24_u8);
    (0..2 * SECOND, object, 0..4_u8, 0..3 * SECOND).prop_map(|(after, object, group, ago)| Told {
        after,
        object,
        group,
        ago,
    })
}

/// All purges ever told, and what a look through them says.
#[derive(Default)]
struct Naive(Vec<(Option<u8>, u8, Micros, Micros)>);

impl Naive {
    fn latest(&self, object: u8, group: Option<u8>, since: Micros) -> Option<Micros> {
        let voids = |it: &&(Option<u8>, u8, Micros, Micros)| match it.0 {
            Some(purged) => purged == object,
            None => Some(it.1) == group,
        };
        self.0.iter().filter(voids).filter(|it| it.3 >= since).map(|it| it.2).max()
    }
}

fn name(object: u8) -> String {
    format!("object-{object}")
}

proptest! {
    /// However little room there is, no purge is missed that is not over; and with room for all, none is made up.
    #[test]
    fn never_less_is_purged_than_was_told(
        purges in proptest::collection::vec(told(), 1..200),
        room in 0..32_usize,
    ) {
        let (mut table, mut naive, mut now) = (Purges::with_room(room), Naive::default(), KEPT);
        for Told { after, object, group, ago } in purges {
            now += after;
            table.enter(now, object.map(name).as_deref(), Some(u64::from(group)), now - ago);
            table.drop_before(now.saturating_sub(KEPT));
            naive.0.push((object, group, now - ago, now));
            prop_assert!(table.latest.len() <= room && table.queue.len() == table.latest.len());
            for (object, group) in [(0, None), (1, Some(0)), (7, Some(3)), (23, Some(1))] {
                let found = table.latest(object_hash(&name(object)), group.map(u64::from));
                prop_assert!(found >= naive.latest(object, group, now - KEPT));
                // 24 objects and 4 groups are all that there is.
                if room >= 28 {
                    prop_assert!(found <= naive.latest(object, group, 0));
                }
            }
        }
    }

    /// A floor that was told with other slices than the table's covers all that it stands for.
    #[test]
    fn floors_of_any_grain_cover_their_slices(hash: u64, of in 1..10_000_u32) {
        let mut table = Purges::default();
        table.enter_slice(slice_of(hash, of), of, SECOND);
        prop_assert_eq!(table.of_hash(hash), Some(SECOND));
    }
}

#[test]
fn what_is_entered_again_stays_and_what_is_not_is_dropped_and_told() {
    let mut table = Purges::default();
    table.enter(SECOND, Some("a"), None, SECOND);
    table.enter(2 * SECOND, Some("b"), None, 2 * SECOND);
    table.enter(3 * SECOND, Some("a"), None, 3 * SECOND);
    table.drop_before(3 * SECOND);
    assert_eq!(table.latest(object_hash("a"), None), Some(3 * SECOND));
    assert_eq!((table.latest(object_hash("b"), None), table.dropped()), (None, Some(2 * SECOND)));
}

#[test]
fn a_slice_that_is_not_there_is_no_purge() {
    let mut table = Purges::default();
    table.enter_slice(3, 3, SECOND);
    table.enter_slice(0, 0, SECOND);
    assert!(table.floors.is_empty());
}

/// A burst must not cost more for each purge the more there are.
#[test]
fn a_purge_moves_at_most_a_few_entries_however_many_there_are() {
    let mut table = Purges::default();
    for number in 0..100_000_u64 {
        table.enter(number, None, Some(number), number);
        table.drop_before(number.saturating_sub(5_000));
        assert!(table.queue.len() <= 5_001);
    }
}
