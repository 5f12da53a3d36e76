//! What the shim has counted.

use sagearch_fault_control::{Call, ControlPage};
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

/// What has happened up to one moment, in all processes of an injector, also those that have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    calls: [u64; Call::COUNT],
    fired: [u64; Call::COUNT],
    short_transfers: u64,
    torn_writes: u64,
    wall_clock_readings: u64,
    stepped_readings: u64,
    processes: u64,
}

impl Counters {
    pub(crate) fn read(page: &ControlPage) -> Counters {
        let read = |counters: &[AtomicU64; Call::COUNT]| counters.each_ref().map(|one| one.load(Relaxed));
        let counters = &page.counters;
        Counters {
            calls: read(&counters.calls),
            fired: read(&counters.fired),
            short_transfers: counters.short_transfers.load(Relaxed),
            torn_writes: counters.torn_writes.load(Relaxed),
            wall_clock_readings: counters.wall_clock_readings.load(Relaxed),
            stepped_readings: counters.stepped_readings.load(Relaxed),
            processes: counters.processes.load(Relaxed),
        }
    }

    /// Calls that a plan can make fail: on IP sockets, and on files under the plan's path.
    pub fn calls(&self, call: Call) -> u64 {
        self.calls[call.index()]
    }

    /// Those of them that a fault struck: an error, a short transfer or a torn write.
    pub fn fired(&self, call: Call) -> u64 {
        self.fired[call.index()]
    }

    /// The faults of all calls together.
    pub fn all_fired(&self) -> u64 {
        self.fired.iter().sum()
    }

    /// Transfers on sockets that moved less than asked because of a fault.
    pub fn short_transfers(&self) -> u64 {
        self.short_transfers
    }

    /// File writes that stopped half-way, by an error or the process's death.
    pub fn torn_writes(&self) -> u64 {
        self.torn_writes
    }

    /// Readings of the wall clock.
    pub fn wall_clock_readings(&self) -> u64 {
        self.wall_clock_readings
    }

    /// Those of them that were off by a step.
    pub fn stepped_readings(&self) -> u64 {
        self.stepped_readings
    }

    /// Processes that started under the shim.
    pub fn processes(&self) -> u64 {
        self.processes
    }
}
