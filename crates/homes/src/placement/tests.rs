use super::*;

fn members(range: std::ops::Range<u16>) -> impl Iterator<Item = Member> + Clone {
    range.map(Member)
}

#[test]
fn member_that_leaves_moves_only_its_own_slices() {
    for slice in (0..256).map(Slice) {
        let before = preferred_member(slice, members(0..12)).unwrap();
        let after = preferred_member(slice, members(0..12).filter(|member| *member != Member(7))).unwrap();
        assert!(before == after || before == Member(7), "{slice:?}");
    }
}

#[test]
fn slices_are_spread_evenly_over_members() {
    let mut slices_per_member = [0_u32; 12];
    (0..4_096).for_each(|slice| {
        slices_per_member[usize::from(preferred_member(Slice(slice), members(0..12)).unwrap().0)] += 1;
    });
    assert!(slices_per_member.iter().all(|count| (250..430).contains(count)), "{slices_per_member:?}");
}

#[test]
fn rank_is_the_position_in_the_region_order() {
    let all: Vec<Region> = (0..5).map(Region).collect();
    for slice in (0..64).map(Slice) {
        for (position, region) in region_order(slice, &all).into_iter().enumerate() {
            assert_eq!(usize::from(rank(slice, region, &all)), position);
        }
    }
}
