//! The pending polls, which wait for new events or for the end of their hold.

use super::Session;
use crate::{Micros, Offset};
use std::collections::{BTreeMap, BTreeSet};

/// A poll that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingPoll {
    pub session: Session,
    pub from: Offset,
    /// When the hold of the poll ends.
    pub expires_at: Micros,
    /// Whether the poll is answered with a snapshot, regardless of its `from`.
    pub needs_snapshot: bool,
}

/// The pending polls, at most one per session.
#[derive(Debug, Default)]
pub struct PendingPolls {
    polls: BTreeMap<Session, PendingPoll>,
    by_expiry: BTreeSet<(Micros, Session)>,
}

impl PendingPolls {
    /// Adds a poll, which replaces an earlier one of the same session.
    pub fn insert(&mut self, poll: PendingPoll) {
        self.remove(poll.session);
        self.by_expiry.insert((poll.expires_at, poll.session));
        self.polls.insert(poll.session, poll);
    }

    pub fn remove(&mut self, session: Session) -> Option<PendingPoll> {
        let poll = self.polls.remove(&session)?;
        self.by_expiry.remove(&(poll.expires_at, session));
        Some(poll)
    }

    pub fn contains(&self, session: Session) -> bool {
        self.polls.contains_key(&session)
    }

    pub fn len(&self) -> usize {
        self.polls.len()
    }

    pub fn first_expiry(&self) -> Option<Micros> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// Removes and returns the polls whose hold has ended.
    pub fn take_expired(&mut self, now: Micros) -> Vec<PendingPoll> {
        let expired = self.by_expiry.iter().take_while(|(expires_at, _)| *expires_at <= now);
        let sessions = expired.map(|(_, session)| *session).collect();
        self.take(sessions)
    }

    /// Removes and returns the polls for which there are new events up to `last`.
    pub fn take_outdated(&mut self, last: Offset) -> Vec<PendingPoll> {
        let outdated = self.polls.values().filter(|poll| poll.needs_snapshot || poll.from < last);
        let sessions = outdated.map(|poll| poll.session).collect();
        self.take(sessions)
    }

    /// Marks all polls to be answered with a snapshot: their offsets are no longer valid when another feed begins.
    pub fn mark_all_for_snapshot(&mut self) {
        for poll in self.polls.values_mut() {
            poll.needs_snapshot = true;
        }
    }

    fn take(&mut self, sessions: Vec<Session>) -> Vec<PendingPoll> {
        sessions.into_iter().filter_map(|session| self.remove(session)).collect()
    }
}
