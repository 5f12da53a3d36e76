//! Slots that work on one job each, and a room in which further jobs wait in their order.

use std::collections::VecDeque;

/// What becomes of a job that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    Begins,
    Waits,
    /// Slots and room are taken.
    Refused,
}

#[derive(Clone, Debug)]
pub struct Station<J> {
    slots: usize,
    room: usize,
    busy: usize,
    waiting: VecDeque<J>,
}

impl<J: PartialEq> Station<J> {
    pub fn new(slots: usize, room: usize) -> Station<J> {
        Station { slots, room, busy: 0, waiting: VecDeque::new() }
    }

    pub fn enter(&mut self, job: J) -> Entry {
        if self.busy < self.slots {
            self.busy += 1;
            return Entry::Begins;
        }
        if self.waiting.len() >= self.room {
            return Entry::Refused;
        }
        self.waiting.push_back(job);
        Entry::Waits
    }

    /// A slot has done its job. The job that begins in its place.
    pub fn leave(&mut self) -> Option<J> {
        self.busy = self.busy.saturating_sub(1);
        self.begin()
    }

    fn begin(&mut self) -> Option<J> {
        if self.busy >= self.slots {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.busy += 1;
        Some(job)
    }

    /// More or fewer slots, as a cold one gets warm. Jobs that begin at once; those that are worked on go on.
    pub fn set_slots(&mut self, slots: usize) -> Vec<J> {
        self.slots = slots;
        std::iter::from_fn(|| self.begin()).collect()
    }

    /// Whether it waited; one that is worked on keeps its slot.
    pub fn withdraw(&mut self, job: &J) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|held| held != job);
        self.waiting.len() < before
    }

    pub fn clear(&mut self) {
        self.busy = 0;
        self.waiting.clear();
    }

    pub fn inside(&self) -> usize {
        self.busy + self.waiting.len()
    }

    pub fn slots(&self) -> usize {
        self.slots
    }
}

#[cfg(test)]
mod tests;
