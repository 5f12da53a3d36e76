//! Admission of sessions: limits them in total and per address, and spreads the retries of rejected ones.

use super::Session;
use crate::{MILLISECOND, Micros};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// The shortest Retry-After.
const MIN_RETRY_AFTER: Micros = 100 * MILLISECOND;
/// The longest Retry-After.
const MAX_RETRY_AFTER: Micros = 1_000 * MILLISECOND;
/// The interval between the retries of two rejected sessions.
const RETRY_SPACING: Micros = MILLISECOND;

/// The admitted sessions.
#[derive(Debug)]
pub struct Admission {
    max_sessions: usize,
    max_sessions_per_address: usize,
    sessions: BTreeMap<Session, IpAddr>,
    by_address: BTreeMap<IpAddr, usize>,
    /// When the most recently rejected session is to retry.
    last_retry: Micros,
}

impl Admission {
    pub fn new(max_sessions: usize, max_sessions_per_address: usize) -> Admission {
        let (sessions, by_address) = (BTreeMap::new(), BTreeMap::new());
        Admission { max_sessions, max_sessions_per_address, sessions, by_address, last_retry: 0 }
    }

    /// Returns whether the session may poll. An admitted session counts until it is closed.
    pub fn admit(&mut self, session: Session, address: IpAddr) -> bool {
        if self.sessions.contains_key(&session) {
            return true;
        }
        let address = address.to_canonical();
        let sessions_of_address = self.by_address.get(&address).copied().unwrap_or(0);
        if self.sessions.len() >= self.max_sessions || sessions_of_address >= self.max_sessions_per_address {
            return false;
        }
        self.sessions.insert(session, address);
        self.by_address.insert(address, sessions_of_address + 1);
        true
    }

    pub fn close(&mut self, session: Session) {
        let Some(address) = self.sessions.remove(&session) else { return };
        if let Some(count) = self.by_address.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&address);
            }
        }
    }

    /// The Retry-After of a session that is rejected now.
    pub fn retry_after(&mut self, now: Micros) -> Micros {
        let (earliest, latest) = (now.saturating_add(MIN_RETRY_AFTER), now.saturating_add(MAX_RETRY_AFTER));
        self.last_retry = self.last_retry.saturating_add(RETRY_SPACING).clamp(earliest, latest);
        self.last_retry - now
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }
}
