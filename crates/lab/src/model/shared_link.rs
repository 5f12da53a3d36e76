//! A link whose rate divides evenly among the transfers on it.
//!
//! It is computed in virtual time: a transfer ends when the share that each transfer has had since its begin has grown to
//! its size. So a change costs one step, however many transfers there are.

use super::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// Parts of a byte, so that shares are whole numbers and add up.
const PARTS_PER_BYTE: u128 = 1 << 20;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// A link whose rate divides evenly among its transfers.
#[derive(Clone, Debug)]
pub struct SharedLink {
    /// Of all transfers together.
    bytes_per_second: u64,
    last: Micros,
    /// What a transfer has had that began with the link, in parts of a byte.
    share: u128,
    /// The share at which each transfer ends, and its id.
    ends: BinaryHeap<Reverse<(u128, u64)>>,
    /// Transfers that are cancelled and still in the heap.
    cancelled: BTreeSet<u64>,
    sent: u64,
}

impl SharedLink {
    /// A link without transfers.
    pub fn new(bytes_per_second: u64) -> SharedLink {
        SharedLink {
            bytes_per_second: bytes_per_second.max(1),
            last: 0,
            share: 0,
            ends: BinaryHeap::new(),
            cancelled: BTreeSet::new(),
            sent: 0,
        }
    }

    /// Transfers that are under way.
    pub fn transfers(&self) -> usize {
        self.ends.len() - self.cancelled.len()
    }

    /// Bytes of all transfers that have ended.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    fn drop_cancelled(&mut self) {
        while let Some(Reverse((_, id))) = self.ends.peek()
            && self.cancelled.remove(id)
        {
            self.ends.pop();
        }
    }

    /// Brings the shares up to a time; callers end the transfers that are due before it first.
    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        let sent =
            u128::from(passed) * u128::from(self.bytes_per_second) * PARTS_PER_BYTE / MICROS_PER_SECOND;
        self.share += sent.checked_div(self.transfers() as u128).unwrap_or(0);
    }

    /// Begins a transfer.
    pub fn begin(&mut self, now: Micros, id: u64, bytes: u64) {
        self.advance(now);
        self.sent += bytes;
        self.ends.push(Reverse((self.share + u128::from(bytes) * PARTS_PER_BYTE, id)));
    }

    /// When the next transfer ends, if no other begins before.
    pub fn due(&mut self) -> Option<Micros> {
        self.drop_cancelled();
        let Reverse((end, _)) = self.ends.peek()?;
        let left = end.saturating_sub(self.share) * self.transfers() as u128;
        let duration =
            (left * MICROS_PER_SECOND).div_ceil(u128::from(self.bytes_per_second) * PARTS_PER_BYTE);
        Some(self.last + duration as Micros)
    }

    /// A transfer that has ended by now; callers repeat this until there is none.
    pub fn ended(&mut self, now: Micros) -> Option<u64> {
        let due = self.due()?;
        if due > now {
            return None;
        }
        self.advance(due);
        let Reverse((end, id)) = self.ends.pop()?;
        // Rounding must not let the others have more than their share.
        self.share = self.share.max(end);
        Some(id)
    }

    /// Cancels a transfer.
    pub fn cancel(&mut self, now: Micros, id: u64) {
        self.advance(now);
        self.cancelled.insert(id);
    }

    /// Cancels all transfers.
    pub fn clear(&mut self) {
        self.ends.clear();
        self.cancelled.clear();
    }
}

#[cfg(test)]
mod tests;
