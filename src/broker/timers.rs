//! The timers of the broker, ordered by due time.

use crate::interface::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DueTimer {
    /// A timer of the policies, by the number of its [`TimerId`].
    Policy(u64),
    /// The timeout of an attempt, by its request and number.
    AttemptTimeout(RequestId, u32),
}

/// Timers that are not due yet.
#[derive(Default)]
pub(super) struct Timers {
    by_due_time: BinaryHeap<Reverse<(Micros, DueTimer)>>,
}

impl Timers {
    /// Sets a timer of the policies.
    pub fn set_policy(&mut self, due_at: Micros, timer: TimerId) {
        self.by_due_time.push(Reverse((due_at, DueTimer::Policy(timer.0))));
    }

    /// Sets the timeout of an attempt.
    pub fn set_attempt_timeout(&mut self, due_at: Micros, request: RequestId, attempt: u32) {
        self.by_due_time.push(Reverse((due_at, DueTimer::AttemptTimeout(request, attempt))));
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<DueTimer> {
        if self.by_due_time.peek().is_none_or(|Reverse((due_at, _))| *due_at > now) {
            return None;
        }
        self.by_due_time.pop().map(|Reverse((_, timer))| timer)
    }
}
