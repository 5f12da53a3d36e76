//! Starts programs under the fault shim, so that their system calls fail as a test plans it.
//!
//! ```no_run
//! use sagearch_faults::{Call, FaultPlan, Injector};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let injector = Injector::new(std::path::Path::new("/tmp/run"), 7)?;
//! let mut command = std::process::Command::new("program");
//! injector.apply_to(&mut command);
//! let program = command.spawn()?;
//! // It starts without faults; now three in ten accepts fail.
//! injector.set(&FaultPlan::new().errno(Call::Accept, &[libc::ECONNABORTED, libc::ENFILE], 0.3))?;
//! assert!(injector.counters()?.fired(Call::Accept) > 0);
//! # Ok(())
//! # }
//! ```
//!
//! For tests alone: no program that is delivered depends on this crate.
#![warn(missing_docs)]

mod counters;
mod error;
mod injector;
mod plan;

pub use counters::Counters;
pub use error::FaultError;
pub use injector::Injector;
pub use plan::FaultPlan;
pub use sagearch_fault_control::Call;
