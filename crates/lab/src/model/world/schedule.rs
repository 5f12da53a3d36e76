//! What is due in the world, by time.

use super::types::{Answer, TaskId};
use crate::model::Micros;
use crate::participant::ParticipantId;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A fill of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillOf {
    /// The store.
    pub store: ParticipantId,
    /// The incarnation of the store that began it.
    pub incarnation: u64,
    /// Its number.
    pub fill: u64,
}

/// What is due.
#[derive(Clone, Debug, PartialEq)]
pub enum Due {
    /// A request arrives at its store.
    Enter(TaskId),
    /// A slot has completed its work on a request.
    WorkDone { store: ParticipantId, incarnation: u64, task: TaskId },
    /// A transfer may have ended.
    Link { store: ParticipantId, incarnation: u64 },
    /// The answer of a source arrives.
    FillAnswered {
        /// The fill that it is for.
        fill: FillOf,
        /// `None`: the source has died.
        answer: Option<Answer>,
    },
    /// A purge takes effect at a store.
    Purge { store: ParticipantId, group: u8, before: Micros },
}

/// An entry of the heap, by time and then by the order in which it was made.
struct Entry {
    at: Micros,
    number: u64,
    due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// What is due, by time.
#[derive(Default)]
pub struct Schedule(BinaryHeap<Reverse<Entry>>);

impl Schedule {
    /// Adds an entry. Of two for one time, that of the lower number is first.
    pub fn push(&mut self, at: Micros, number: u64, due: Due) {
        self.0.push(Reverse(Entry { at, number, due }));
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse(entry)| entry.at)
    }

    /// Takes out the first entry that is due by now, with its time.
    pub fn pop(&mut self, now: Micros) -> Option<(Micros, Due)> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse(entry)| (entry.at, entry.due))
    }
}
