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
mod tests {
    use super::*;

    fn run(pipe: &mut Pipe, to: Micros) -> Vec<(u64, Micros)> {
        let mut ended = Vec::new();
        while let Some(due) = pipe.due().filter(|due| *due <= to) {
            ended.extend(pipe.ended(due).map(|id| (id, due)));
        }
        ended
    }

    #[test]
    fn transfers_share_the_rate_evenly() {
        let mut pipe = Pipe::new(1_000_000);
        pipe.begin(0, 1, 100_000);
        pipe.begin(0, 2, 300_000);
        // Both have half until the first ends; then the second has all.
        assert_eq!(run(&mut pipe, 10_000_000), [(1, 200_000), (2, 400_000)]);
    }

    #[test]
    fn one_that_comes_later_slows_the_others_from_then_on() {
        let mut pipe = Pipe::new(1_000_000);
        pipe.begin(0, 1, 100_000);
        pipe.begin(50_000, 2, 25_000);
        assert_eq!(run(&mut pipe, 10_000_000), [(2, 100_000), (1, 125_000)]);
    }

    #[test]
    fn one_that_is_given_up_leaves_its_share_to_the_others() {
        let mut pipe = Pipe::new(1_000_000);
        pipe.begin(0, 1, 100_000);
        pipe.begin(0, 2, 100_000);
        pipe.give_up(100_000, 1);
        assert_eq!(run(&mut pipe, 10_000_000), [(2, 150_000)]);
        assert_eq!(pipe.transfers(), 0);
    }

    #[test]
    fn a_full_link_passes_its_rate_and_no_more() {
        let mut pipe = Pipe::new(500_000);
        (0..200).for_each(|id| pipe.begin(id * 100, id, 10_000 + id * 37));
        let last = run(&mut pipe, Micros::MAX).last().unwrap().1;
        let should = pipe.sent() as f64 / 500_000.0 * 1e6;
        assert!((last as f64 / should - 1.0).abs() < 0.000_1, "{last} {should}");
    }
}
