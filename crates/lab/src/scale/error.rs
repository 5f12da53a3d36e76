//! Why a scale run, or one of its processes, could not go on.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// An error of another crate, whatever its type.
pub type BoxedError = Box<dyn std::error::Error + Send + Sync>;

/// Why a scale run, or one of its processes, could not go on.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A file or folder could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The contents of a file are not what its reader expects, or can't be written as JSON.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The place and the cause.
        source: serde_json::Error,
    },
    /// A line of a file is not what its reader expects.
    #[error("{}:{line}: {source}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The column and the cause.
        source: serde_json::Error,
    },
    /// A process could not be started, reached or ended.
    #[error("{process}: {source}")]
    Process {
        /// Its name in the run.
        process: String,
        /// What the system said.
        source: io::Error,
    },
    /// A process has written a line that is not the one which was expected.
    #[error("{process}: expected {expected} on its standard output, got {line:?}")]
    UnexpectedLine {
        /// Its name in the run.
        process: String,
        /// What the line should have been.
        expected: &'static str,
        /// The line.
        line: String,
    },
    /// A process does not answer at its address.
    #[error("{process} at {address} is not ready after {} s; see {}", waited.as_secs(), log.display())]
    NotReady {
        /// Its name in the run.
        process: String,
        /// Where it should answer.
        address: SocketAddr,
        /// How long it was waited for.
        waited: Duration,
        /// The log of the process.
        log: PathBuf,
    },
    /// Something else of the system failed.
    #[error("{operation}: {source}")]
    System {
        /// What was to be done.
        operation: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A message of the event bus can't be read.
    #[error("the events up to now: {source}")]
    InitialEvents {
        /// The place and the cause.
        source: serde_json::Error,
    },
    /// A hollow gateway could not be started.
    #[error("{gateway}: {source}")]
    HollowGateway {
        /// Its name.
        gateway: String,
        /// The cause, with its place in the gateway's settings or operators' file.
        source: BoxedError,
    },
    /// The run would take more than it may.
    #[error("the run takes about {needed} {resource}, and may take {limit}")]
    OverLimit {
        /// What is limited.
        resource: &'static str,
        /// What the run takes.
        needed: u64,
        /// What it may take.
        limit: u64,
    },
}

impl ScaleError {
    /// For the failed use of a file or folder.
    pub(super) fn in_file(path: &Path) -> impl FnOnce(io::Error) -> ScaleError {
        let path = path.to_path_buf();
        move |source| ScaleError::File { path, source }
    }

    /// For contents of a file that can't be read or made.
    pub(super) fn in_json(path: &Path) -> impl FnOnce(serde_json::Error) -> ScaleError {
        let path = path.to_path_buf();
        move |source| ScaleError::Json { path, source }
    }

    /// For what failed with a process.
    pub(super) fn in_process(process: &str) -> impl FnOnce(io::Error) -> ScaleError {
        let process = process.to_owned();
        move |source| ScaleError::Process { process, source }
    }

    /// For what failed of the system itself.
    pub(super) fn in_operation(operation: &'static str) -> impl FnOnce(io::Error) -> ScaleError {
        move |source| ScaleError::System { operation, source }
    }
}
