//! What a process has used of the machine so far.

use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeValLike;
use serde::{Deserialize, Serialize};
use std::io;

/// Clock ticks a second in `/proc`: the same on all Linux machines of today.
const TICKS_PER_SECOND: u64 = 100;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Fields of `/proc/PID/stat` behind the command's name: user and system time.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Sums since a process began, and its memory now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Unix time of this reading.
    pub at_us: u64,
    /// Processor time of all threads, in microseconds.
    pub processor_us: u64,
    /// Resident memory.
    pub resident_kb: u64,
    /// Voluntary context switches: how often it went to sleep, and so was woken.
    pub wake_ups: u64,
}

fn resident_kb(status: &str) -> u64 {
    number_after(status, "VmRSS:").unwrap_or(0)
}

fn number_after(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    line.split_whitespace().next()?.parse().ok()
}

impl Usage {
    /// Of this process.
    pub fn own() -> Usage {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else { return Usage::default() };
        let micros = usage.user_time().num_microseconds() + usage.system_time().num_microseconds();
        Usage {
            at_us: sagearch_clock::unix_micros(),
            processor_us: micros as u64,
            resident_kb: resident_kb(&status),
            wake_ups: usage.voluntary_context_switches() as u64,
        }
    }

    /// Of another process, to a hundredth of a second.
    ///
    /// # Errors
    ///
    /// Where the process is gone.
    pub fn of_process(pid: u32) -> io::Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let field = |index: usize| after_name.split(' ').nth(index).and_then(|text| text.parse::<u64>().ok());
        let ticks = field(USER_TIME).unwrap_or(0) + field(SYSTEM_TIME).unwrap_or(0);
        Ok(Usage {
            at_us: sagearch_clock::unix_micros(),
            processor_us: ticks * MICROS_PER_SECOND / TICKS_PER_SECOND,
            resident_kb: resident_kb(&status),
            wake_ups: wake_ups_of_threads(pid)?,
        })
    }
}

fn wake_ups_of_threads(pid: u32) -> io::Result<u64> {
    let mut sum = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        // One that has ended meanwhile counts for nothing.
        let status = std::fs::read_to_string(thread?.path().join("status")).unwrap_or_default();
        sum += number_after(&status, "voluntary_ctxt_switches:").unwrap_or(0);
    }
    Ok(sum)
}

/// Processor time of the whole machine since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineTime {
    busy_ticks: u64,
    all_ticks: u64,
}

/// Columns of `/proc/stat` that are idle time: idle, and waiting for disks.
const IDLE_COLUMNS: std::ops::Range<usize> = 3..5;
/// Columns of `/proc/stat` that add up to all time.
const ALL_COLUMNS: usize = 8;

impl MachineTime {
    /// Up to now.
    pub fn now() -> MachineTime {
        let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = stat.lines().next().unwrap_or_default();
        let columns = line.split_whitespace().skip(1).filter_map(|column| column.parse().ok());
        let ticks: Vec<u64> = columns.take(ALL_COLUMNS).collect();
        let all_ticks: u64 = ticks.iter().sum();
        let idle_ticks: u64 = ticks.iter().skip(IDLE_COLUMNS.start).take(IDLE_COLUMNS.len()).sum();
        MachineTime { busy_ticks: all_ticks - idle_ticks, all_ticks }
    }

    /// The share of the machine that was busy since an earlier reading.
    pub fn busy_share_since(&self, earlier: &MachineTime) -> f64 {
        let busy = self.busy_ticks.saturating_sub(earlier.busy_ticks);
        let all = self.all_ticks.saturating_sub(earlier.all_ticks);
        busy as f64 / all.max(1) as f64
    }
}
