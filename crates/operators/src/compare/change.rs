//! One difference between two files, and how it is written.

use std::fmt;

/// One difference. A `path` names the nodes from the top of the file down to the one that differs.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Only the second file has it.
    Added {
        /// Where it stands.
        path: String,
        /// What it says.
        after: String,
    },
    /// Only the first file has it.
    Removed {
        /// Where it stood.
        path: String,
        /// What it said.
        before: String,
    },
    /// Both files have it, and it says something else.
    Changed {
        /// Where it stands.
        path: String,
        /// What it said.
        before: String,
        /// What it says.
        after: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added { path, after } => write!(f, "+ {path}: {after}"),
            Change::Removed { path, before } => write!(f, "- {path}: {before}"),
            Change::Changed { path, before, after } => write!(f, "~ {path}: {before} -> {after}"),
        }
    }
}

/// The path of what stands below a path.
pub(super) fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.into() } else { format!("{path} > {name}") }
}
