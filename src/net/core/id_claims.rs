//! Claims of request ids between the two processes of an upgrade.
//!
//! A request that must not run twice is served by one process only once the other one has granted its id: a process that
//! grants an id takes it into use itself, and denies an id that it has in use. Where both claim one id at once, both are
//! denied.

use crate::net::lock;
use std::collections::HashMap;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum Claim {
    /// The other process has not answered yet.
    Pending,
    /// This process alone may serve the request.
    Granted,
    /// The other process has the id in use.
    Denied,
}

/// What is to be told to the other process.
#[derive(Debug, Default, PartialEq, Eq)]
pub(in crate::net) struct OutgoingClaims {
    /// Ids that this process claims.
    pub claims: Vec<u64>,
    /// Claims of the other process that are granted.
    pub granted: Vec<u64>,
    /// Claims of the other process that are denied.
    pub denied: Vec<u64>,
}

impl OutgoingClaims {
    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.granted.is_empty() && self.denied.is_empty()
    }
}

#[derive(Default)]
struct State {
    /// Whether there is another process that answers claims.
    has_peer: bool,
    outgoing: OutgoingClaims,
    /// The claims of this process whose requests wait.
    claims: HashMap<u64, Claim>,
}

/// The claims of this process and the answers to those of the other one.
#[derive(Default)]
pub(in crate::net) struct IdClaims {
    state: Mutex<State>,
    /// Signalled when something is to be told.
    outgoing: Condvar,
}

impl IdClaims {
    /// Sets whether another process answers claims. When it has ended, open claims are granted: what it had in use, it had
    /// claimed or handed over.
    pub(in crate::net) fn set_peer(&self, has_peer: bool) {
        let mut state = lock(&self.state);
        state.has_peer = has_peer;
        state.outgoing = OutgoingClaims::default();
        if !has_peer {
            state.claims.values_mut().for_each(|claim| *claim = Claim::Granted);
        }
    }

    /// Claims an id that this process has taken into use. If the claim is pending, [`IdClaims::poll`] returns the answer.
    pub(in crate::net) fn claim(&self, id: u64) -> Claim {
        let mut state = lock(&self.state);
        if !state.has_peer {
            return Claim::Granted;
        }
        state.claims.insert(id, Claim::Pending);
        state.outgoing.claims.push(id);
        self.outgoing.notify_one();
        Claim::Pending
    }

    /// The state of a claim. A claim that is answered, or of which the request gives up, is forgotten.
    pub(in crate::net) fn poll(&self, id: u64, gives_up: bool) -> Claim {
        let mut state = lock(&self.state);
        let claim = state.claims.get(&id).copied().unwrap_or(Claim::Denied);
        if gives_up || claim != Claim::Pending {
            state.claims.remove(&id);
        }
        claim
    }

    /// Records the other process's answers.
    pub(in crate::net) fn record_answers(&self, granted: &[u64], denied: &[u64]) {
        let mut state = lock(&self.state);
        let answers = [(granted, Claim::Granted), (denied, Claim::Denied)];
        for (id, answer) in
            answers.into_iter().flat_map(|(ids, answer)| ids.iter().map(move |id| (id, answer)))
        {
            if let Some(claim) = state.claims.get_mut(id) {
                *claim = answer;
            }
        }
    }

    /// Tells the other process the answers to its claims.
    pub(in crate::net) fn send_answers(&self, granted: Vec<u64>, denied: Vec<u64>) {
        let mut state = lock(&self.state);
        state.outgoing.granted.extend(granted);
        state.outgoing.denied.extend(denied);
        self.outgoing.notify_one();
    }

    /// Takes what is to be told, as soon as there is something, or nothing after `interval`.
    pub(in crate::net) fn take_outgoing(&self, interval: Duration) -> OutgoingClaims {
        let state = lock(&self.state);
        let waited = self.outgoing.wait_timeout_while(state, interval, |state| state.outgoing.is_empty());
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut state.outgoing)
    }
}

#[cfg(test)]
mod tests;
