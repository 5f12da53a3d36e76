//! The replies to polls, and the answers to pending polls.

use super::Session;
use std::sync::Arc;
use thiserror::Error;

/// The encoded body of an answer, shared by all polls that receive it.
pub type SharedBody = Arc<[u8]>;

/// The reply of a relay to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollReply {
    /// The poll is answered immediately with this body.
    Answer(SharedBody),
    /// The poll is pending: [`Relay::tick`](super::Relay::tick) answers it later.
    Pending,
    /// The session is not admitted: status 503.
    Busy {
        /// The time after which the subscriber is to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The poll can't be answered: status 400.
    Invalid(InvalidPoll),
}

/// Why a well-formed poll can't be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidPoll {
    /// Another poll of the session is pending; each session may have one.
    #[error("another poll of this connection is held")]
    AnotherPending,
    /// The poll needs a snapshot but has no identity. Snapshots contain purges by slice, which clients of a plain bus
    /// would ignore.
    #[error("without a name there is no snapshot: old purges are told by slice")]
    SnapshotNeedsIdentity,
}

/// The answer to a poll that was pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueAnswer {
    /// The session whose poll is answered.
    pub session: Session,
    /// The body of the answer.
    pub body: SharedBody,
}
