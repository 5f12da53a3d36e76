//! The slices of the hash space into which old purges are folded: one purge floor for all keys that hash into a slice.
//!
//! The hash is part of the wire format, so that sender and receiver must compute the same one. URLs and tags share one
//! hash space: the floors of its URL's slice and of its tags' slices all apply to an object.

use crate::Micros;
use std::collections::BTreeMap;

/// The number of slices into which a relay divides the hash space.
pub const SLICES: u32 = 4_096;

/// The hash of a URL, spelled as in a purge.
pub fn url_hash(url: &str) -> u64 {
    finalize(fnv1a(b'u', url.as_bytes()))
}

/// The hash of a tag.
pub fn tag_hash(tag: u64) -> u64 {
    finalize(fnv1a(b't', &tag.to_be_bytes()))
}

/// The index of the slice that contains a hash, where the hash space has `slice_count` equal slices.
pub fn slice_of(hash: u64, slice_count: u32) -> u32 {
    let scaled = (u128::from(hash) * u128::from(slice_count)) >> 64;
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

/// The slices, out of `target_count` equal ones, that overlap slice `slice` out of `slice_count`. Empty if `slice` is
/// not below `slice_count`.
pub fn covering(slice: u32, slice_count: u32, target_count: u32) -> std::ops::Range<u32> {
    if slice >= slice_count {
        return 0..0;
    }
    let start = u64::from(slice) * u64::from(target_count) / u64::from(slice_count);
    let end = (u64::from(slice) + 1) * u64::from(target_count);
    let end = end.div_ceil(u64::from(slice_count));
    // Both fit into `u32`, as they are at most `target_count`.
    start as u32..end as u32
}

/// The 64-bit FNV-1a hash of a byte for the kind of key, followed by the key.
fn fnv1a(kind: u8, key: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let add_byte = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    std::iter::once(&kind).chain(key).fold(OFFSET_BASIS, add_byte)
}

/// Applies the finalizer of `MurmurHash3`, so that the upper bits, which select the slice, depend on all bits.
fn finalize(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ hash >> 33
}

/// A purge floor: copies made before `ts` count as purged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Floor {
    /// The time of the floor, in Unix milliseconds.
    pub ts: u64,
    /// When the latest purge folded into the floor became known, on the local monotonic clock.
    pub known_since: Micros,
}

/// Purge floors by slice, at most [`SLICES`]. Relays fold old purges into floors; subscribers store the floors that
/// they receive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floors {
    by_slice: BTreeMap<u32, Floor>,
}

impl Floors {
    /// Raises the floors of all slices that overlap slice `slice` out of `slice_count`. A floor is never lowered.
    pub fn raise(&mut self, slice: u32, slice_count: u32, floor: Floor) {
        for slice in covering(slice, slice_count, SLICES) {
            let known = self.by_slice.entry(slice).or_insert(floor);
            known.ts = known.ts.max(floor.ts);
            known.known_since = known.known_since.max(floor.known_since);
        }
    }

    /// The time before which copies with this hash count as purged, in Unix milliseconds.
    pub fn floor(&self, hash: u64) -> Option<u64> {
        self.by_slice.get(&slice_of(hash, SLICES)).map(|floor| floor.ts)
    }

    /// Removes the floors whose latest purge became known before `known_since`.
    pub fn remove_older_than(&mut self, known_since: Micros) {
        self.by_slice.retain(|_, floor| floor.known_since >= known_since);
    }

    /// Iterates over the slices that have a floor, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (u32, Floor)> + '_ {
        self.by_slice.iter().map(|(slice, floor)| (*slice, *floor))
    }

    /// The number of slices that have a floor.
    pub fn len(&self) -> usize {
        self.by_slice.len()
    }

    /// Whether no slice has a floor.
    pub fn is_empty(&self) -> bool {
        self.by_slice.is_empty()
    }
}
