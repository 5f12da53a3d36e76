//! Errors of settings.

use crate::tenants::MarkConflict;
use std::fmt;
use thiserror::Error;

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// The number of entries of a kind exceeds its limit.
    #[error("{count} {kind} are over {limit}")]
    TooMany {
        /// The kind of the entries.
        kind: EntryKind,
        /// The number of entries in the settings.
        count: usize,
        /// The maximum number of entries.
        limit: usize,
    },
    /// There are issuers but no audiences, so that every token would be refused.
    #[error("tokens are for nobody: no audience")]
    NoAudience,
    /// An issuer appears twice.
    #[error("issuer {0:?} stands twice")]
    DuplicateIssuer(String),
    /// A tenant's entry is invalid.
    #[error("tenant {tenant:?}: {source}")]
    Tenant {
        /// The tenant's name.
        tenant: String,
        /// What is wrong with the entry.
        source: EntryError,
    },
    /// An operator's entry is invalid.
    #[error("operator {operator:?}: {source}")]
    Operator {
        /// The operator's name.
        operator: String,
        /// What is wrong with the entry.
        source: EntryError,
    },
    /// The tenant of requests without credentials is not in the settings.
    #[error("anonymous: tenant {0:?} is not in the file")]
    UnknownAnonymousTenant(String),
    /// Two tenants state the same network.
    #[error(transparent)]
    Network(MarkConflict),
}

/// What is wrong with a tenant or an operator.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An earlier entry has the same name.
    #[error("stands twice")]
    Duplicate,
    /// A token mark names an issuer that is not in the settings.
    #[error("issuer {0:?} is not in the file")]
    UnknownIssuer(String),
    /// An earlier entry states the same mark.
    #[error(transparent)]
    Conflict(#[from] MarkConflict),
}

/// The kinds of entries whose number is limited.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryKind {
    /// Issuers.
    Issuers,
    /// Tenants.
    Tenants,
    /// Rules of one tenant.
    Rules {
        /// The tenant's name.
        tenant: String,
    },
    /// Token claims, certificate names and networks of one tenant together.
    Marks {
        /// The tenant's name.
        tenant: String,
    },
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryKind::Issuers => f.write_str("issuers"),
            EntryKind::Tenants => f.write_str("tenants"),
            EntryKind::Rules { tenant } => write!(f, "rules of tenant {tenant:?}"),
            EntryKind::Marks { tenant } => write!(f, "marks of tenant {tenant:?}"),
        }
    }
}
