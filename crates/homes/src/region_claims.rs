//! A gateway's claims on slices for its region.
//!
//! A lease holder claims a slice for its region once no confirmed claim of another region is known. Two regions that can't
//! reach each other may both claim the slice; [`compare`](crate::claim::compare) decides which claim wins once one of them
//! receives the other's.

use crate::fences::{ClaimEffect, FenceTable, HighestClaim};
use crate::message::{ClaimStatus, Claims, MAX_CLAIMS};
use crate::placement::rank;
use crate::{Claim, Epoch, Incarnation, Micros, Region, Slice, heartbeat_interval, placement};
use std::collections::BTreeMap;

/// How many claim leases a preferred region must be reachable for before a slice is released to it.
const FAILBACK_CLAIM_LEASES: u64 = 5;
/// A new claim becomes active after a claim lease divided by this number. By then a claim that another region made at the
/// same time has been received, if the regions can reach each other.
const ACTIVATION_DELAY_DIVISOR: u64 = 4;
/// Each rank delays a claim by a claim lease divided by this number.
const RANK_DELAY_DIVISOR: u64 = 2;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// A claim transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// This gateway claimed a slice for its region.
    Claimed {
        /// The slice.
        slice: Slice,
        /// The new claim.
        claim: Claim,
    },
    /// This gateway's claim lost to a higher one: anything issued under it is rejected from now on.
    Fenced {
        /// The slice.
        slice: Slice,
        /// This gateway's claim.
        lost: Claim,
        /// The higher claim.
        won: Claim,
    },
    /// Two regions confirmed claims on a slice at the same time.
    SplitBrain {
        /// The slice.
        slice: Slice,
        /// The lower claim.
        lost: Claim,
        /// The higher claim.
        won: Claim,
    },
    /// The claim was released to a preferred region, or this gateway no longer holds the lease on the slice.
    Released {
        /// The slice.
        slice: Slice,
        /// The claim that was released.
        claim: Claim,
    },
}

/// The result of a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimTick {
    /// Messages to send to all other regions.
    pub broadcast: Vec<Claims>,
    /// Claim transitions.
    pub changes: Vec<ClaimChange>,
}

/// The result of received claims.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedClaims {
    /// The answer to the sender: claims that win against received ones.
    pub answer: Option<Claims>,
    /// Claim transitions.
    pub changes: Vec<ClaimChange>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnClaim {
    claim: Claim,
    /// When the claim becomes active.
    active_from: Micros,
    claimed_at: Micros,
}

/// The latest period of uninterrupted messages from another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Reachability {
    reachable_since: Micros,
    last_received: Micros,
}

/// A gateway's claims for its region, on the slices whose leases it holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RegionClaims {
    region: Region,
    incarnation: Incarnation,
    /// How long a claim counts as confirmed. After that, another region may claim the slice.
    claim_lease: Micros,
    fences: FenceTable,
    own_claims: BTreeMap<Slice, OwnClaim>,
    /// When this gateway gained the lease on each slice.
    leased_since: BTreeMap<Slice, Micros>,
    reachability: BTreeMap<Region, Reachability>,
    last_broadcast: Micros,
}

impl RegionClaims {
    /// Creates a claimant without claims. `regions` are all regions of the fleet, `slices` is the number of slices.
    pub fn new(
        region: Region,
        regions: Vec<Region>,
        slices: u16,
        claim_lease: Micros,
        incarnation: Incarnation,
    ) -> Self {
        RegionClaims {
            region,
            incarnation,
            claim_lease,
            fences: FenceTable::new(regions, slices),
            own_claims: BTreeMap::new(),
            leased_since: BTreeMap::new(),
            reachability: BTreeMap::new(),
            last_broadcast: 0,
        }
    }

    /// The highest claims known to this gateway.
    pub fn fences(&self) -> &FenceTable {
        &self.fences
    }

    /// The latest time for the next call of [`RegionClaims::tick`].
    pub fn next_deadline(&self) -> Micros {
        self.last_broadcast + heartbeat_interval(self.claim_lease)
    }

    /// This gateway's active claim on a slice, where `epoch` is that of its current lease. A claim that loses is dropped as
    /// soon as the higher one is received.
    pub fn active_claim(&self, now: Micros, slice: Slice, epoch: Option<Epoch>) -> Option<Claim> {
        let own = self.own_claims.get(&slice)?;
        (now >= own.active_from && Some(own.claim.epoch) == epoch).then_some(own.claim)
    }

