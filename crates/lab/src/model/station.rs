//! A service station: slots that work on one job each, and a queue of further jobs.

use std::collections::VecDeque;

/// What becomes of a job that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A slot begins on it.
    Begins,
    /// It is queued.
    Waits,
    /// All slots are busy and the queue is full.
    Refused,
}

/// Slots with a queue.
#[derive(Clone, Debug)]
pub struct Station<J> {
    slots: usize,
    queue_limit: usize,
    busy: usize,
    queue: VecDeque<J>,
}

impl<J: PartialEq> Station<J> {
    /// A station without jobs.
    pub fn new(slots: usize, queue_limit: usize) -> Station<J> {
        Station { slots, queue_limit, busy: 0, queue: VecDeque::new() }
    }

    /// A job arrives.
    pub fn enter(&mut self, job: J) -> Entry {
        if self.busy < self.slots {
            self.busy += 1;
            return Entry::Begins;
        }
        if self.queue.len() >= self.queue_limit {
            return Entry::Refused;
        }
        self.queue.push_back(job);
        Entry::Waits
    }

    /// A slot has completed its job. Returns the job that begins in its place.
    pub fn leave(&mut self) -> Option<J> {
        self.busy = self.busy.saturating_sub(1);
        self.begin()
    }

    fn begin(&mut self) -> Option<J> {
        if self.busy >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.busy += 1;
        Some(job)
    }

    /// Changes the number of slots. Returns the jobs that begin now; those that are worked on go on.
    pub fn set_slots(&mut self, slots: usize) -> Vec<J> {
        self.slots = slots;
        std::iter::from_fn(|| self.begin()).collect()
    }

    /// Takes a job out of the queue. Returns whether it was there; one that is worked on keeps its slot.
    pub fn withdraw(&mut self, job: &J) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued != job);
        self.queue.len() < before
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.busy = 0;
        self.queue.clear();
    }

    /// Jobs that are queued or worked on.
    pub fn jobs(&self) -> usize {
        self.busy + self.queue.len()
    }
}

#[cfg(test)]
mod tests;
