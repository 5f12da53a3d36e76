//! Reasons for which the service rejects a publication or closes a session.

use crate::rollout::PlanError;
use crate::version::{MAX_DOCUMENTS, MAX_NAME_BYTES};
use thiserror::Error;

/// The reason for which no version is created. Its text is the answer to the operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The rollout plan is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// There are too many documents, or a document name is too long.
    #[error("over {MAX_DOCUMENTS} documents, or a name over {MAX_NAME_BYTES} bytes")]
    DocumentLimitExceeded,
    /// Another rollout is running, and only one may run at a time.
    #[error("version {0} is still on its way: wait, or roll it back")]
    RolloutUnderWay(u64),
    /// The documents exceed the maximum size of a version.
    #[error("{bytes} bytes are over {limit}")]
    TooLarge {
        /// The total size of names and documents, in bytes.
        bytes: usize,
        /// The maximum size of a version, in bytes.
        limit: usize,
    },
    /// No version with this number is retained.
    #[error("there is no version {0}")]
    UnknownVersion(u64),
}

/// The reason for which a session is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CloseReason {
    /// The maximum number of sessions is open.
    #[error("too many open sessions")]
    TooManySessions,
    /// The gateway uses a different protocol version.
    #[error("unsupported protocol version")]
    UnsupportedProtocol,
    /// The name in the gateway's first message differs from the name in its certificate.
    #[error("gateway name does not match the certificate")]
    NodeNameMismatch,
    /// An operator's upload exceeds the limits of a version.
    #[error("uploaded documents exceed the limits of a version")]
    UploadTooLarge,
    /// The session's role may not send this message.
    #[error("message not allowed for the role of the session")]
    NotAllowed,
    /// No message was received for several heartbeat intervals.
    #[error("no message within the heartbeat timeout")]
    HeartbeatTimeout,
}
