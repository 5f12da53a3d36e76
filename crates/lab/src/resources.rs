//! What a fleet needs of the machine: stated before it starts, and refused where it can't be had.

use serde::Serialize;
use thiserror::Error;

/// More than was measured: 300 gateways and the laboratory took 4.3 GB at most (see `docs/design/laboratory.md`).
const GATEWAY_MB: u64 = 24;
/// The laboratory itself, and for each gateway: its connections' buffers and tasks.
const OWN_MB: u64 = 150;
const OWN_PER_GATEWAY_MB: u64 = 3;
/// Descriptors of the laboratory, reckoned and not measured: its own, for each participant that listens, and for each gateway's connections.
const OWN_FILES: u64 = 64;
const FILES_PER_LISTENER: u64 = 2;
const FILES_PER_GATEWAY: u64 = 60;

/// What a fleet needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ResourceNeeds {
    /// Memory of all processes, in MB.
    pub memory_mb: u64,
    /// Descriptors of the laboratory.
    pub files: u64,
    /// The laboratory's own included.
    pub processes: u64,
}

/// What the machine has.
#[derive(Clone, Copy, Debug)]
pub struct AvailableResources {
    /// Memory that can be had, in MB.
    pub memory_mb: u64,
    /// How far a process's descriptors can be raised.
    pub files: u64,
}

/// What a fleet lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResourceError {
    /// Memory.
    #[error("the fleet takes about {needed_mb} MB of memory, and {available_mb} MB can be had")]
    Memory {
        /// What it needs.
        needed_mb: u64,
        /// What there is.
        available_mb: u64,
    },
    /// Descriptors.
    #[error("the laboratory takes about {needed} descriptors, and may have {available}")]
    Files {
        /// What it needs.
        needed: u64,
        /// What there is.
        available: u64,
    },
}

/// What a fleet of so many gateways needs, with all participants that listen.
pub fn needs(gateways: usize, listeners: usize) -> ResourceNeeds {
    let gateways = gateways as u64;
    ResourceNeeds {
        memory_mb: OWN_MB + gateways * (GATEWAY_MB + OWN_PER_GATEWAY_MB),
        files: OWN_FILES + listeners as u64 * FILES_PER_LISTENER + gateways * FILES_PER_GATEWAY,
        processes: gateways + 1,
    }
}

impl ResourceNeeds {
    /// Whether the machine has it.
    ///
    /// # Errors
    ///
    /// What it lacks.
    pub fn check(&self, available: AvailableResources) -> Result<(), ResourceError> {
        if self.memory_mb > available.memory_mb {
            let (needed_mb, available_mb) = (self.memory_mb, available.memory_mb);
            return Err(ResourceError::Memory { needed_mb, available_mb });
        }
        if self.files > available.files {
            return Err(ResourceError::Files { needed: self.files, available: available.files });
        }
        Ok(())
    }
}

/// `MemAvailable` of `/proc/meminfo`, in MB.
pub fn available_mb(meminfo: &str) -> Option<u64> {
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    Some(line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()? / 1_024)
}

#[cfg(test)]
mod tests;
