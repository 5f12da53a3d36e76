//! Which connections are served: bounded in all and by address, so that one address can't take the places of others.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Connections that are told 503 at one time; beyond, a connection is closed without an answer.
const LOBBY: usize = 256;
/// Those refused are told to come back after this, and up to this much later, one after the other.
const SHORTEST_RETRY_MS: u64 = 100;
const RETRY_SPREAD_MS: u64 = 900;

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub connections: usize,
    pub per_address: usize,
}

#[derive(Default)]
struct Counts {
    admitted: usize,
    lobby: usize,
    refused: u64,
    by_address: HashMap<IpAddr, usize>,
}

/// Counts connections against their bounds.
pub struct Admission {
    limits: Limits,
    counts: Mutex<Counts>,
}

/// What becomes of a connection. A place is given back when it is dropped.
pub enum Admitted {
    Served(Place),
    /// It is answered 503.
    Refused(LobbyPlace),
    /// It is closed without an answer.
    Dropped,
}

/// The place of a connection that is served.
pub struct Place {
    admission: Arc<Admission>,
    address: IpAddr,
}

/// The place of a connection that is being refused.
pub struct LobbyPlace {
    admission: Arc<Admission>,
    /// When to come back.
    pub retry_after_ms: u64,
}

impl Admission {
    pub fn new(limits: Limits) -> Arc<Admission> {
        Arc::new(Admission { limits, counts: Mutex::default() })
    }

    /// Descriptors that connections may take: those served, those being refused, and the one just accepted.
    pub fn descriptors(limits: Limits) -> usize {
        limits.connections + LOBBY + 1
    }

    /// Finds a place for a connection from an address.
    pub fn admit(self: &Arc<Self>, address: IpAddr) -> Admitted {
        let address = address.to_canonical();
        let mut counts = self.counts();
        let of_address = counts.by_address.get(&address).copied().unwrap_or(0);
        if counts.admitted < self.limits.connections && of_address < self.limits.per_address {
            counts.admitted += 1;
            counts.by_address.insert(address, of_address + 1);
            return Admitted::Served(Place { admission: self.clone(), address });
        }
        counts.refused += 1;
        if counts.lobby < LOBBY {
            counts.lobby += 1;
            let retry_after_ms = SHORTEST_RETRY_MS + counts.refused % RETRY_SPREAD_MS;
            return Admitted::Refused(LobbyPlace { admission: self.clone(), retry_after_ms });
        }
        Admitted::Dropped
    }

    /// Connections that are served now.
    pub fn connections(&self) -> usize {
        self.counts().admitted
    }

    /// Connections that found no place, since the start.
    pub fn refused(&self) -> u64 {
        self.counts().refused
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut counts = self.admission.counts();
        counts.admitted -= 1;
        if let Some(of_address) = counts.by_address.get_mut(&self.address) {
            *of_address -= 1;
            if *of_address == 0 {
                counts.by_address.remove(&self.address);
            }
        }
    }
}

impl Drop for LobbyPlace {
    fn drop(&mut self) {
        self.admission.counts().lobby -= 1;
    }
}
