//! Polls that are held until there is something new, or until their hold ends.

use super::Session;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldPoll {
    pub from: u64,
    pub ends: Micros,
    /// It is to be answered with a snapshot, whatever its `from`.
    pub snapshot: bool,
}

/// One poll at most for each session.
#[derive(Debug, Default)]
pub struct HeldPolls {
    polls: BTreeMap<Session, HeldPoll>,
    by_end: BTreeSet<(Micros, Session)>,
}

impl HeldPolls {
    pub fn insert(&mut self, session: Session, poll: HeldPoll) {
        self.remove(session);
        self.by_end.insert((poll.ends, session));
        self.polls.insert(session, poll);
    }

    pub fn remove(&mut self, session: Session) -> Option<HeldPoll> {
        let poll = self.polls.remove(&session)?;
        self.by_end.remove(&(poll.ends, session));
        Some(poll)
    }

    pub fn contains(&self, session: Session) -> bool {
        self.polls.contains_key(&session)
    }

    pub fn len(&self) -> usize {
        self.polls.len()
    }

    pub fn first_end(&self) -> Option<Micros> {
        self.by_end.first().map(|(ends, _)| *ends)
    }

    /// Takes out the polls whose hold has ended.
    pub fn take_ended(&mut self, now: Micros) -> Vec<(Session, HeldPoll)> {
        let ended: Vec<Session> =
            self.by_end.iter().take_while(|(ends, _)| *ends <= now).map(|(_, session)| *session).collect();
        self.take(ended)
    }

    /// Takes out the polls for which there is something new.
    pub fn take_older(&mut self, last: u64) -> Vec<(Session, HeldPoll)> {
        let older =
            |(session, poll): (&Session, &HeldPoll)| (poll.snapshot || poll.from < last).then_some(*session);
        let older = self.polls.iter().filter_map(older).collect();
        self.take(older)
    }

    /// All numbers that they know are void.
    pub fn mark_all_for_snapshot(&mut self) {
        for poll in self.polls.values_mut() {
            poll.snapshot = true;
        }
    }

    fn take(&mut self, sessions: Vec<Session>) -> Vec<(Session, HeldPoll)> {
        sessions.into_iter().filter_map(|session| Some((session, self.remove(session)?))).collect()
    }
}
