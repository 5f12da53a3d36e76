//! What befalls one call, drawn by its number.

use crate::control;
use libc::c_int;
use sagearch_fault_control::{Call, ControlPage, Plan, Probability, increment};
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

/// A short transfer moves at most so many bytes, so that large buffers are cut, too.
const LONGEST_SHORT_TRANSFER: usize = 256;

/// What random bits are for: each purpose has its own.
#[derive(Clone, Copy)]
enum Purpose {
    Errno,
    WhichErrno,
    Short,
    ShortLength,
    Torn,
    Kill,
    PartLength,
}

/// One call that can fail.
pub struct Draw {
    page: &'static ControlPage,
    call: Call,
    number: u64,
}

impl Draw {
    /// Counts a call. `None`: the control page is not mapped.
    pub fn begin(call: Call) -> Option<Draw> {
        let page = control::page()?;
        let number = increment(&page.counters.calls[call.index()]);
        Some(Draw { page, call, number })
    }

    fn random(&self, purpose: Purpose) -> u64 {
        self.page.random(self.call, self.number, purpose as u64)
    }

    fn happens(&self, purpose: Purpose, probability: impl Fn(&Plan) -> &AtomicU64) -> bool {
        let probability = self.page.read_plan(|plan| Probability(probability(plan).load(Relaxed)));
        probability.is_some_and(|probability| probability.happens(self.random(purpose)))
    }

    /// Counts that a fault struck this call.
    pub fn count_fired(&self) {
        increment(&self.page.counters.fired[self.call.index()]);
    }

    /// The error that the call ends with.
    pub fn errno(&self) -> Option<c_int> {
        let which = self.random(Purpose::WhichErrno);
        let (probability, errno) = self.page.read_plan(|plan| {
            let faults = &plan.calls[self.call.index()];
            let count = faults.errno_count.load(Relaxed).min(faults.errnos.len() as u64);
            let errno = (count > 0).then(|| faults.errnos[(which % count) as usize].load(Relaxed));
            (Probability(faults.probability.load(Relaxed)), errno)
        })?;
        let errno = errno.filter(|_| probability.happens(self.random(Purpose::Errno)))?;
        self.count_fired();
        Some(errno)
    }

    /// To how many bytes a transfer is cut; never none, and fewer than `most`.
    pub fn short_transfer(&self, most: usize) -> Option<usize> {
        if most < 2 || !self.happens(Purpose::Short, |plan| &plan.short_transfers) {
            return None;
        }
        let longest = (most - 1).min(LONGEST_SHORT_TRANSFER) as u64;
        Some(1 + (self.random(Purpose::ShortLength) % longest) as usize)
    }

    /// Counts that a transfer moved less than asked because of this.
    pub fn count_short_transfer(&self) {
        increment(&self.page.counters.short_transfers);
        self.count_fired();
    }

    /// Whether a file write stops half-way.
    pub fn is_torn(&self) -> bool {
        self.happens(Purpose::Torn, |plan| &plan.torn_writes)
    }

    /// Whether the process dies half-way through a file write.
    pub fn is_killed(&self) -> bool {
        self.happens(Purpose::Kill, |plan| &plan.kill_in_write)
    }

    /// How much of a file write of this length is done before it stops: none of a single byte.
    pub fn part_of(&self, length: usize) -> usize {
        match length {
            0 | 1 => 0,
            _ => 1 + (self.random(Purpose::PartLength) % (length as u64 - 1)) as usize,
        }
    }

    /// Counts that a file write stopped half-way.
    pub fn count_torn(&self) {
        increment(&self.page.counters.torn_writes);
        self.count_fired();
    }
}