    /// The earliest time at which this gateway may claim a slice.
    fn earliest_claim_time(&self, slice: Slice, leased_since: Micros) -> Micros {
        let regions = &self.fences.regions;
        let rank_delay = u64::from(rank(slice, self.region, regions)) * self.claim_lease / RANK_DELAY_DIVISOR;
        match self.fences.get(slice) {
            // A claim of an earlier lease holder of this region. A released claim is subject to the rank delay, as in other
            // regions.
            Some(highest) if highest.claim.region == self.region && highest.last_confirmed.is_some() => {
                leased_since
            }
            Some(HighestClaim { last_confirmed: None, recorded_at, .. }) => {
                recorded_at.max(leased_since) + rank_delay
            }
            Some(HighestClaim { last_confirmed: Some(last_confirmed), .. }) => {
                (last_confirmed + self.claim_lease).max(leased_since) + rank_delay
            }
            // A lease holder that knows no claim yet first waits for claims of other regions.
            None if regions.len() > 1 => leased_since + self.claim_lease + rank_delay,
            None => leased_since,
        }
    }

    /// Performs all due work: claims slices, and releases and broadcasts claims. `leases` are the slices whose leases this
    /// gateway holds, with the epochs of the leases.
    pub fn tick(&mut self, now: Micros, leases: &BTreeMap<Slice, Epoch>) -> ClaimTick {
        let mut statuses: Vec<ClaimStatus> = Vec::new();
        let mut changes = self.drop_claims_without_lease(leases);
        self.leased_since.retain(|slice, _| leases.contains_key(slice));
        for (slice, epoch) in leases {
            let leased_since = *self.leased_since.entry(*slice).or_insert(now);
            let change = if self.own_claims.contains_key(slice) {
                self.fail_back(now, *slice)
            } else if now >= self.earliest_claim_time(*slice, leased_since) {
                Some(self.claim(now, *slice, *epoch))
            } else {
                None
            };
            let Some(change) = change else { continue };
            if let ClaimChange::Claimed { slice, claim } = change {
                statuses.push(ClaimStatus { slice, claim, age: Some(0) });
            } else if let ClaimChange::Released { slice, claim } = change {
                statuses.push(ClaimStatus { slice, claim, age: None });
            }
            changes.push(change);
        }
        if now >= self.next_deadline() {
            self.last_broadcast = now;
            // Includes other regions' claims: two regions that can't reach each other may both reach a third.
            statuses = leases.keys().filter_map(|slice| self.claim_status(now, *slice)).collect();
        }
        let broadcast = statuses.chunks(MAX_CLAIMS).map(|chunk| Claims(chunk.to_vec())).collect();
        ClaimTick { broadcast, changes }
    }

    fn drop_claims_without_lease(&mut self, leases: &BTreeMap<Slice, Epoch>) -> Vec<ClaimChange> {
        let mut changes = Vec::new();
        self.own_claims.retain(|slice, own| {
            let has_lease = leases.get(slice) == Some(&own.claim.epoch);
            if !has_lease {
                changes.push(ClaimChange::Released { slice: *slice, claim: own.claim });
            }
            has_lease
        });
        changes
    }

    /// Releases a claim if a preferred region is reachable again.
    fn fail_back(&mut self, now: Micros, slice: Slice) -> Option<ClaimChange> {
        let own = self.own_claims.get(&slice)?;
        let held_long_enough = now >= own.claimed_at + FAILBACK_CLAIM_LEASES * self.claim_lease;
        if !held_long_enough || !self.is_preferred_region_reachable(slice, now) {
            return None;
        }
        let claim = own.claim;
        self.own_claims.remove(&slice);
        self.fences.receive(now, slice, claim, None);
        Some(ClaimChange::Released { slice, claim })
    }

    /// Claims a slice under a lease with the given epoch.
    fn claim(&mut self, now: Micros, slice: Slice, epoch: Epoch) -> ClaimChange {
        let highest = self.fences.get(slice);
        let is_own_region = highest.is_some_and(|highest| highest.claim.region == self.region);
        let handed_over = highest.is_some_and(|highest| is_own_region || highest.last_confirmed.is_none());
        let term = highest.map_or(0, |highest| highest.claim.term);
        let (region, incarnation) = (self.region, self.incarnation);
        let claim_in_term = |term| Claim { term, region, epoch, incarnation, handed_over };
        // A later lease holder of the same region needs no new term. A claim after another region's always starts one, even
        // if the better rank would win without it: otherwise a claim that the other region had confirmed would be followed
        // by one of the same term.
        let keeps_term = is_own_region && !self.fences.is_fenced(slice, &claim_in_term(term));
        let claim = if keeps_term { claim_in_term(term) } else { claim_in_term(term + 1) };
        self.fences.receive(now, slice, claim, Some(now));
        let single_region = self.fences.regions.len() < 2;
        let active_from = if single_region { now } else { now + self.claim_lease / ACTIVATION_DELAY_DIVISOR };
        self.own_claims.insert(slice, OwnClaim { claim, active_from, claimed_at: now });
        ClaimChange::Claimed { slice, claim }
    }

