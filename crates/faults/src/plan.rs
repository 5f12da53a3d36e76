//! Which faults happen, and how often.

use crate::FaultError;
use sagearch_fault_control::{Call, LONGEST_PREFIX, MOST_ERRNOS, Plan, Probability};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering::Relaxed;

/// The errors of one call.
#[derive(Clone, Debug, Default, PartialEq)]
struct CallErrors {
    errnos: Vec<i32>,
    rate: f64,
}

/// The faults of one time; a new plan is without any. Rates lie between 0 (never) and 1 (at each call).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    errors: [CallErrors; Call::COUNT],
    short_transfers: f64,
    torn_writes: f64,
    kill_in_write: f64,
    wall_clock_step: i64,
    prefix: Option<PathBuf>,
}

impl FaultPlan {
    /// One without faults.
    pub fn new() -> FaultPlan {
        FaultPlan::default()
    }

    /// This share of a call fails, each time with one of these errors ([`Call::errnos`] has those that Linux documents).
    #[must_use]
    pub fn errno(mut self, call: Call, errnos: &[i32], rate: f64) -> FaultPlan {
        self.errors[call.index()] = CallErrors { errnos: errnos.to_vec(), rate };
        self
    }

    /// This share of reads and writes on stream sockets moves fewer bytes than asked, and never none.
    #[must_use]
    pub fn short_transfers(mut self, rate: f64) -> FaultPlan {
        self.short_transfers = rate;
        self
    }

    /// This share of file writes writes a part alone; the next write on its descriptor fails with ENOSPC.
    #[must_use]
    pub fn torn_writes(mut self, rate: f64) -> FaultPlan {
        self.torn_writes = rate;
        self
    }

    /// This share of file writes writes a part, and then the process dies as by SIGKILL.
    #[must_use]
    pub fn kill_in_write(mut self, rate: f64) -> FaultPlan {
        self.kill_in_write = rate;
        self
    }

    /// The wall clock is off by so many microseconds, the monotonic clock is not. Times that the kernel notes itself,
    /// such as a file's modification time, are not stepped.
    #[must_use]
    pub fn wall_clock_step(mut self, micros: i64) -> FaultPlan {
        self.wall_clock_step = micros;
        self
    }

    /// Faults of files strike only what lies under this path; without it, all files but those under /proc, /sys, /dev.
    #[must_use]
    pub fn under(mut self, path: impl AsRef<Path>) -> FaultPlan {
        let path = path.as_ref();
        // Links of open descriptors have no symbolic links in them.
        self.prefix = Some(path.canonicalize().unwrap_or_else(|_| path.components().collect()));
        self
    }

    /// Whether it can be put in service.
    pub(crate) fn check(&self) -> Result<(), FaultError> {
        let of_errors = self.errors.iter().map(|errors| errors.rate);
        let rates = of_errors.chain([self.short_transfers, self.torn_writes, self.kill_in_write]);
        if let Some(rate) = rates.into_iter().find(|rate| !(0.0..=1.0).contains(rate)) {
            return Err(FaultError::Rate { rate });
        }
        for (call, errors) in Call::ALL.into_iter().zip(&self.errors) {
            check_errors(call, errors)?;
        }
        match &self.prefix {
            Some(path) if path.as_os_str().len() > LONGEST_PREFIX => {
                Err(FaultError::PrefixTooLong { path: path.clone() })
            }
            _ => Ok(()),
        }
    }

    /// Writes it to a control page.
    pub(crate) fn store(&self, plan: &Plan) {
        let probability = |rate| Probability::from_rate(rate).0;
        for (errors, place) in self.errors.iter().zip(&plan.calls) {
            place.probability.store(probability(errors.rate), Relaxed);
            place.errno_count.store(errors.errnos.len() as u64, Relaxed);
            errors.errnos.iter().zip(&place.errnos).for_each(|(errno, place)| place.store(*errno, Relaxed));
        }
        plan.short_transfers.store(probability(self.short_transfers), Relaxed);
        plan.torn_writes.store(probability(self.torn_writes), Relaxed);
        plan.kill_in_write.store(probability(self.kill_in_write), Relaxed);
        plan.wall_clock_step.store(self.wall_clock_step, Relaxed);
        let prefix = self.prefix.as_deref().map_or(&[][..], |path| path.as_os_str().as_bytes());
        plan.prefix_length.store(prefix.len() as u64, Relaxed);
        prefix.iter().zip(&plan.prefix).for_each(|(byte, place)| place.store(*byte, Relaxed));
    }
}

fn check_errors(call: Call, errors: &CallErrors) -> Result<(), FaultError> {
    let count = errors.errnos.len();
    if errors.rate > 0.0 && (count == 0 || count > MOST_ERRNOS) {
        return Err(FaultError::ErrnoCount { call, count });
    }
    let is_legal = |errno: i32| match errno {
        libc::EAGAIN => false,
        libc::EINTR => call.is_interruptible(),
        _ => call != Call::EpollWait,
    };
    match errors.errnos.iter().find(|errno| !is_legal(**errno)) {
        Some(errno) => Err(FaultError::Errno { call, errno: *errno }),
        None => Ok(()),
    }
}
