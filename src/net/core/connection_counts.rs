//! Sharing of descriptors between the two processes of a gateway during an upgrade.

use super::Core;
use serde::{Deserialize, Serialize};

/// The connection counts of a process. The two processes exchange them, under these field names, in status messages.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(in crate::net) struct ConnectionCounts {
    /// Client connections.
    pub(super) clients: usize,
    /// Store connections.
    pub(super) stores: usize,
}

impl ConnectionCounts {
    /// The number by which this process must lower its client limit while the other process has these connections and
    /// this one has `stores` store connections. Both kinds share the descriptors, so clients may use those that store
    /// connections do not need; only the excess over `max_store_connections` lowers the client limit.
    pub(super) fn excess_clients(self, stores: usize, max_store_connections: usize) -> usize {
        (self.clients + self.stores + stores).saturating_sub(max_store_connections)
    }
}

impl Core {
    /// The current connection counts of this process.
    pub(in crate::net) fn held_connections(&self) -> ConnectionCounts {
        ConnectionCounts { clients: self.clients.connected(), stores: self.stores.connections() }
    }

    /// Lowers the limits of this process by the connections of the other process, so that both together stay within the
    /// limits of a single process.
    pub(in crate::net) fn leave_capacity_to(&self, other: ConnectionCounts) {
        let own_stores = self.held_connections().stores;
        let excess = other.excess_clients(own_stores, self.max_store_connections);
        self.clients.reserve_elsewhere(excess);
        self.stores.reserve_connections(other.stores);
    }
}