    /// The status of the highest claim on a slice, for a report to other gateways. Reporting this gateway's own claim
    /// confirms it.
    fn claim_status(&mut self, now: Micros, slice: Slice) -> Option<ClaimStatus> {
        if let Some(own) = self.own_claims.get(&slice) {
            self.fences.receive(now, slice, own.claim, Some(now));
        }
        let HighestClaim { claim, last_confirmed, .. } = self.fences.get(slice)?;
        let age_milliseconds =
            |time| (now.saturating_sub(time) / MICROS_PER_MILLISECOND).min(u64::from(u32::MAX));
        Some(ClaimStatus { slice, claim, age: last_confirmed.map(|time| age_milliseconds(time) as u32) })
    }

    /// Whether a region that is preferred over this one for a slice has been reachable for [`FAILBACK_CLAIM_LEASES`].
    fn is_preferred_region_reachable(&self, slice: Slice, now: Micros) -> bool {
        let order = placement::region_order(slice, &self.fences.regions);
        let preferred = order.iter().take_while(|region| **region != self.region);
        preferred.filter_map(|region| self.reachability.get(region)).any(|reachability| {
            now < reachability.last_received + self.claim_lease
                && now >= reachability.reachable_since + FAILBACK_CLAIM_LEASES * self.claim_lease
        })
    }

    fn record_reachable(&mut self, now: Micros, region: Region) {
        if region == self.region {
            return;
        }
        let reachability = self
            .reachability
            .entry(region)
            .or_insert(Reachability { reachable_since: now, last_received: now });
        if now >= reachability.last_received + self.claim_lease {
            reachability.reachable_since = now;
        }
        reachability.last_received = now;
    }

    /// Whether a claim that was last confirmed at `last_confirmed` still counts as confirmed.
    fn is_confirmed(&self, now: Micros, last_confirmed: Option<Micros>) -> bool {
        last_confirmed.is_some_and(|time| now < time + self.claim_lease)
    }

    /// Handles claims reported by a gateway of any region.
    pub fn receive(&mut self, now: Micros, from: Region, claims: &Claims) -> ReceivedClaims {
        self.record_reachable(now, from);
        let (mut answer, mut changes) = (Vec::new(), Vec::new());
        for status in claims.0.iter().take(MAX_CLAIMS) {
            let ClaimStatus { slice, claim, age } = *status;
            let age = age.map(|milliseconds| u64::from(milliseconds) * MICROS_PER_MILLISECOND);
            let received = HighestClaim {
                claim,
                last_confirmed: age.map(|age| now.saturating_sub(age)),
                recorded_at: now,
            };
            match self.fences.receive(now, slice, claim, received.last_confirmed) {
                ClaimEffect::Raised(Some(previous)) => {
                    changes.extend(self.detect_split_brain(now, slice, &previous, &received));
                    if let Some(own) = self.own_claims.remove(&slice) {
                        changes.push(ClaimChange::Fenced { slice, lost: own.claim, won: claim });
                    }
                }
                ClaimEffect::Lower => {
                    let Some(highest) = self.fences.get(slice) else { continue };
                    changes.extend(self.detect_split_brain(now, slice, &received, &highest));
                    answer.extend(self.claim_status(now, slice));
                }
                ClaimEffect::Raised(None) | ClaimEffect::Same | ClaimEffect::Invalid => {}
            }
        }
        ReceivedClaims { answer: (!answer.is_empty()).then_some(Claims(answer)), changes }
    }

    /// Detects confirmed claims of two regions on the same slice, unless the higher one was handed over.
    fn detect_split_brain(
        &self,
        now: Micros,
        slice: Slice,
        lost: &HighestClaim,
        won: &HighestClaim,
    ) -> Option<ClaimChange> {
        let are_concurrent = lost.claim.region != won.claim.region && !won.claim.handed_over;
        let are_confirmed = [lost, won].iter().all(|claim| self.is_confirmed(now, claim.last_confirmed));
        (are_concurrent && are_confirmed).then_some(ClaimChange::SplitBrain {
            slice,
            lost: lost.claim,
            won: won.claim,
        })
    }
}

#[cfg(test)]
mod tests;
