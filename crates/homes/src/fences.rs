//! The fence table: the highest claim known for each slice. Lower claims are fenced: anything issued under them is rejected.
//!
//! The entry of a slice only ever increases. Messages may therefore be lost, delayed, duplicated or reordered, and an old
//! message can't lift a fence.

use crate::claim::compare;
use crate::{Claim, MAX_ADVANCE, Micros, Region, Slice};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The highest known claim on a slice, with its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HighestClaim {
    /// The claim.
    pub claim: Claim,
    /// When the claimant last confirmed the claim, as far as is known; `None` if the claim has been released.
    pub last_confirmed: Option<Micros>,
    /// When the claim was first recorded, or its release if that came later.
    pub recorded_at: Micros,
}

/// The effect of a received claim on the fence table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// The claim is the highest now. The previous one, if any, is fenced.
    Raised(Option<HighestClaim>),
    /// The claim was the highest already.
    Same,
    /// The claim is lower than the highest known one, and fenced.
    Lower,
    /// The claim was rejected: its slice or region is unknown, or its term is more than [`MAX_ADVANCE`] ahead.
    Invalid,
}

/// The highest known claim on each slice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FenceTable {
    pub(crate) regions: Vec<Region>,
    slices: u16,
    fences: BTreeMap<Slice, HighestClaim>,
}

impl FenceTable {
    /// Creates an empty table. `regions` are all regions of the fleet, `slices` is the number of slices.
    pub fn new(regions: Vec<Region>, slices: u16) -> FenceTable {
        FenceTable { regions, slices, fences: BTreeMap::new() }
    }

    /// The highest known claim on a slice.
    pub fn get(&self, slice: Slice) -> Option<HighestClaim> {
        self.fences.get(&slice).copied()
    }

    /// Whether a higher claim is known, so that anything issued under this one must be rejected.
    pub fn is_fenced(&self, slice: Slice, claim: &Claim) -> bool {
        let is_higher =
            |highest: &HighestClaim| compare(slice, claim, &highest.claim, &self.regions) == Ordering::Less;
        self.fences.get(&slice).is_some_and(is_higher)
    }

    fn is_valid(&self, slice: Slice, claim: &Claim) -> bool {
        let term = self.get(slice).map_or(0, |highest| highest.claim.term);
        slice.0 < self.slices && self.regions.contains(&claim.region) && claim.term <= term + MAX_ADVANCE
    }

    /// Records a claim. `last_confirmed` is when its claimant last confirmed it; `None` if the claim has been released.
    pub fn receive(
        &mut self,
        now: Micros,
        slice: Slice,
        claim: Claim,
        last_confirmed: Option<Micros>,
    ) -> ClaimEffect {
        if !self.is_valid(slice, &claim) {
            return ClaimEffect::Invalid;
        }
        let Some(highest) = self.fences.get_mut(&slice) else {
            self.fences.insert(slice, HighestClaim { claim, last_confirmed, recorded_at: now });
            return ClaimEffect::Raised(None);
        };
        match compare(slice, &claim, &highest.claim, &self.regions) {
            Ordering::Less => ClaimEffect::Lower,
            Ordering::Equal => {
                // A released claim stays released: a confirmation may arrive after the release.
                if highest.last_confirmed.is_some() && last_confirmed.is_none() {
                    highest.recorded_at = now;
                }
                highest.last_confirmed =
                    highest.last_confirmed.zip(last_confirmed).map(|(known, received)| known.max(received));
                ClaimEffect::Same
            }
            Ordering::Greater => {
                let raised = HighestClaim { claim, last_confirmed, recorded_at: now };
                ClaimEffect::Raised(Some(std::mem::replace(highest, raised)))
            }
        }
    }
}

#[cfg(test)]
mod tests;
