//! Why a command failed.

use crate::issue::IssueError;
use sagearch_identity::authority::PolicyError;
use sagearch_identity::issue::SignError;
use sagearch_identity::jwks::KeySetError;
use std::error::Error as StdError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The fault that a parser or a client has found.
pub(super) type Cause = Box<dyn StdError + Send + Sync>;

/// Why a command failed. Messages name the file, the issuer, the address or the argument.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    StandardInput(#[source] io::Error),
    /// A file of certificates, keys or revocation lists can't be read; the cause names it.
    #[error(transparent)]
    TlsFile(Cause),
    /// What a file holds can't be used.
    #[error("{}: {source}", path.display())]
    InvalidFile { path: PathBuf, source: Cause },
    /// A file does not hold what it should.
    #[error("{}: {problem}", path.display())]
    WrongFile { path: PathBuf, problem: FileProblem },
    /// The operators' file can't be used; the cause names its files and lines.
    #[error(transparent)]
    Operators(Cause),
    /// What the operators' file states of identity can't be used.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The keys of an issuer can't be had or used.
    #[error("issuer {issuer}: {source}")]
    Issuer { issuer: String, source: Cause },
    /// A running gateway has not answered with a report.
    #[error("{url}: {source}")]
    Admin { url: String, source: Cause },
    /// The argument of `--life` is negative.
    #[error("a life can't be negative")]
    NegativeLife(#[source] jiff::Error),
    /// The argument of `--claim` has no `=`.
    #[error("a claim is NAME=VALUE")]
    Claim,
    /// A key or token can't be issued.
    #[error(transparent)]
    Sign(#[from] SignError),
    /// A certificate or revocation list can't be issued.
    #[error(transparent)]
    Certificate(#[from] IssueError),
    /// The key set would be one that no gateway accepts.
    #[error(transparent)]
    KeySet(#[from] KeySetError),
    /// The new certificate can't be read.
    #[error(transparent)]
    NewCertificate(Cause),
    /// The answer is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// What a file does not hold.
#[derive(Debug, Error)]
pub(super) enum FileProblem {
    #[error("states no identity")]
    NoIdentity,
    #[error("not PEM")]
    NotPem,
    #[error("holds no private key in PKCS #8")]
    NoPrivateKey,
}

impl CommandError {
    /// A file can't be read or written.
    pub(super) fn file(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
        move |source| CommandError::File { path: path.into(), source }
    }

    /// What a file holds can't be used.
    pub(super) fn invalid_file<E: Into<Cause>>(path: &Path) -> impl FnOnce(E) -> CommandError {
        move |source| CommandError::InvalidFile { path: path.into(), source: source.into() }
    }

    /// A file does not hold what it should.
    pub(super) fn wrong_file(path: &Path, problem: FileProblem) -> CommandError {
        CommandError::WrongFile { path: path.into(), problem }
    }
}
