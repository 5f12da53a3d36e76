//! A gateway's coordination state: its leases, the claims of regions, the live members, and the contacts in other regions.

use super::alive::FailureDetector;
use crate::metrics::{ClusterCounters, gauge_value};
use sagearch_homes::lease_holder::LeaseHolder;
use sagearch_homes::{Claim, Epoch, Micros, Region, RegionClaims, Slice};
use std::collections::BTreeMap;

/// This gateway's contact in another region.
#[derive(Clone, Copy, Default)]
pub struct Contact {
    /// Whether a message from the region was received since the last broadcast to it.
    pub reachable: bool,
    /// The number of broadcasts that no message from the region followed; it selects the member to send to.
    pub failed_attempts: usize,
}

/// This gateway's knowledge of the fleet's leases, claims and live members.
pub struct Coordination {
    /// This gateway's leases, and its votes on the leases of others.
    pub holder: LeaseHolder,
    /// The claims of all regions.
    pub region_claims: RegionClaims,
    /// Detects which members of the region are alive.
    pub failure_detector: FailureDetector,
    /// The contact in each region, indexed by region number.
    pub contacts: Vec<Contact>,
    /// Decides when operators are notified of a missing majority.
    pub majority_monitor: MajorityMonitor,
}

impl Coordination {
    /// Returns when the next probe, renewal or claim is due, or `None` if nothing is scheduled.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let claims = self.holder.held_leases(now).next().map(|_| self.region_claims.next_deadline());
        [self.failure_detector.next_deadline(), self.holder.next_deadline(now), claims]
            .into_iter()
            .flatten()
            .min()
    }

    /// Passes the set of live members from the failure detector to the lease holder and to the metrics.
    pub fn update_members(&mut self, counters: &ClusterCounters) {
        let members = self.failure_detector.members();
        counters.members.set(gauge_value(members.len()));
        self.holder.set_alive_members(members);
    }

    /// Returns the active claims on slices whose leases this gateway holds.
    pub fn active_claims(&self, now: Micros, held: &BTreeMap<Slice, Epoch>) -> BTreeMap<Slice, Claim> {
        let active = |(slice, epoch): (&Slice, &Epoch)| {
            Some((*slice, self.region_claims.active_claim(now, *slice, Some(*epoch))?))
        };
        held.iter().filter_map(active).collect()
    }

    /// Records that a message from the region was received.
    pub fn mark_reachable(&mut self, region: Region) {
        if let Some(contact) = self.contacts.get_mut(usize::from(region.0)) {
            contact.reachable = true;
        }
    }
}

/// Decides when operators are notified that no majority of the region's voters grants leases, and when one does again.
#[derive(Default)]
pub struct MajorityMonitor {
    missing_since: Option<Micros>,
    reported: bool,
}

/// A change that operators are notified of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MajorityChange {
    /// No majority has granted leases for the grace period.
    Lost,
    /// A majority grants leases again.
    Regained,
}

impl MajorityMonitor {
    /// Updates the state. A missing majority is reported once, and only after the period `grace`.
    pub fn update(&mut self, now: Micros, missing: bool, grace: Micros) -> Option<MajorityChange> {
        if !missing {
            self.missing_since = None;
            return std::mem::take(&mut self.reported).then_some(MajorityChange::Regained);
        }
        let since = *self.missing_since.get_or_insert(now);
        if self.reported || now < since + grace {
            return None;
        }
        self.reported = true;
        Some(MajorityChange::Lost)
    }
}

#[cfg(test)]
mod tests;
