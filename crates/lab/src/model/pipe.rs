//! A link whose rate divides evenly among the transfers on it.
//!
//! Kept in virtual time: a transfer ends when the share that each has had since its begin has grown to its size.
//! So a change costs one step whatever the number of transfers.

use super::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// Parts of a byte, so that shares are whole numbers and add up.
const FINE: u128 = 1 << 20;

#[derive(Clone, Debug)]
pub struct Pipe {
    /// Bytes a second of all transfers together.
    rate: u64,
    last: Micros,
    /// What each transfer has had that has been there from the begin, in parts of a byte.
    share: u128,
    /// Where each transfer ends, in shares, and which.
    ends: BinaryHeap<Reverse<(u128, u64)>>,
    /// Those that have been given up and are still in the heap.
    gone: BTreeSet<u64>,
    sent: u64,
}

impl Pipe {
    pub fn new(bytes_a_second: u64) -> Pipe {
        Pipe {
            rate: bytes_a_second.max(1),
            last: 0,
            share: 0,
            ends: BinaryHeap::new(),
            gone: BTreeSet::new(),
            sent: 0,
        }
    }

    pub fn transfers(&self) -> usize {
        self.ends.len() - self.gone.len()
    }

    /// Bytes of all transfers that have ended.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    fn drop_gone(&mut self) {
        while let Some(Reverse((_, id))) = self.ends.peek()
            && self.gone.remove(id)
        {
            self.ends.pop();
        }
    }

    /// Brings the shares up to a moment; callers end what is due before they go past it.
    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        let sent = u128::from(passed) * u128::from(self.rate) * FINE / 1_000_000;
        self.share += sent.checked_div(self.transfers() as u128).unwrap_or(0);
    }

    pub fn begin(&mut self, now: Micros, id: u64, bytes: u64) {
        self.advance(now);
        self.sent += bytes;
        self.ends.push(Reverse((self.share + u128::from(bytes) * FINE, id)));
    }

    /// When the next transfer ends, as things stand.
    pub fn due(&mut self) -> Option<Micros> {
        self.drop_gone();
        let Reverse((end, _)) = self.ends.peek()?;
        let left = end.saturating_sub(self.share) * self.transfers() as u128;
        let takes = (left * 1_000_000).div_ceil(u128::from(self.rate) * FINE);
        Some(self.last + takes as Micros)
    }

    /// A transfer that has ended by now. Asked until there is none.
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

    pub fn give_up(&mut self, now: Micros, id: u64) {
        self.advance(now);
        self.gone.insert(id);
    }

    pub fn clear(&mut self) {
        self.ends.clear();
        self.gone.clear();
    }
}

#[cfg(test)]
mod tests;
