//! The control page and the sequence lock on its plan.

use crate::Call;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU8, AtomicU64, Ordering, fence};

/// The most errors that one call draws from.
pub const MOST_ERRNOS: usize = 16;
/// The longest path prefix, in bytes.
pub const LONGEST_PREFIX: usize = 1_024;
/// Marks a file as a control page of this layout.
const MAGIC: u64 = 0x7361_6765_6661_0001;
/// So often is a plan that is being replaced read again before the call passes without a fault.
const READ_ATTEMPTS: usize = 1_000;

/// A probability in units of 2^-32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Probability(pub u64);

impl Probability {
    const ONE: f64 = 4_294_967_296.0;

    /// From a share between 0 and 1; anything else is cut to that range.
    pub fn from_rate(rate: f64) -> Probability {
        Probability((rate.clamp(0.0, 1.0) * Probability::ONE) as u64)
    }

    /// Whether a fault of this probability happens, by 64 random bits.
    pub fn happens(self, random: u64) -> bool {
        (random >> 32) < self.0
    }
}

/// The faults of one call.
#[repr(C)]
pub struct CallFaults {
    /// How many calls fail, as a [`Probability`].
    pub probability: AtomicU64,
    /// How many entries of `errnos` are in use.
    pub errno_count: AtomicU64,
    /// The errors to draw from, all as likely.
    pub errnos: [AtomicI32; MOST_ERRNOS],
}

/// The faults in service.
#[repr(C)]
pub struct Plan {
    /// By [`Call::index`].
    pub calls: [CallFaults; Call::COUNT],
    /// The probability that a transfer on a stream socket moves less than asked.
    pub short_transfers: AtomicU64,
    /// The probability that a file write stops half-way, and the next one on its descriptor fails.
    pub torn_writes: AtomicU64,
    /// The probability that the process dies by SIGKILL half-way through a file write.
    pub kill_in_write: AtomicU64,
    /// By how much the wall clock is off, in microseconds.
    pub wall_clock_step: AtomicI64,
    /// How many bytes of `prefix` are in use.
    pub prefix_length: AtomicU64,
    /// File calls outside this path pass.
    pub prefix: [AtomicU8; LONGEST_PREFIX],
}

/// What has happened so far, in all processes that share the page.
#[repr(C)]
pub struct Counters {
    /// Calls that a plan can make fail, by [`Call::index`].
    pub calls: [AtomicU64; Call::COUNT],
    /// Those of them that a fault struck.
    pub fired: [AtomicU64; Call::COUNT],
    /// Transfers that moved less than asked because of a fault.
    pub short_transfers: AtomicU64,
    /// File writes that stopped half-way.
    pub torn_writes: AtomicU64,
    /// Readings of the wall clock.
    pub wall_clock_readings: AtomicU64,
    /// Those of them that were off by a step.
    pub stepped_readings: AtomicU64,
    /// Processes that have mapped the page.
    pub processes: AtomicU64,
}

/// All that is shared.
#[repr(C)]
pub struct ControlPage {
    magic: AtomicU64,
    seed: AtomicU64,
    /// Odd while the plan is being replaced.
    sequence: AtomicU64,
    plan: Plan,
    /// What has happened so far.
    pub counters: Counters,
}

/// Adds one to a counter and returns its value before.
pub fn increment(counter: &AtomicU64) -> u64 {
    counter.fetch_add(1, Ordering::Relaxed)
}

impl ControlPage {
    /// Makes a page of zeros valid.
    pub fn initialize(&self, seed: u64) {
        self.seed.store(seed, Ordering::Relaxed);
        self.magic.store(MAGIC, Ordering::Release);
    }

    /// Whether it has been initialized, by a program of the same layout.
    pub fn is_valid(&self) -> bool {
        self.magic.load(Ordering::Acquire) == MAGIC
    }

    /// 64 random bits, the same for the same seed, call, number of the call and purpose.
    pub fn random(&self, call: Call, number: u64, purpose: u64) -> u64 {
        let stream = (call.index() as u64) << 8 | purpose;
        let seed = mix(self.seed.load(Ordering::Relaxed) ^ mix(stream));
        mix(seed.wrapping_add(number))
    }

    /// Reads from the plan in service as a whole. `None`: it is being replaced all the while.
    pub fn read_plan<T>(&self, read: impl Fn(&Plan) -> T) -> Option<T> {
        for _ in 0..READ_ATTEMPTS {
            let before = self.sequence.load(Ordering::Acquire);
            if before.is_multiple_of(2) {
                let value = read(&self.plan);
                fence(Ordering::Acquire);
                if self.sequence.load(Ordering::Relaxed) == before {
                    return Some(value);
                }
            }
            std::hint::spin_loop();
        }
        None
    }

    /// Replaces the plan. Only one thread of one process may do so at a time.
    pub fn write_plan(&self, write: impl FnOnce(&Plan)) {
        let before = self.sequence.load(Ordering::Relaxed);
        self.sequence.store(before + 1, Ordering::Relaxed);
        fence(Ordering::Release);
        write(&self.plan);
        self.sequence.store(before + 2, Ordering::Release);
    }
}

/// The finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
