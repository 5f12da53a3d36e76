//! Faults of a gateway's system calls and wall clock: the plan of all that are in force, and what the shim counted.

use nix::libc;
use sagearch_faults::{Call, Counters, FaultPlan};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Calls whose documented errors a gateway survives without losing a request.
const RETRIED_CALLS: [Call; 5] =
    [Call::Accept, Call::Socket, Call::Connect, Call::EpollWait, Call::SetSocketOption];
/// Calls on connections that are open: any other error of theirs is the connection's end.
const TRANSFERS: [Call; 2] = [Call::Read, Call::Write];
/// Calls on files that a full or broken disk makes fail.
const DISK: [Call; 4] = [Call::Open, Call::FileWrite, Call::Sync, Call::Rename];
const DISK_ERRNOS: [i32; 2] = [libc::ENOSPC, libc::EIO];

/// One fault under the shim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SystemFault {
    /// The wall clock is off, in microseconds.
    ClockStep(i64),
    /// This share of calls on sockets fails or moves less than asked.
    CallErrors(f64),
    /// This share of calls on stored files fails, or writes a part alone.
    DiskErrors(f64),
}

/// The faults in force on one gateway, by their number in the schedule.
#[derive(Clone, Debug, Default)]
pub struct ActiveSystemFaults {
    active: BTreeMap<usize, SystemFault>,
}

impl ActiveSystemFaults {
    /// One begins.
    pub fn begin(&mut self, number: usize, fault: SystemFault) {
        self.active.insert(number, fault);
    }

    /// One ends.
    pub fn end(&mut self, number: usize) {
        self.active.remove(&number);
    }

    /// All of them together: steps of the clock add up, of rates the highest counts. `data` is the gateway's folder.
    pub fn plan(&self, data: &Path) -> FaultPlan {
        let (mut step, mut calls, mut disk) = (0, 0.0_f64, 0.0_f64);
        for fault in self.active.values() {
            match fault {
                SystemFault::ClockStep(micros) => step += micros,
                SystemFault::CallErrors(rate) => calls = calls.max(*rate),
                SystemFault::DiskErrors(rate) => disk = disk.max(*rate),
            }
        }
        let plan = FaultPlan::new().wall_clock_step(step).under(data);
        with_disk_errors(with_call_errors(plan, calls), disk)
    }
}

fn with_call_errors(plan: FaultPlan, rate: f64) -> FaultPlan {
    let plan = RETRIED_CALLS.into_iter().fold(plan, |plan, call| plan.errno(call, call.errnos(), rate));
    let plan = TRANSFERS.into_iter().fold(plan, |plan, call| plan.errno(call, &[libc::EINTR], rate));
    plan.short_transfers(rate)
}

fn with_disk_errors(plan: FaultPlan, rate: f64) -> FaultPlan {
    let plan = DISK.into_iter().fold(plan, |plan, call| plan.errno(call, &DISK_ERRNOS, rate));
    plan.torn_writes(rate)
}

/// What the shim counted in all gateways of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct InjectedFaults {
    /// Calls that could have been made to fail.
    pub calls: BTreeMap<String, u64>,
    /// Those that were.
    pub fired: BTreeMap<String, u64>,
    /// Transfers of less than was asked.
    pub short_transfers: u64,
    /// Writes to files of a part alone.
    pub torn_writes: u64,
    /// Readings of the wall clock.
    pub wall_clock_readings: u64,
    /// Readings while the wall clock was off.
    pub stepped_readings: u64,
}

impl InjectedFaults {
    /// Adds those of one gateway.
    pub fn add(&mut self, counters: &Counters) {
        for call in Call::ALL {
            *self.calls.entry(format!("{call:?}")).or_default() += counters.calls(call);
            *self.fired.entry(format!("{call:?}")).or_default() += counters.fired(call);
        }
        self.short_transfers += counters.short_transfers();
        self.torn_writes += counters.torn_writes();
        self.wall_clock_readings += counters.wall_clock_readings();
        self.stepped_readings += counters.stepped_readings();
    }

    fn fired_on(&self, is_counted: impl Fn(Call) -> bool) -> u64 {
        let counted = Call::ALL.into_iter().filter(|call| is_counted(*call));
        counted.filter_map(|call| self.fired.get(&format!("{call:?}"))).sum()
    }

    /// Whether a fault of this kind struck at all.
    pub fn has_struck(&self, fault: SystemFault) -> bool {
        let struck = match fault {
            SystemFault::ClockStep(_) => self.stepped_readings,
            SystemFault::CallErrors(_) => self.fired_on(|call| !call.is_on_file()),
            SystemFault::DiskErrors(_) => self.fired_on(Call::is_on_file),
        };
        struck > 0
    }
}

#[cfg(test)]
mod tests;
