//! The next step of a subscriber, and the outcomes of its polls.

use crate::message::{FeedId, Poll};
use crate::{Micros, Offset};
use thiserror::Error;

/// The next step of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send a poll.
    Poll {
        /// The index in [`Settings::relays`](super::Settings::relays) of the relay to poll.
        relay: usize,
        /// The poll to send.
        poll: Poll,
        /// If there is no complete answer after this time, the poll has failed with [`PollFailure::TimedOut`].
        timeout: Micros,
    },
    /// Call [`Subscription::next_step`](super::Subscription::next_step) again at this time.
    Wait {
        /// The time of the next call, on the caller's clock.
        until: Micros,
    },
}

/// Why a poll produced no usable answer. The caller logs the detailed cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PollFailure {
    /// No connection could be opened.
    #[error("the connection could not be opened")]
    Unreachable,
    /// A connection used by earlier polls was closed or stopped responding: it is reopened without a backoff.
    #[error("the connection was lost")]
    ConnectionLost,
    /// The answer was not complete before the timeout.
    #[error("the poll timed out without a complete answer")]
    TimedOut,
    /// The relay rejected the poll because of overload: status 503.
    #[error("the relay is overloaded")]
    Refused {
        /// The Retry-After of the relay, if it sent one.
        retry_after: Option<Micros>,
    },
    /// The answer has any other status or can't be parsed.
    #[error("the answer is invalid")]
    InvalidAnswer,
}

/// The content of an accepted answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedAnswer {
    /// The answer contains no new event.
    NoNewEvents,
    /// The answer contains new events.
    NewEvents {
        /// Events with larger offsets than this are new.
        after: Offset,
    },
    /// The events are the complete state: the endpoint list replaces the known one, and the purges are added to the
    /// known ones.
    Snapshot,
}

/// Why a well-formed answer is rejected. The subscriber polls the next relay.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RejectedAnswer {
    /// The answer belongs to another feed and is not a snapshot. The next poll requests a snapshot.
    #[error(
        "the answer has events of feed {} without a snapshot, but the subscriber follows feed {}",
        name_of(received.as_ref()),
        name_of(known.as_ref())
    )]
    FeedChanged {
        /// The feed that is followed.
        known: Option<FeedId>,
        /// The feed of the answer.
        received: Option<FeedId>,
    },
    /// The offset exceeds the known one by more than [`MAX_OFFSET_LEAP`](super::MAX_OFFSET_LEAP), or exceeds
    /// [`MAX_OFFSET`](super::MAX_OFFSET).
    #[error("the answer has offset {received}, too far after the known offset {known}")]
    OffsetLeap {
        /// The offset up to which events have been applied.
        known: Offset,
        /// The offset of the answer.
        received: Offset,
    },
}

fn name_of(feed: Option<&FeedId>) -> &str {
    feed.map_or("none", FeedId::as_str)
}
