//! Errors of staging a version and of loading a key set.

use crate::net::frontend::tls::{FileError, TlsError};
use std::error::Error as StdError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error of a parser or of a policy check.
pub(super) type Cause = Box<dyn StdError + Send + Sync>;

/// Why a version can't be put in force.
#[derive(Debug, Error)]
pub enum VersionError {
    /// The files of roots and revocation lists are not valid.
    #[error(transparent)]
    Trust(TlsError),
    /// The certificates and keys of an address are not valid.
    #[error(transparent)]
    Tls(TlsError),
    /// A key set can't be read or is not valid.
    #[error(transparent)]
    KeySet(#[from] KeySetError),
    /// An issuer refers to a key set that the version does not contain.
    #[error("there is no key set {0:?}")]
    MissingKeySet(String),
    /// The identity settings are not valid.
    #[error(transparent)]
    Policy(Cause),
    /// A key set conflicts with the keys in force.
    #[error("issuer {issuer}: {source}")]
    KeysRejected {
        /// Name of the issuer.
        issuer: String,
        /// Why the issuer's keys were rejected.
        source: Cause,
    },
}

/// Why a key set can't be loaded.
#[derive(Debug, Error)]
pub enum KeySetError {
    /// The file of a key set or of an issuer's roots can't be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The key set in a file is not valid.
    #[error("{}: {source}", path.display())]
    InvalidFile {
        /// Path of the file.
        path: PathBuf,
        /// The error of the key set parser.
        source: Cause,
    },
    /// A key set contained in a version, or fetched from an issuer, is not valid.
    #[error(transparent)]
    Invalid(Cause),
    /// The file of roots for an issuer's certificate is not PEM.
    #[error(transparent)]
    Roots(Box<ureq::Error>),
    /// The request for the issuer's key set failed.
    #[error(transparent)]
    Fetch(Box<ureq::Error>),
    /// The thread that requests the issuer's key set could not be started.
    #[error(transparent)]
    Thread(io::Error),
}
