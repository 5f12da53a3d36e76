//! Growing pauses between the attempts to write a file.

use std::time::Duration;

/// Pauses that double from a first one up to a longest one.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// A backoff whose first pause is `first` and none of whose pauses is longer than `longest`.
    pub fn new(first: Duration, longest: Duration) -> Backoff {
        Backoff { first, longest, next: first }
    }

    /// The pause before the next attempt.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = pause.saturating_mul(2).min(self.longest);
        pause
    }

    /// Begins anew, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
