//! Connections that the gateway ends by itself: after a timeout, while it is draining or about to exit, and when their
//! certificates expire.

use super::connection_state::FIRST_BYTE_GRACE;
use super::entry::Entry;
use super::{Clients, ConnectionState};
use crate::net::configuration::identity::Guard;
use crate::net::frontend::tls::Secure;
use crate::net::lock;
use crate::net::service::ConnectionDraining;
use sagearch_identity::Presented;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After a connection was shut without an answer, its client has seen that after this and sends nothing more.
const CLOSE_GRACE: Duration = Duration::from_millis(250);
/// While the gateway is draining, a connection gets at least this long for its request to come in full.
const DRAINING_REQUEST_TIME: Duration = FIRST_BYTE_GRACE.saturating_mul(5);

impl Clients {
    /// Closes connections whose state has timed out, and those without a request while the gateway is draining. To be
    /// called regularly.
    pub fn sweep(&self, draining: Option<ConnectionDraining>) {
        let now = Instant::now();
        for entry in lock(&self.entries).values_mut() {
            let timed_out = entry.state.timeout().is_some_and(|timeout| now - entry.since > timeout);
            if timed_out || draining.is_some_and(|draining| must_drain(entry, draining, now)) {
                entry.expire(now);
            }
        }
    }

    /// Shuts idle connections because the process is about to exit, and returns on how many connections something may
    /// still be owed. A connection with its last answer counts until its client has closed it, and one that was shut
    /// counts until its client has had time to see that: if the process exited before, it would reset them.
    pub fn shut_idle(&self) -> usize {
        let now = Instant::now();
        let mut owed = 0;
        for entry in lock(&self.entries).values_mut() {
            let is_idle = match entry.state {
                // Clients send as soon as they are connected: the first request may be on its way.
                ConnectionState::New => now - entry.since > FIRST_BYTE_GRACE,
                state => state == ConnectionState::Idle,
            };
            if is_idle && !entry.has_input() {
                entry.shut(now);
            }
            let is_owed = entry.state != ConnectionState::Shut || now - entry.since < CLOSE_GRACE;
            owed += usize::from(is_owed);
        }
        owed
    }

    /// Shuts idle connections whose certificates are not valid any more or expire soon. Their clients open new ones,
    /// with the certificates that they have by then.
    pub fn shut_expired_identities(&self, guard: &Guard) {
        if !guard.version.requires_admission() {
            return;
        }
        let has_expired = |presented: &Presented| {
            guard.admission.expires_soon(presented) || !guard.admission.is_certificate_valid(presented)
        };
        // The table is not locked while certificates are checked, so an entry is looked at again before it is shut.
        for (number, secure) in self.idle_secure_connections() {
            if secure.presented().is_some_and(has_expired)
                && let Some(entry) = lock(&self.entries).get_mut(&number)
                && entry.state == ConnectionState::Idle
                && !entry.has_input()
            {
                entry.shut(Instant::now());
            }
        }
    }

    /// The numbers and TLS sessions of idle connections.
    fn idle_secure_connections(&self) -> Vec<(u64, Arc<Secure>)> {
        lock(&self.entries)
            .iter()
            .filter(|(_, entry)| entry.state == ConnectionState::Idle)
            .filter_map(|(number, entry)| Some((*number, entry.secure.clone()?)))
            .collect()
    }
}

/// Whether the grace period of a connection without a request is over while the gateway is draining.
fn must_drain(entry: &Entry, draining: ConnectionDraining, now: Instant) -> bool {
    match entry.state {
        ConnectionState::Idle => draining.elapsed > draining.idle_grace,
        ConnectionState::New | ConnectionState::Receiving => {
            draining.elapsed > draining.request_grace && now - entry.since > DRAINING_REQUEST_TIME
        }
        _ => false,
    }
}

impl Entry {
    /// Ends the connection as its state demands.
    fn expire(&mut self, now: Instant) {
        match self.state {
            // What has come may be a complete request: its coroutine reads it first.
            ConnectionState::New | ConnectionState::Idle if self.has_input() => {}
            ConnectionState::New | ConnectionState::Idle => self.shut(now),
            // A client that has sent a part of a request still gets an answer.
            ConnectionState::Receiving | ConnectionState::Rejected => self.end_request_wait(now),
            // Both directions: a read that ends a slow handshake must not be taken for the client's close.
            _ => drop(self.stream.shutdown(Shutdown::Both)),
        }
    }
}
