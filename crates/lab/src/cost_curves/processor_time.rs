//! Processor time of the calling thread.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Processor time that this thread has used since its start (`CLOCK_THREAD_CPUTIME_ID`).
fn used() -> Duration {
    // The clock exists on each Linux since 2.6.12, so reading it does not fail.
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the thread's processor clock");
    Duration::new(time.tv_sec() as u64, time.tv_nsec() as u32)
}

/// Adds up the processor time of pieces of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stopwatch {
    total: Duration,
}

impl Stopwatch {
    /// Runs `work` and adds its processor time.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = used();
        let done = work();
        self.total += used().saturating_sub(before);
        done
    }

    /// The sum so far.
    pub fn total(&self) -> Duration {
        self.total
    }
}

/// Runs `work`, and returns its result and its processor time.
pub fn time_of<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let mut stopwatch = Stopwatch::default();
    let done = stopwatch.time(work);
    (done, stopwatch.total())
}
