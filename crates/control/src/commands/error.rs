//! Errors of the commands.

use super::feed::FeedError;
use jiff::SignedDuration;
use sagearch_control::client::ClientError;
use sagearch_control::server::ServerError;
use sagearch_operators::Diagnostics;
use sagearch_stream::rollout::PlanError;
use std::io;
use thiserror::Error;

/// Error of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The operators' file has errors, reported with file, line and column.
    #[error(transparent)]
    File(#[from] Diagnostics),
    /// A version stored by the service can't be parsed by this program.
    #[error("version {number}: {diagnostics}")]
    StoredVersion {
        /// Number of the version.
        number: u64,
        /// Errors in its document, with line and column.
        #[source]
        diagnostics: Diagnostics,
    },
    /// An option's duration is negative.
    #[error(transparent)]
    Duration(#[from] NegativeDuration),
    /// The options don't form a valid rollout plan.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The call to the service failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The service could not start.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// The signal handlers can't be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The service's sockets can't be polled.
    #[error("cannot poll the service's sockets: {0}")]
    EventLoop(#[source] io::Error),
    /// The call to the relays failed.
    #[error(transparent)]
    Feed(#[from] FeedError),
}

/// Error of an option whose duration is negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{option}: expected a duration of zero or more, got a negative one")]
pub struct NegativeDuration {
    /// Name of the option.
    pub option: &'static str,
}

/// Converts the duration given to an option to milliseconds.
pub fn duration_millis(option: &'static str, duration: SignedDuration) -> Result<u64, NegativeDuration> {
    u64::try_from(duration.as_millis()).map_err(|_| NegativeDuration { option })
}
