//! Hash functions whose results are the same at all gateways and in all versions.

/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Minimum weight of a member, so that a member without a weight still receives a few keys.
const MIN_WEIGHT: f64 = 0.001;

/// Mixes the bits of a number with the finalizer of SplitMix64.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the hash of a text: FNV-1a over its bytes, finalized with [`mix`].
pub fn of_text(text: &str) -> u64 {
    let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(text.bytes().fold(FNV_OFFSET_BASIS, add_byte))
}

/// Maps a hash to a uniformly distributed number between 0 and 1, both excluded.
pub fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Returns the weighted rendezvous score of a member for a key. A key is assigned to the member with the
/// highest score, so that few keys move when members are added or removed.
pub fn rendezvous(key: u64, member: u32, weight: f64) -> f64 {
    let random = unit_interval(mix(key ^ mix(u64::from(member))));
    -weight.max(MIN_WEIGHT) / random.ln()
}
