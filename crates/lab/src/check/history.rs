//! The latest entries of the trace by what they are about, to be shown with findings.

use super::rule::Subject;
use crate::trace::{BusChange, EventKind, TraceEvent};
use std::collections::{BTreeMap, HashMap};

/// Entries that are kept of one subject.
const MAX_ENTRIES: usize = 40;
/// Subjects whose entries are kept, the newest ones.
const MAX_SUBJECTS: usize = 20_000;

/// Entries by what they are about.
#[derive(Default)]
pub(super) struct History {
    /// The requests that attempts belong to.
    requests: HashMap<u64, u64>,
    /// Entries by the number of their subject.
    entries: BTreeMap<u64, Vec<TraceEvent>>,
    /// Subjects are numbered in the order in which they came.
    numbers: HashMap<Subject, u64>,
    next_number: u64,
}

impl History {
    /// The subject of an entry. Entries of requests that are not known, and of all stores, have none.
    fn subject_of(&mut self, seen: &TraceEvent) -> Option<Subject> {
        match &seen.what {
            EventKind::Asked { id, .. }
            | EventKind::Answered { id, .. }
            | EventKind::Broke { id }
            | EventKind::Left { id }
            | EventKind::Withdrawn { id } => Some(Subject::Request(*id)),
            EventKind::Arrived { id, attempt, .. } => {
                self.requests.insert(*attempt, *id);
                Some(Subject::Request(*id))
            }
            EventKind::Ended { attempt, .. }
            | EventKind::GivenUp { attempt, .. }
            | EventKind::Lost { attempt } => self.requests.remove(attempt).map(Subject::Request),
            EventKind::Stands { change } => match change {
                BusChange::Up { store, .. }
                | BusChange::Draining { store }
                | BusChange::Removed { store } => Some(Subject::Participant(*store)),
                BusChange::Purge { .. } => None,
            },
            EventKind::Fell { store }
            | EventKind::Suspended { store, .. }
            | EventKind::ResumeAsked { store, .. } => Some(Subject::Participant(*store)),
            EventKind::Process { whom, .. } => Some(Subject::Participant(*whom)),
            EventKind::Fault { .. } => None,
        }
    }

    /// Keeps an entry.
    pub(super) fn add(&mut self, seen: &TraceEvent) {
        if let Some(subject) = self.subject_of(seen) {
            let number = *self.numbers.entry(subject).or_insert(self.next_number);
            if number == self.next_number {
                self.next_number += 1;
                self.entries.insert(number, Vec::new());
            }
            if let Some(entries) = self.entries.get_mut(&number).filter(|entries| entries.len() < MAX_ENTRIES)
            {
                entries.push(seen.clone());
            }
        }
        self.forget_oldest();
    }

    fn forget_oldest(&mut self) {
        while self.entries.len() > MAX_SUBJECTS {
            let Some((number, _)) = self.entries.pop_first() else { break };
            if self.numbers.len() > 2 * MAX_SUBJECTS {
                self.numbers.retain(|_, kept| *kept > number);
            }
        }
    }

    /// The entries of a subject.
    pub(super) fn of(&self, subject: Subject) -> Vec<TraceEvent> {
        let number = self.numbers.get(&subject);
        number.and_then(|number| self.entries.get(number)).cloned().unwrap_or_default()
    }
}
