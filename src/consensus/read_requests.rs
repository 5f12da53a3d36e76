//! Requests for the commit index of the group (Raft dissertation, section 6.4: the leader answers after a majority has
//! confirmed that it still leads).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How often the commit index is asked for.
const INTERVAL: Duration = Duration::from_millis(200);
/// How many requests may be unanswered; of more, the oldest is given up.
const MAX_OPEN: usize = 16;

/// A request that has no answer yet.
struct OpenRequest {
    context: Vec<u8>,
    requested_at: Instant,
}

/// The requests of one process.
pub struct ReadRequests {
    id: u64,
    /// Distinguishes the requests of this process from those of earlier ones.
    incarnation: u64,
    made: u64,
    next_at: Option<Instant>,
    open: VecDeque<OpenRequest>,
}

impl ReadRequests {
    /// The requests of the instance with this id.
    pub fn new(id: u64, incarnation: u64) -> ReadRequests {
        ReadRequests { id, incarnation, made: 0, next_at: None, open: VecDeque::new() }
    }

    /// The context of the request that is to be sent now, if it is time for one.
    pub fn next(&mut self, now: Instant) -> Option<Vec<u8>> {
        if self.next_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_at = Some(now + INTERVAL);
        self.made += 1;
        let numbers = [self.id, self.incarnation, self.made];
        let context: Vec<u8> = numbers.iter().flat_map(|number| number.to_be_bytes()).collect();
        if self.open.len() == MAX_OPEN {
            self.open.pop_front();
        }
        self.open.push_back(OpenRequest { context: context.clone(), requested_at: now });
        Some(context)
    }

    /// When the request with this context was made. `None`: it was given up, is answered already, or is not of this process.
    pub fn answered(&mut self, context: &[u8]) -> Option<Instant> {
        let position = self.open.iter().position(|request| request.context == context)?;
        // Earlier requests say nothing that this one doesn't.
        self.open.drain(..=position).next_back().map(|request| request.requested_at)
    }
}

#[cfg(test)]
mod tests;
