//! Names of classes, zones and machine kinds in the settings.

use super::ConnectionLimits;
use crate::interface::{Micros, Role};
use std::collections::BTreeMap;

/// Indices of the used fields in a load report. `None` for a field that the stores don't report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFields {
    /// The number of requests in flight at the store.
    pub in_flight: Option<usize>,
    /// The share of the store's processor time in use.
    pub busy: Option<usize>,
}

/// The settings of one gateway that the routing policies don't use: names, and limits of connections.
#[derive(Clone)]
pub struct Names {
    /// The index of each class in the policies' settings, by class name.
    pub classes: BTreeMap<String, usize>,
    /// The index of each zone in the policies' settings, by zone name.
    pub zones: BTreeMap<String, usize>,
    /// The index of the gateway's own zone.
    pub zone: usize,
    /// The role of each machine kind, by its name.
    pub roles: BTreeMap<String, Role>,
    /// Indices of the used fields in load reports.
    pub load_report: LoadReportFields,
    /// Limits of connections to stores.
    pub connections: ConnectionLimits,
    /// The longest deadline of any class, in microseconds. No client waits longer.
    pub longest_deadline: Micros,
}

impl Names {
    /// Returns the role of a machine kind. A kind that is not listed is a cache.
    pub fn role(&self, kind: &str) -> Role {
        self.roles.get(kind).copied().unwrap_or(Role::Cache)
    }
}

impl sagearch_operators::DeploymentContext for Names {
    fn has_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    fn allows_probes(&self) -> bool {
        self.connections.probes
    }
}
