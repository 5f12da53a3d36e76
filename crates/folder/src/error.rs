//! Storage errors that name the file and the step that failed.

use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A step of reading or writing a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Creating the folder.
    CreateFolder,
    /// Opening and reading the file.
    Read,
    /// Creating or opening the file to be written.
    Open,
    /// Writing the file's bytes.
    Write,
    /// Waiting until the file's bytes are on the device (`fsync`).
    Sync,
    /// Renaming the new file over the old one.
    Rename,
    /// Waiting until the folder's entry is on the device.
    SyncFolder,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::CreateFolder => "create folder",
            Step::Read => "read",
            Step::Open => "open",
            Step::Write => "write",
            Step::Sync => "sync",
            Step::Rename => "rename",
            Step::SyncFolder => "sync folder",
        })
    }
}

/// A step on a file that failed.
#[derive(Debug, Error)]
#[error("{}: {step}: {source}", .file.display())]
pub struct StorageError {
    /// The file that was read or was to be written.
    pub file: PathBuf,
    /// The step that failed.
    pub step: Step,
    /// The operating system's error.
    pub source: io::Error,
}

impl StorageError {
    /// The kind of the operating system's error.
    pub fn kind(&self) -> io::ErrorKind {
        self.source.kind()
    }
}

impl From<StorageError> for io::Error {
    fn from(error: StorageError) -> io::Error {
        io::Error::new(error.kind(), error)
    }
}
