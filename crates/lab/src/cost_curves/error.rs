//! Why a measurement could not be made.

use std::error::Error;
use std::io;
use std::sync::Arc;
use thiserror::Error;

/// Why a measurement could not be made.
#[derive(Clone, Debug, Error)]
pub enum MeasurementError {
    /// There is no role of this name.
    #[error("there is no role {name:?}; there are {known}")]
    UnknownRole {
        /// The name that was asked for.
        name: String,
        /// The names that there are.
        known: String,
    },
    /// The code under measurement rejected its input.
    #[error("refused: {source}")]
    Rejected {
        /// Its error, with the place where it has one.
        source: Arc<dyn Error + Send + Sync>,
    },
    /// The state that was to be measured was not reached.
    #[error("not reached: {0}")]
    NotReached(&'static str),
    /// A process or its files could not be used.
    #[error("process: {subject}: {source}")]
    Process {
        /// The file or operation.
        subject: String,
        /// What the system said.
        source: Arc<io::Error>,
    },
}

impl MeasurementError {
    /// For an input that the code under measurement rejected.
    pub(super) fn rejected(error: impl Into<Box<dyn Error + Send + Sync>>) -> MeasurementError {
        MeasurementError::Rejected { source: Arc::from(error.into()) }
    }

    /// For a process or file that could not be used.
    pub(super) fn in_process(subject: &str) -> impl FnOnce(io::Error) -> MeasurementError {
        let subject = subject.to_owned();
        move |source| MeasurementError::Process { subject, source: Arc::new(source) }
    }
}
