//! The order in which a subscriber polls relays.

use crate::slice;
use std::cmp::Reverse;

/// Returns the first `preferred` relays in their order, then the others by rendezvous hashing. Each subscriber has its
/// own order, so that the subscribers of a failed relay spread evenly over the others, and no other subscriber moves.
pub fn relay_order(subscriber: &str, relays: &[String], preferred: usize) -> Vec<usize> {
    let preferred = preferred.min(relays.len());
    let mut hashed: Vec<usize> = (preferred..relays.len()).collect();
    hashed.sort_by_key(|relay| (Reverse(weight(subscriber, &relays[*relay])), *relay));
    (0..preferred).chain(hashed).collect()
}

fn weight(subscriber: &str, relay: &str) -> u64 {
    // Names contain no line break, so that different pairs have different keys.
    slice::url_hash(&format!("{subscriber}\n{relay}"))
}
