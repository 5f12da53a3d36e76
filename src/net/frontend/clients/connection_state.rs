//! The states of a client's connection and their timeouts.

use std::time::Duration;

/// A first request must be complete this long after its connection was accepted, and a later one this long after its
/// first byte. The platform expects an answer, or the end of the connection, within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// An idle connection is closed after this. Clients close theirs after 4 s, so that usually no request crosses with the
/// close.
pub(in crate::net) const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A client that reads nothing of its answer for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// For how long input after the last answer is read and discarded.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Clients send as soon as they are connected: a connection without a byte after this is among the first to be evicted.
pub(super) const FIRST_BYTE_GRACE: Duration = Duration::from_millis(100);

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum ConnectionState {
    /// Its TLS handshake is in progress, with this timeout.
    Handshaking(Duration),
    /// No byte has come on it yet.
    New,
    /// A part of a request has come.
    Receiving,
    /// A request is in flight.
    Open,
    /// The answer is being written.
    Writing,
    /// It is kept alive between requests.
    Idle,
    /// Its last answer is written; what still comes is discarded until the client closes it.
    Draining,
    /// It came while the table was full. Its request is read before it is rejected, as a close with unread input could
    /// destroy the answer.
    Rejected,
    /// Its request was not complete in time: it gets 408, and what is read from now on is not forwarded.
    Overdue,
    /// The gateway has shut it without an answer: what is read from now on is not forwarded.
    Shut,
}

impl ConnectionState {
    /// How long a connection may be in this state; `None`: the deadline of its request applies.
    pub(super) fn timeout(self) -> Option<Duration> {
        match self {
            ConnectionState::Handshaking(timeout) => Some(timeout),
            ConnectionState::New | ConnectionState::Receiving => Some(REQUEST_TIMEOUT),
            ConnectionState::Rejected => Some(FIRST_BYTE_GRACE),
            ConnectionState::Open => None,
            ConnectionState::Writing => Some(WRITE_TIMEOUT),
            ConnectionState::Idle => Some(IDLE_TIMEOUT),
            ConnectionState::Draining | ConnectionState::Overdue | ConnectionState::Shut => {
                Some(DRAIN_TIMEOUT)
            }
        }
    }

    /// Whether the connection takes no request any more, and is about to be closed.
    pub(super) fn is_closing(self) -> bool {
        matches!(
            self,
            ConnectionState::Rejected
                | ConnectionState::Overdue
                | ConnectionState::Draining
                | ConnectionState::Shut
        )
    }

    /// Whether the last answer has been written, or the connection was shut without one.
    pub(super) fn has_ended(self) -> bool {
        matches!(self, ConnectionState::Draining | ConnectionState::Shut)
    }
}
