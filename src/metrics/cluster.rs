//! Counters of the state that gateways share.

use super::labels::What;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters of the state that gateways share. Clones share their counters.
#[derive(Clone, Debug, Default)]
pub struct ClusterCounters {
    dropped: Family<What, Counter>,
    changes: Family<What, Counter>,
    spent: Family<What, Counter>,
    bytes: Family<What, Counter>,
    /// Slices whose leases this gateway holds.
    pub homes: Gauge,
    /// Other members of the region that are alive.
    pub members: Gauge,
}

impl ClusterCounters {
    /// Counts a message or an amount that had no effect, by its cause.
    pub fn lost(&self, cause: &'static str) {
        self.dropped.get_or_create(&What { what: cause }).inc();
    }

    /// Counts a call that was paid from a shared budget, by what it was paid from.
    pub fn spent(&self, source: &'static str) {
        self.spent.get_or_create(&What { what: source }).inc();
    }

    /// Counts changes of leases and claims, by their kind.
    pub fn change(&self, kind: &'static str, times: u64) {
        self.changes.get_or_create(&What { what: kind }).inc_by(times);
    }

    /// Counts bytes of datagrams between gateways, by their direction.
    pub fn bytes(&self, direction: &'static str, count: usize) {
        self.bytes.get_or_create(&What { what: direction }).inc_by(count as u64);
    }

    /// Registers the counters under their names.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "What was shared and came to nothing, by cause";
        registry.register("shared_dropped", help, self.dropped.clone());
        let help = "Homes gained and lost, claims, splits, fences";
        registry.register("shared_changes", help, self.changes.clone());
        let help = "Calls paid from a shared budget, by from what";
        registry.register("shared_spent", help, self.spent.clone());
        registry.register("shared_bytes", "Bytes of datagrams between gateways", self.bytes.clone());
        registry.register("shared_homes", "Slices that this gateway is home of", self.homes.clone());
        let help = "Other members of the region that are alive";
        registry.register("shared_members", help, self.members.clone());
    }
}
