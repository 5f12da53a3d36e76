//! Versions: sets of named documents with a number and a digest.

use ring::digest::{Context, SHA256};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// The maximum number of documents in a version.
pub const MAX_DOCUMENTS: usize = 10_000;
/// The maximum length of a document's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// The hexadecimal SHA-256 over the names and texts of documents, each with its length.
pub type Digest = String;

/// Identifies a version. Later versions compare greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId {
    /// Incremented when a service has lost its version numbers and starts numbering again.
    pub epoch: u64,
    /// Incremented with each version.
    pub number: u64,
    /// The digest of the documents.
    pub digest: Digest,
}

impl VersionId {
    /// The epoch and the number, which order versions regardless of their content.
    pub fn sequence(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}-{}", self.epoch, self.number, self.digest.get(..8).unwrap_or(&self.digest))
    }
}

/// Documents by name, such as `operators.kdl`.
pub type Documents = BTreeMap<String, String>;

/// A set of documents with a number and a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The epoch, the number and the digest.
    pub id: VersionId,
    /// All documents of the version.
    pub documents: Documents,
}

/// Computes the digest of documents.
pub fn digest(documents: &Documents) -> Digest {
    let mut context = Context::new(&SHA256);
    for (name, text) in documents {
        for part in [name, text] {
            context.update(&(part.len() as u64).to_be_bytes());
            context.update(part.as_bytes());
        }
    }
    let mut digest = Digest::new();
    for byte in context.finish().as_ref() {
        // Writing to a `String` never fails.
        let _ = write!(digest, "{byte:02x}");
    }
    digest
}

impl Version {
    /// Creates a version and computes its digest.
    pub fn new(epoch: u64, number: u64, documents: Documents) -> Version {
        Version { id: VersionId { epoch, number, digest: digest(&documents) }, documents }
    }

    /// Whether the documents match the digest.
    pub fn is_intact(&self) -> bool {
        digest(&self.documents) == self.id.digest
    }

    /// The total size of all names and documents, in bytes.
    pub fn size(&self) -> usize {
        self.documents.iter().map(|(name, text)| name.len() + text.len()).sum()
    }
}
