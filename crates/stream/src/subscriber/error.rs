//! Reasons for which a gateway rejects a version or closes its connection.

use crate::message::{BASE_MISSING, PROTOCOL};
use crate::version::VersionId;
use std::fmt;
use thiserror::Error;

/// The error of an action that the caller of the state machine carried out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct StepError(String);

impl StepError {
    /// Creates an error with the text that is shown to operators.
    pub fn new(cause: &dyn fmt::Display) -> StepError {
        StepError(cause.to_string())
    }
}

/// The reason for a rejection. Its text is sent as the cause in the negative acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The offer has the number of the gateway's newest version but different content.
    #[error("the same number as {0} with other content")]
    Conflict(VersionId),
    /// The offer is older than the gateway's newest version.
    #[error("older than {0}")]
    Outdated(VersionId),
    /// The size that the offer states exceeds the limit.
    #[error("{bytes} bytes are over {limit}")]
    TooLarge {
        /// The size that the offer states, in bytes.
        bytes: u64,
        /// The maximum size of a version, in bytes.
        limit: usize,
    },
    /// The received documents exceed the limit, whatever size the offer stated.
    #[error("over {limit} bytes have come")]
    TooMuchReceived {
        /// The maximum size of a version, in bytes.
        limit: usize,
    },
    /// The gateway lacks the base of the offered delta.
    #[error("{BASE_MISSING}")]
    BaseMissing,
    /// The documents don't match the offered digest.
    #[error("its digest is another's")]
    DigestMismatch,
    /// The gateway could not stage the version.
    #[error(transparent)]
    Staging(StepError),
}

/// The reason for which a gateway closes its connection to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DisconnectReason {
    /// The connection was not established within the timeout.
    #[error("connection attempt timed out")]
    ConnectTimeout,
    /// No message was received for several heartbeat intervals.
    #[error("no message from the service within the heartbeat timeout")]
    HeartbeatTimeout,
    /// The service has too many open sessions.
    #[error("the service has too many open sessions")]
    Busy,
    /// The service uses this protocol version, which the gateway does not support.
    #[error("unsupported protocol version {0}; expected {PROTOCOL}")]
    UnsupportedProtocol(u32),
    /// An offer has too many documents, or a document name that is too long.
    #[error("offer has too many documents or a document name that is too long")]
    OfferTooLarge,
    /// A chunk belongs to a document other than the next one, or is too large.
    #[error("chunk is out of order or too large")]
    UnexpectedChunk,
    /// A transfer ended before all documents were received.
    #[error("transfer ended before all documents were received")]
    IncompleteTransfer,
}
