//! The resource usage of the relay's process, from `/proc/self`.

use procfs::process::Process;
use serde::Serialize;

/// Processor time, memory and file descriptors of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// Processor time in user and kernel mode since the start.
    pub processor_seconds: f64,
    /// The size of resident memory.
    pub resident_bytes: u64,
    /// The number of open file descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the usage now; all values are zero if `/proc` can't be read.
    pub fn read() -> ProcessUsage {
        ProcessUsage::try_read().unwrap_or_default()
    }

    fn try_read() -> procfs::ProcResult<ProcessUsage> {
        let process = Process::myself()?;
        let stat = process.stat()?;
        let resident_pages = process.statm()?.resident;
        Ok(ProcessUsage {
            processor_seconds: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
            resident_bytes: resident_pages * procfs::page_size(),
            descriptors: process.fd_count()? as u64,
        })
    }
}
