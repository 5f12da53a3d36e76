//! Eviction: which connection is closed where the table is full or the process is out of descriptors. A connection on
//! which an answer is owed is never evicted.

use super::connection_state::FIRST_BYTE_GRACE;
use super::entry::Entry;
use super::{Clients, ConnectionState};
use crate::net::{descriptors, lock};
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::time::Instant;

/// Of the table, at most one connection in so many may be in its TLS handshake.
const CONNECTIONS_PER_HANDSHAKE: usize = 4;

/// What a connection is evicted for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EvictionPurpose {
    /// A slot in a full table.
    TableSlot,
    /// A slot in a full table, taken only from a connection that has had its last answer.
    ClosingTableSlot,
    /// Another handshake, where the limit of handshakes in progress is reached.
    Handshake,
    /// A descriptor, which must be free at once.
    Descriptor,
    /// Memory of a request that has come in part.
    Buffer {
        /// The connection that needs it.
        for_number: u64,
    },
}

/// In which order connections are evicted: a lower rank goes first, and of one rank the connection that has been in its
/// state longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It has ended, or its handshake is in progress where another one needs the slot.
    First,
    /// No byte of a request has come although there was time for it.
    Silent,
    /// It is idle between requests.
    Idle,
    /// A part of a request has come; its client gets 408 before the connection is closed.
    Receiving,
}

/// One decision on which connection to evict.
struct Eviction {
    purpose: EvictionPurpose,
    now: Instant,
    /// Whether one more connection may be answered 408 now: as many as may be rejected at a time.
    may_answer: bool,
}

impl Eviction {
    /// The rank of a connection; `None`: it stays.
    fn rank(&self, entry: &Entry) -> Option<EvictionRank> {
        if self.purpose == EvictionPurpose::Handshake {
            let is_handshaking = matches!(entry.state, ConnectionState::Handshaking(_));
            return is_handshaking.then_some(EvictionRank::First);
        }
        let past_grace = self.now - entry.since > FIRST_BYTE_GRACE;
        if let EvictionPurpose::Buffer { .. } = self.purpose {
            let is_slow = entry.state == ConnectionState::Receiving && past_grace;
            return is_slow.then_some(EvictionRank::Receiving);
        }
        match entry.state {
            state if state.has_ended() && past_grace => Some(EvictionRank::First),
            _ if self.purpose == EvictionPurpose::ClosingTableSlot => None,
            ConnectionState::Handshaking(_) | ConnectionState::New if past_grace => {
                Some(EvictionRank::Silent)
            }
            ConnectionState::Idle => Some(EvictionRank::Idle),
            // It keeps its descriptor until it is answered, so that this makes no descriptor free at once.
            ConnectionState::Receiving
                if self.purpose == EvictionPurpose::TableSlot && past_grace && self.may_answer =>
            {
                Some(EvictionRank::Receiving)
            }
            _ => None,
        }
    }

    /// The number of the connection to evict. One that has sent something since is not idle any more, although its
    /// coroutine has not run yet: it stays.
    fn choose(&self, entries: &BTreeMap<u64, Entry>) -> Option<u64> {
        let ranked =
            entries.iter().filter_map(|(number, entry)| Some((self.rank(entry)?, entry.since, *number)));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., number)| number).find(|number| {
            let entry = &entries[number];
            if let EvictionPurpose::Buffer { for_number } = self.purpose {
                return *number != for_number;
            }
            entry.state.has_ended() || self.purpose == EvictionPurpose::Handshake || !entry.has_input()
        })
    }
}

impl Clients {
    /// Whether the table has capacity for one more connection, if need be by evicting another one on which no answer is
    /// owed. With `handshake_limit`, beyond which the oldest handshake is evicted, abandoned handshakes take no capacity
    /// from clients that are being served.
    pub(in crate::net) fn ensure_capacity(&self, handshake_limit: Option<usize>) -> bool {
        let max_handshakes = (self.limit / CONNECTIONS_PER_HANDSHAKE).max(1);
        let handshake_limit = handshake_limit.map(|limit| limit.clamp(1, max_handshakes));
        loop {
            if handshake_limit.is_some_and(|limit| self.handshakes_in_progress() >= limit) {
                if !self.evict(EvictionPurpose::Handshake) {
                    return false;
                }
                continue;
            }
            if self.connected() < self.limit() {
                return true;
            }
            // Each turn removes a connection, or changes one to a state that is closing: the loop ends.
            if !self.evict(EvictionPurpose::ClosingTableSlot) {
                if self.occupied_slots() < self.limit() {
                    return true;
                }
                if !self.evict(EvictionPurpose::TableSlot) {
                    return false;
                }
            }
        }
    }

    /// How many connections count against the limit. Those that are closing do not, up to as many as may be rejected at
    /// a time.
    fn occupied_slots(&self) -> usize {
        let entries = lock(&self.entries);
        entries.len() - count_closing(&entries).min(self.max_rejecting)
    }

    fn handshakes_in_progress(&self) -> usize {
        let is_handshaking = |entry: &&Entry| matches!(entry.state, ConnectionState::Handshaking(_));
        lock(&self.entries).values().filter(is_handshaking).count()
    }

    /// Evicts one connection on which no answer is owed. `false`: there is none.
    fn evict(&self, purpose: EvictionPurpose) -> bool {
        let mut entries = lock(&self.entries);
        let now = Instant::now();
        let may_answer = count_closing(&entries) < self.max_rejecting;
        let Some(number) = (Eviction { purpose, now, may_answer }).choose(&entries) else { return false };
        match entries.get_mut(&number) {
            Some(entry) if entry.state == ConnectionState::Receiving => {
                entry.end_request_wait(now);
                true
            }
            // Removed at once: when its coroutine wakes up, the connection has ended and takes no request any more.
            _ => {
                let removed = entries.remove(&number);
                removed.inspect(|entry| drop(entry.stream.shutdown(Shutdown::Both))).is_some()
            }
        }
    }

    /// Ends the wait for the oldest request that has come in part, for the memory that it has. `false`: there is none but that
    /// of the connection `for_number`, which needs the memory.
    pub(in crate::net) fn evict_receiving(&self, for_number: u64) -> bool {
        self.evict(EvictionPurpose::Buffer { for_number })
    }

    /// Evicts a connection, however few there are, if the process is really out of descriptors. Returns whether it did.
    pub(in crate::net) fn evict_if_out_of_descriptors(&self) -> bool {
        descriptors::are_exhausted() && self.evict_for_descriptor()
    }

    /// Evicts a connection of which no byte of a request has come. `false`: there is none.
    pub(in crate::net) fn evict_for_descriptor(&self) -> bool {
        self.evict(EvictionPurpose::Descriptor)
    }
}

fn count_closing(entries: &BTreeMap<u64, Entry>) -> usize {
    entries.values().filter(|entry| entry.state.is_closing()).count()
}
