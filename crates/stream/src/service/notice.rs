//! Notices about the service's decisions for the operators' log.

use crate::rollout::RollbackCause;
use crate::version::VersionId;
use std::fmt;

/// A log entry for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A gateway rejected a version.
    Rejected {
        /// The gateway's name.
        gateway: String,
        /// The rejected version.
        id: VersionId,
        /// The cause that the gateway reported.
        cause: String,
    },
    /// The next stage of a rollout started.
    NextStage {
        /// The number of the version.
        number: u64,
        /// The stage's share of the fleet, in percent.
        percentage: u8,
    },
    /// A rollout is complete: it includes all gateways and has soaked.
    Complete {
        /// The number of the version.
        number: u64,
    },
    /// A version was rolled back.
    RolledBack {
        /// The number of the version.
        number: u64,
        /// The number of the version that replaces it.
        replacement: u64,
        /// The cause of the rollback.
        cause: RollbackCause,
    },
    /// The rollout of a version was aborted without a stable version to roll back to.
    Halted {
        /// The number of the version.
        number: u64,
        /// The cause of the rollback.
        cause: RollbackCause,
    },
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Rejected { gateway, id, cause } => write!(f, "{gateway} rejected version {id}: {cause}"),
            Notice::NextStage { number, percentage } => {
                write!(f, "rollout of version {number} advances to {percentage}% of gateways")
            }
            Notice::Complete { number } => write!(f, "rollout of version {number} is complete"),
            Notice::RolledBack { number, replacement, cause } => {
                write!(f, "version {number} was taken back by {replacement}: {cause}")
            }
            Notice::Halted { number, cause } => write!(f, "version {number} is halted: {cause}"),
        }
    }
}
