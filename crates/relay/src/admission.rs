//! Admission control of connections: limits in total and per address, so that one address can't use up the capacity
//! for others.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The maximum number of connections being answered 503 at one time; above it, a connection is closed without an
/// answer.
const MAX_CONCURRENT_REFUSALS: usize = 256;
/// The shortest Retry-After of a refused connection.
const MIN_RETRY_AFTER_MILLIS: u64 = 100;
/// The range over which the Retry-After of refused connections is spread, above the shortest.
const RETRY_AFTER_SPREAD_MILLIS: u64 = 900;

/// Limits on the number of connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of connections in total.
    pub connections: usize,
    /// The maximum number of connections from one address.
    pub per_address: usize,
}

#[derive(Default)]
struct Counts {
    admitted: usize,
    refusals_in_progress: usize,
    refused: u64,
    by_address: HashMap<IpAddr, usize>,
}

/// Admits connections within their limits, and counts them.
pub struct Admission {
    limits: Limits,
    counts: Mutex<Counts>,
}

/// The outcome of admission for a connection. Dropping a permit releases it.
pub enum AdmissionOutcome {
    /// The connection is served.
    Admitted(ConnectionPermit),
    /// The connection is answered 503.
    Refused(RefusalPermit),
    /// The connection is closed without an answer.
    Dropped,
}

/// Counts an admitted connection until it is dropped.
pub struct ConnectionPermit {
    admission: Arc<Admission>,
    address: IpAddr,
}

/// Counts a connection that is being refused until it is dropped.
pub struct RefusalPermit {
    admission: Arc<Admission>,
    /// The time after which the client may retry.
    pub retry_after_ms: u64,
}

impl Admission {
    /// Admission control with these limits and no connections.
    pub fn new(limits: Limits) -> Arc<Admission> {
        Arc::new(Admission { limits, counts: Mutex::default() })
    }

    /// The number of file descriptors that connections may use: those served, those being refused, and the one just
    /// accepted.
    pub fn max_descriptors(limits: Limits) -> usize {
        limits.connections + MAX_CONCURRENT_REFUSALS + 1
    }

    /// Admits, refuses or drops a new connection from an address.
    pub fn admit(self: &Arc<Self>, address: IpAddr) -> AdmissionOutcome {
        let address = address.to_canonical();
        let mut counts = self.counts();
        let connections_from_address = counts.by_address.get(&address).copied().unwrap_or(0);
        if counts.admitted < self.limits.connections && connections_from_address < self.limits.per_address {
            counts.admitted += 1;
            counts.by_address.insert(address, connections_from_address + 1);
            return AdmissionOutcome::Admitted(ConnectionPermit { admission: self.clone(), address });
        }
        counts.refused += 1;
        if counts.refusals_in_progress < MAX_CONCURRENT_REFUSALS {
            counts.refusals_in_progress += 1;
            let retry_after_ms = MIN_RETRY_AFTER_MILLIS + counts.refused % RETRY_AFTER_SPREAD_MILLIS;
            return AdmissionOutcome::Refused(RefusalPermit { admission: self.clone(), retry_after_ms });
        }
        AdmissionOutcome::Dropped
    }

    /// The number of connections that are served now.
    pub fn connections(&self) -> usize {
        self.counts().admitted
    }

    /// The number of connections that were refused or dropped since the start.
    pub fn refused(&self) -> u64 {
        self.counts().refused
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut counts = self.admission.counts();
        counts.admitted -= 1;
        if let Some(connections_from_address) = counts.by_address.get_mut(&self.address) {
            *connections_from_address -= 1;
            if *connections_from_address == 0 {
                counts.by_address.remove(&self.address);
            }
        }
    }
}

impl Drop for RefusalPermit {
    fn drop(&mut self) {
        self.admission.counts().refusals_in_progress -= 1;
    }
}
