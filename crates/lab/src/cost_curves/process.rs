//! What a running process has used, as the kernel counts it.

use super::error::MeasurementError;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Totals since the process's start, over its threads that live.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// From `/proc/PID/stat`: user and system time, in steps of 10 ms.
    pub processor: Duration,
    /// From `/proc/PID/task/*/status`: each is one wait that ended, that is a wake-up.
    pub voluntary_switches: u64,
    /// From `/proc/PID/status`.
    pub resident_bytes: u64,
}

/// Clock ticks of a second in `/proc`: fixed at 100 on Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/PID/stat` behind the name in parentheses: user time is the 14th of all, system time the 15th.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

fn read(path: &Path) -> Result<String, MeasurementError> {
    fs::read_to_string(path).map_err(MeasurementError::in_process(&path.display().to_string()))
}

/// The processor time in `/proc/PID/stat`. `None`: the text has another form.
pub fn processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    let total = ticks(USER_TIME)? + ticks(SYSTEM_TIME)?;
    Some(Duration::from_millis(total * 1_000 / TICKS_PER_SECOND))
}

/// The number behind a name in a `status` file.
pub fn status_number(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    line.split_whitespace().next()?.parse().ok()
}

/// What a process has used so far.
///
/// # Errors
///
/// Where it is gone, or its files have another form.
pub fn usage(process: u32) -> Result<Usage, MeasurementError> {
    let folder = Path::new("/proc").join(process.to_string());
    let unreadable = |what: &str| {
        let subject = format!("{what} of process {process}");
        MeasurementError::in_process(&subject)(io::ErrorKind::InvalidData.into())
    };
    let processor =
        processor_time(&read(&folder.join("stat"))?).ok_or_else(|| unreadable("the processor time"))?;
    let resident = status_number(&read(&folder.join("status"))?, "VmRSS");
    let resident_bytes = resident.ok_or_else(|| unreadable("the resident memory"))? * 1_024;
    let tasks = fs::read_dir(folder.join("task"))
        .map_err(MeasurementError::in_process(&format!("the list of threads of process {process}")))?;
    let mut voluntary_switches = 0;
    for task in tasks.flatten() {
        // A thread may end between the list and this.
        let Ok(status) = fs::read_to_string(task.path().join("status")) else { continue };
        voluntary_switches += status_number(&status, "voluntary_ctxt_switches").unwrap_or(0);
    }
    Ok(Usage { processor, voluntary_switches, resident_bytes })
}
