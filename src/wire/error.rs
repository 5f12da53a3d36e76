//! Errors in batches of messages.

use std::num::ParseIntError;

/// An error in a batch of messages.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not a valid batch. The text names the column.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A message of the batch has an invalid value.
    #[error("batch {serial}: {cause}")]
    Message {
        /// The serial number of the batch.
        serial: u64,
        /// The error in the message.
        #[source]
        cause: MessageError,
    },
}

/// An invalid value in a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A request id is not a hexadecimal number.
    #[error("request id {id:?}: {cause}")]
    RequestId {
        /// The id found.
        id: String,
        /// The parse error.
        #[source]
        cause: ParseIntError,
    },
    /// The state of a member is not a known value.
    #[error("readiness {0:?}")]
    Readiness(String),
    /// The kind of a member list is not a known value.
    #[error("list mode {0:?}")]
    ListMode(String),
}
