//! Why a command could not be carried out.

use sagearch_lab::cost_curves::error::MeasurementError;
use sagearch_lab::experiment::ResultsError;
use sagearch_lab::harness::run::RunError;
use sagearch_lab::scale::error::ScaleError;
use sagearch_lab::shrink::ShrinkError;
use sagearch_operators::Diagnostics;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A scenario has faults, each with its place.
    #[error("{0}")]
    Scenario(Diagnostics),
    /// A file could not be found, read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Which one.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A line of a file of results is none.
    #[error("{}: {source}", path.display())]
    Results {
        /// The file.
        path: PathBuf,
        /// Which line, and why.
        source: ResultsError,
    },
    /// The laboratory does not find its own program.
    #[error("the laboratory's own program: {0}")]
    OwnProgram(#[source] io::Error),
    /// Threads could not be started.
    #[error("threads: {0}")]
    Runtime(#[source] io::Error),
    /// A run could not be played.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A scenario could not be shrunk.
    #[error(transparent)]
    Shrink(#[from] ShrinkError),
    /// A result could not be written as JSON.
    #[error("a result as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A scale run could not be played.
    #[error(transparent)]
    Scale(#[from] ScaleError),
    /// A role could not be measured.
    #[error(transparent)]
    Slopes(#[from] MeasurementError),
    /// A program could not take the place of this process.
    #[error("{}: {source}", program.display())]
    Exec {
        /// Which program.
        program: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A size that the scenario lacks.
    #[error("the scenario has no size of {0} gateways")]
    UnknownSize(usize),
    /// What is to be seeds.
    #[error("{0:?} are no seeds like 1..5")]
    Seeds(String),
    /// What is to be a build.
    #[error("{0:?} is no NAME=FILE")]
    Build(String),
    /// There is nothing to compare.
    #[error("{} has no pairs of {before} and {after}", results.display())]
    NoPairs {
        /// The file of results.
        results: PathBuf,
        /// One build.
        before: String,
        /// The other.
        after: String,
    },
    /// A scenario that is to be shrunk does not fail.
    #[error("it holds as it is: nothing to shrink")]
    NothingToShrink,
    /// By ctrl-C.
    #[error("interrupted")]
    Interrupted,
    /// By SIGTERM.
    #[error("terminated")]
    Terminated,
}

impl CommandError {
    /// Names the file of an error.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
        let path = path.to_path_buf();
        move |source| CommandError::File { path, source }
    }
}
