//! Why files of TLS can't be used. Messages name the file and never what it holds.

use super::files::{MAX_FILE_BYTES, MAX_ITEMS};
use sagearch_identity::Reason;
use std::error::Error as StdError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a file can't be read.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file system failed.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The file is larger than any that is meant.
    #[error("{}: {size} bytes are over {MAX_FILE_BYTES}", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Its size in bytes.
        size: u64,
    },
}

/// Why certificates, keys, roots or revocation lists can't be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file can't be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file is not PEM. The parser's error is left out, as it repeats parts of the file.
    #[error("{}: not PEM", path.display())]
    NotPem {
        /// The file.
        path: PathBuf,
    },
    /// A file holds nothing of its kind, or too much.
    #[error("{}: holds no {kind}, or over {MAX_ITEMS}", path.display())]
    ItemCount {
        /// The file.
        path: PathBuf,
        /// What it should hold.
        kind: &'static str,
    },
    /// The roots and revocation lists can't be used together.
    #[error(transparent)]
    Trust(Box<dyn StdError + Send + Sync>),
    /// A certificate can't be read.
    #[error("{}: {source}", path.display())]
    Certificate {
        /// The file of its chain.
        path: PathBuf,
        /// What is wrong with it.
        source: Reason,
    },
    /// A file holds no private key. The parser's error is left out, as it repeats parts of the file.
    #[error("{}: holds no private key", path.display())]
    NoPrivateKey {
        /// The file.
        path: PathBuf,
    },
    /// A private key can't be used, or is not its certificate's.
    #[error("{}: {source}", path.display())]
    PrivateKey {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: rustls::Error,
    },
    /// An address that speaks TLS has no certificate to show.
    #[error("no certificate")]
    NoCertificate,
    /// The library refuses the versions of TLS.
    #[error(transparent)]
    Versions(rustls::Error),
}
