//! Where a slice belongs by rendezvous hashing: the same everywhere for the same members, and one that comes or goes
//! moves its own part alone.

use crate::{Member, Region, Slice};

/// The finisher of SplitMix64.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn score(slice: Slice, salt: u64, number: u64) -> u64 {
    mix(mix(u64::from(slice.0) ^ salt) ^ mix(number.wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

/// The member that a slice belongs to.
pub fn member(slice: Slice, members: impl IntoIterator<Item = Member>) -> Option<Member> {
    members.into_iter().max_by_key(|member| (score(slice, 0x6d65, u64::from(member.0)), *member))
}

/// Regions in the order in which a slice is theirs to claim.
pub fn regions(slice: Slice, regions: &[Region]) -> Vec<Region> {
    let mut order = regions.to_vec();
    order.sort_by_key(|region| (std::cmp::Reverse(score(slice, 0x7265, u64::from(region.0))), *region));
    order
}

/// A region's place in that order; 0 is first.
pub fn rank(slice: Slice, region: Region, all: &[Region]) -> u8 {
    let own = (score(slice, 0x7265, u64::from(region.0)), std::cmp::Reverse(region));
    let before =
        |other: &&Region| (score(slice, 0x7265, u64::from(other.0)), std::cmp::Reverse(**other)) > own;
    all.iter().filter(before).count() as u8
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(range: std::ops::Range<u16>) -> impl Iterator<Item = Member> + Clone {
        range.map(Member)
    }

    #[test]
    fn who_leaves_moves_its_own_part_alone() {
        for slice in (0..256).map(Slice) {
            let before = member(slice, members(0..12)).unwrap();
            let after = member(slice, members(0..12).filter(|one| *one != Member(7))).unwrap();
            assert!(before == after || before == Member(7), "{slice:?}");
        }
    }

    #[test]
    fn parts_are_even() {
        let mut parts = [0_u32; 12];
        (0..4_096).for_each(|slice| parts[usize::from(member(Slice(slice), members(0..12)).unwrap().0)] += 1);
        assert!(parts.iter().all(|part| (250..430).contains(part)), "{parts:?}");
    }

    #[test]
    fn a_rank_is_the_place_in_the_order() {
        let all: Vec<Region> = (0..5).map(Region).collect();
        for slice in (0..64).map(Slice) {
            for (at, region) in regions(slice, &all).into_iter().enumerate() {
                assert_eq!(usize::from(rank(slice, region, &all)), at);
            }
        }
    }
}
