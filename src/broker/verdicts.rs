//! Verdicts that the broker returns to a frontend, and reports that a frontend passes to the broker.

use crate::interface::{Detail, Fill, Load, MemberId, Micros, Outcome, RequestId};
use sagearch_identity::Caller;
use std::sync::Arc;

/// An attempt for the frontend to send.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedAttempt {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, counted from 0 for each request.
    pub attempt: u32,
    /// The member that the attempt is sent to.
    pub member: MemberId,
    /// Time after which the broker ends the attempt itself. The store receives it as the deadline.
    pub timeout: Micros,
    /// What the member does on a miss; `None`: a cache answers only with a cached copy, of any age.
    pub fill: Option<Fill>,
    /// When the attempt was picked.
    pub picked: Micros,
    /// The caller on whose behalf the request runs.
    pub caller: Arc<Caller>,
}

/// The broker's decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The frontend sends an attempt.
    Attempt(PlannedAttempt),
    /// Final: the request is refused, and the client may safely retry it.
    Refused {
        /// The Retry-After value for the client, if any.
        backoff: Option<Micros>,
    },
    /// Final: the request failed, and it is unknown whether it ran.
    Failed,
}

impl Verdict {
    /// Whether the request ends with this verdict.
    pub(super) fn is_final(&self) -> bool {
        !matches!(self, Verdict::Attempt(_))
    }
}

/// The outcome of an attempt, and what its answer reported.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How the member obtained the answer.
    pub detail: Detail,
    /// The load report of the member.
    pub load: Load,
}

impl From<Outcome> for AttemptReport {
    fn from(outcome: Outcome) -> Self {
        AttemptReport { outcome, detail: Detail::Unspecified, load: Load::default() }
    }
}

/// What the frontend does after it has reported the end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The request is finished.
    Done,
    /// The frontend carries out this verdict.
    Verdict(Verdict),
    /// The frontend waits: the waiter receives the next verdict, or the attempt had already ended.
    Wait,
}

/// Receives the verdicts on one request that result from timers.
pub trait Waiter {
    /// Receives a verdict.
    fn deliver(&self, verdict: Verdict);

    /// Cancels an attempt that has timed out at its store. Other attempts of the request in flight continue.
    fn withdraw(&self, attempt: u32);
}
