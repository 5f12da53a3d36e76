//! Placement of slices on members and regions by rendezvous hashing. All gateways that know the same members compute the
//! same placement, and a member that joins or leaves moves only its own slices.

use crate::{Member, Region, Slice};
use std::cmp::Reverse;

const MEMBER_SALT: u64 = 0x6d65;
const REGION_SALT: u64 = 0x7265;
/// The state increment of the `SplitMix64` generator.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes the bits of a number: the output function of the `SplitMix64` generator.
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

fn score(slice: Slice, salt: u64, number: u64) -> u64 {
    mix(mix(u64::from(slice.0) ^ salt) ^ mix(number.wrapping_add(GOLDEN_GAMMA)))
}

fn member_score(slice: Slice, member: Member) -> (u64, Member) {
    (score(slice, MEMBER_SALT, u64::from(member.0)), member)
}

fn region_score(slice: Slice, region: Region) -> (u64, Reverse<Region>) {
    (score(slice, REGION_SALT, u64::from(region.0)), Reverse(region))
}

/// The member that should hold the lease on a slice; `None` if there are no members.
pub fn preferred_member(slice: Slice, members: impl IntoIterator<Item = Member>) -> Option<Member> {
    members.into_iter().max_by_key(|member| member_score(slice, *member))
}

/// The regions in order of preference for a slice: an earlier one may claim it sooner, and wins a tie.
pub fn region_order(slice: Slice, regions: &[Region]) -> Vec<Region> {
    let mut order = regions.to_vec();
    order.sort_by_key(|region| Reverse(region_score(slice, *region)));
    order
}

/// A region's position in [`region_order`], from 0 for the preferred region.
pub fn rank(slice: Slice, region: Region, regions: &[Region]) -> u8 {
    let own = region_score(slice, region);
    regions.iter().filter(|other| region_score(slice, **other) > own).count() as u8
}

#[cfg(test)]
mod tests;
