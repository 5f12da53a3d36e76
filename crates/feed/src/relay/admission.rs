//! Who may poll: sessions in all and of one address are bounded, and those turned away come back one after the other.

use super::Session;
use crate::{MILLISECOND, Micros};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Nobody is asked to come back sooner.
const SHORTEST_RETRY: Micros = 100 * MILLISECOND;
/// Nobody is asked to come back later.
const LONGEST_RETRY: Micros = 1_000 * MILLISECOND;
/// The time between two that were turned away, as they come back.
const RETRY_PACE: Micros = MILLISECOND;

#[derive(Debug)]
pub struct Admission {
    sessions_room: usize,
    address_room: usize,
    sessions: BTreeMap<Session, IpAddr>,
    by_address: BTreeMap<IpAddr, usize>,
    /// When whoever was turned away last is to come back.
    last_retry: Micros,
}

impl Admission {
    pub fn new(sessions_room: usize, address_room: usize) -> Admission {
        let (sessions, by_address) = (BTreeMap::new(), BTreeMap::new());
        Admission { sessions_room, address_room, sessions, by_address, last_retry: 0 }
    }

    /// Whether the session may poll. It is counted until it is closed.
    pub fn admit(&mut self, session: Session, address: IpAddr) -> bool {
        if self.sessions.contains_key(&session) {
            return true;
        }
        let address = address.to_canonical();
        let of_address = self.by_address.get(&address).copied().unwrap_or(0);
        if self.sessions.len() >= self.sessions_room || of_address >= self.address_room {
            return false;
        }
        self.sessions.insert(session, address);
        self.by_address.insert(address, of_address + 1);
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

    /// After how long whoever is turned away now is to come back.
    pub fn retry_after(&mut self, now: Micros) -> Micros {
        let (first, latest) = (now.saturating_add(SHORTEST_RETRY), now.saturating_add(LONGEST_RETRY));
        self.last_retry = self.last_retry.saturating_add(RETRY_PACE).clamp(first, latest);
        self.last_retry - now
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }
}
