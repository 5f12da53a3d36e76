//! What can be wrong with a plan or its control file.

use sagearch_fault_control::{Call, LONGEST_PREFIX, MOST_ERRNOS};
use std::io;
use std::path::PathBuf;

/// Why faults can't be injected.
#[derive(Debug, thiserror::Error)]
pub enum FaultError {
    /// The control file can't be made or mapped.
    #[error("{path}: {source}")]
    ControlFile {
        /// The control file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The shared library does not stand beside the program that asks for it.
    #[error("the fault shim is at none of {looked:?}; `cargo test` builds it there")]
    ShimNotFound {
        /// Where it was looked for.
        looked: Vec<PathBuf>,
    },
    /// A rate outside 0 to 1.
    #[error("a rate of {rate} does not lie between 0 and 1")]
    Rate {
        /// The rate.
        rate: f64,
    },
    /// None, or too many for the control page.
    #[error("{call:?} fails with {count} errors; from 1 to {MOST_ERRNOS} can be drawn from")]
    ErrnoCount {
        /// The call.
        call: Call,
        /// How many were given.
        count: usize,
    },
    /// An error that Linux never gives for this call: EINTR where it can't be interrupted, or EAGAIN, after which an
    /// edge-triggered poller waits for an event that never comes.
    #[error("{call:?} never fails with errno {errno}")]
    Errno {
        /// The call.
        call: Call,
        /// The error.
        errno: i32,
    },
    /// A path prefix that does not fit the control page.
    #[error("{path}: a path prefix has at most {LONGEST_PREFIX} bytes")]
    PrefixTooLong {
        /// The prefix.
        path: PathBuf,
    },
}
