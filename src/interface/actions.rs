//! Actions that the router returns to the gateway.

use super::{Fill, MemberId, Micros, RequestId};

/// A timer set by the router. When it is due, the gateway returns it in [`Event::Timer`](super::Event::Timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// A step for the gateway to carry out. The actions of one event are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a member. With `fill: None`, a cache answers only with a cached copy, of any age.
    Attempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The member that receives the attempt.
        member: MemberId,
        /// Time from now after which the attempt times out.
        timeout: Micros,
        /// What the member does on a miss.
        fill: Option<Fill>,
    },
    /// Refuse the request, as its final answer: the client may safely retry it, after `backoff` if given.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// The Retry-After value for the client, if any.
        backoff: Option<Micros>,
    },
    /// Fail the request, as its final answer: it is unknown whether it ran.
    Fail {
        /// The request to fail.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt, counted from 0 for each request.
        attempt: u32,
    },
    /// Start a timer.
    SetTimer {
        /// The timer to return when it is due.
        timer: TimerId,
        /// Time from now until the timer is due.
        after: Micros,
    },
}
