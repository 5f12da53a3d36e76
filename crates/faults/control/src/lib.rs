//! The memory that a test shares with the processes under the fault shim: the plan in service and the counters.
//!
//! Both sides map the same file. The test writes the plan under a sequence lock; the shim reads it on each call,
//! without locks, allocations or system calls. All fields are atomics, so a page of zeros is a valid plan without
//! faults.
#![warn(missing_docs)]

mod call;
mod mapping;
mod page;

pub use call::Call;
pub use mapping::Mapping;
pub use page::{
    CallFaults, ControlPage, Counters, LONGEST_PREFIX, MOST_ERRNOS, Plan, Probability, increment,
};

/// The environment variable that names the control file to the shim.
pub const CONTROL_VARIABLE: &str = "SAGEARCH_FAULT_CONTROL";
