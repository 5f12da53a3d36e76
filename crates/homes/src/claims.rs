//! Which region's home is a slice's principal, where no majority can be asked.
//!
//! A home claims a slice for its region once nobody is known to stand by another claim. Two regions that don't hear each
//! other may both do so. **Of two claims the higher wins**, in one order that is the same for everybody and never changes
//! with what is heard later: first the *term* (who claims a later one knew of the earlier, waited until nobody stood by
//! it, and may have been followed by others since: going back would undo more); then the region's *rank* for the slice
//! (the same everywhere, and spread over regions, so that no region loses every tie); then the home's *epoch* and the
//! *incarnation* of its process (within a region a later home is the one that the majority made). Who acknowledged a
//! claim is told for operators, and is not in the order: that changes, and each sees another part of it.
//!
//! What a claim has lost against is kept as a floor that only rises ([`Floors`]). It is a maximum, so messages may be
//! lost, late, doubled or in any order, and an old one can't lift it.

use crate::message::{ClaimStatus, Claims, MAX_CLAIMS};
use crate::placement::rank;
use crate::{Epoch, Incarnation, MAX_ADVANCE, Micros, Region, Slice, placement};
use serde::{Deserialize, Serialize};
use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    pub term: u64,
    pub region: Region,
    pub epoch: Epoch,
    pub incarnation: Incarnation,
    /// Its forerunner had given the slice up, or was of the same region: no two stood by it at one time. Not in the order.
    pub handed_over: bool,
}

/// Which of two claims on a slice wins.
pub fn compare(slice: Slice, one: &Claim, other: &Claim, regions: &[Region]) -> Ordering {
    let standing = |claim: &Claim| {
        (claim.term, Reverse(rank(slice, claim.region, regions)), claim.epoch, claim.incarnation)
    };
    standing(one).cmp(&standing(other))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Floor {
    pub claim: Claim,
    /// When the claimant was last known to stand by it; `None`: it has given it up.
    pub last_confirmed: Option<Micros>,
    /// When this was heard first.
    pub since: Micros,
}

/// What one claim did to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is the highest now; the one before is fenced, if there was one.
    Raised(Option<Floor>),
    Same,
    /// It has lost.
    Lower,
    /// It can't be: no such region, or a term that nobody can have come to.
    Unusable,
}

/// The highest claim heard of for each slice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Floors {
    regions: Vec<Region>,
    slices: u16,
    floors: BTreeMap<Slice, Floor>,
}

impl Floors {
    pub fn new(regions: Vec<Region>, slices: u16) -> Floors {
        Floors { regions, slices, floors: BTreeMap::new() }
    }

    pub fn get(&self, slice: Slice) -> Option<Floor> {
        self.floors.get(&slice).copied()
    }

    pub fn all(&self) -> impl Iterator<Item = (Slice, Floor)> + '_ {
        self.floors.iter().map(|(slice, floor)| (*slice, *floor))
    }

    /// Whether what carries this claim counts for nothing any more.
    pub fn fenced(&self, slice: Slice, claim: &Claim) -> bool {
        let higher = |floor: &Floor| compare(slice, claim, &floor.claim, &self.regions) == Ordering::Less;
        self.floors.get(&slice).is_some_and(higher)
    }

    pub fn receive(
        &mut self,
        now: Micros,
        slice: Slice,
        claim: Claim,
        last_confirmed: Option<Micros>,
    ) -> Effect {
        let term = self.get(slice).map_or(0, |floor| floor.claim.term);
        if slice.0 >= self.slices || !self.regions.contains(&claim.region) || claim.term > term + MAX_ADVANCE
        {
            return Effect::Unusable;
        }
        let Some(floor) = self.floors.get_mut(&slice) else {
            self.floors.insert(slice, Floor { claim, last_confirmed, since: now });
            return Effect::Raised(None);
        };
        match compare(slice, &claim, &floor.claim, &self.regions) {
            Ordering::Less => Effect::Lower,
            Ordering::Equal => {
                // Given up once, it stays so, whatever comes late.
                if floor.last_confirmed.is_some() && last_confirmed.is_none() {
                    floor.since = now;
                }
                floor.last_confirmed =
                    floor.last_confirmed.zip(last_confirmed).map(|(one, other)| one.max(other));
                Effect::Same
            }
            Ordering::Greater => {
                Effect::Raised(Some(std::mem::replace(floor, Floor { claim, last_confirmed, since: now })))
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    Claimed(Slice, Claim),
    /// This home's claim has lost against a higher one: nothing under it counts any more.
    Fenced {
        slice: Slice,
        lost: Claim,
        won: Claim,
    },
    /// Two regions stand by claims at one time.
    Split {
        slice: Slice,
        lost: Claim,
        won: Claim,
    },
    /// Given back, or no longer home of it in the own region.
    Left(Slice, Claim),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnClaim {
    claim: Claim,
    /// A claim that another region makes in the same moment has been heard of by then, if it can be.
    acts_from: Micros,
    since: Micros,
}

/// A gateway's claims for its region, as home of slices there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Principals {
    region: Region,
    incarnation: Incarnation,
    /// Nobody stands by a claim who has not been heard for so long.
    lease: Micros,
    pub floors: Floors,
    own: BTreeMap<Slice, OwnClaim>,
    /// Since when this gateway is home of a slice in its region.
    home: BTreeMap<Slice, Micros>,
    /// Since when another region is heard without a break, and when last.
    heard: BTreeMap<Region, (Micros, Micros)>,
    last_broadcast: Micros,
}

/// Leases of claims for which a region that comes first must be heard before what it lost is given back to it.
const SETTLES: u64 = 5;

impl Principals {
    pub fn new(
        region: Region,
        regions: Vec<Region>,
        slices: u16,
        lease: Micros,
        incarnation: Incarnation,
    ) -> Self {
        Principals {
            region,
            incarnation,
            lease,
            floors: Floors::new(regions, slices),
            own: BTreeMap::new(),
            home: BTreeMap::new(),
            heard: BTreeMap::new(),
            last_broadcast: 0,
        }
    }

    fn heartbeat(&self) -> Micros {
        (self.lease / 3).max(1)
    }

    /// When it is to be called again.
    pub fn next(&self) -> Micros {
        self.last_broadcast + self.heartbeat()
    }

    /// The claim under which this gateway is the slice's principal right now, where `epoch` is that of its own lease. One
    /// that has lost is dropped as soon as that is heard.
    pub fn principal(&self, now: Micros, slice: Slice, epoch: Option<Epoch>) -> Option<Claim> {
        let own = self.own.get(&slice)?;
        (now >= own.acts_from && Some(own.claim.epoch) == epoch).then_some(own.claim)
    }

    /// From when on a slice may be claimed here.
    fn may_claim(&self, slice: Slice, home_since: Micros) -> Micros {
        let regions = &self.floors.regions;
        let turn = u64::from(rank(slice, self.region, regions)) * self.lease / 2;
        match self.floors.get(slice) {
            // The region's own, of its home before. What that has given up it takes in its turn again, like others.
            Some(floor) if floor.claim.region == self.region && floor.last_confirmed.is_some() => home_since,
            Some(Floor { last_confirmed: None, since, .. }) => since.max(home_since) + turn,
            Some(Floor { last_confirmed: Some(at), .. }) => (at + self.lease).max(home_since) + turn,
            // A home that knows nothing yet listens first.
            None if regions.len() > 1 => home_since + self.lease + turn,
            None => home_since,
        }
    }

    /// Does what is due, where `home` tells the epoch under which this gateway is home of a slice.
    pub fn tick(&mut self, now: Micros, home: &BTreeMap<Slice, Epoch>) -> (Vec<Claims>, Vec<ClaimChange>) {
        let mut changes = Vec::new();
        let mut urgent: Vec<ClaimStatus> = Vec::new();
        self.home.retain(|slice, _| home.contains_key(slice));
        let incarnation = self.incarnation;
        self.own.retain(|slice, own| {
            let stays = home.get(slice) == Some(&own.claim.epoch);
            if !stays {
                changes.push(ClaimChange::Left(*slice, own.claim));
            }
            stays
        });
        for (slice, epoch) in home {
            let since = *self.home.entry(*slice).or_insert(now);
            if let Some(own) = self.own.get(slice) {
                if self.first_is_back(*slice, now) && now >= own.since + SETTLES * self.lease {
                    let claim = own.claim;
                    self.own.remove(slice);
                    self.floors.receive(now, *slice, claim, None);
                    urgent.push(ClaimStatus { slice: *slice, claim, age: None });
                    changes.push(ClaimChange::Left(*slice, claim));
                }
                continue;
            }
            if now < self.may_claim(*slice, since) {
                continue;
            }
            let floor = self.floors.get(*slice);
            let own = floor.is_some_and(|floor| floor.claim.region == self.region);
            let handed_over = floor.is_some_and(|floor| own || floor.last_confirmed.is_none());
            let term = floor.map_or(0, |floor| floor.claim.term);
            let (region, epoch) = (self.region, *epoch);
            let next = |term| Claim { term, region, epoch, incarnation, handed_over };
            // A later home of the same region needs no new term. Over another region's claim the rank does not decide: a
            // claim that it stood by before would be followed by one of the same term.
            let same = own && !self.floors.fenced(*slice, &next(term));
            let claim = if same { next(term) } else { next(term + 1) };
            self.floors.receive(now, *slice, claim, Some(now));
            let alone = self.floors.regions.len() < 2;
            let acts_from = if alone { now } else { now + self.lease / 4 };
            self.own.insert(*slice, OwnClaim { claim, acts_from, since: now });
            urgent.push(ClaimStatus { slice: *slice, claim, age: Some(0) });
            changes.push(ClaimChange::Claimed(*slice, claim));
        }
        if now >= self.next() {
            self.last_broadcast = now;
            // What this home knows of others' claims goes on too: two that can't hear each other hear a third.
            urgent = home.keys().filter_map(|slice| self.status_of(now, *slice)).collect();
        }
        (urgent.chunks(MAX_CLAIMS).map(|part| Claims(part.to_vec())).collect(), changes)
    }

    fn status_of(&mut self, now: Micros, slice: Slice) -> Option<ClaimStatus> {
        if let Some(own) = self.own.get(&slice) {
            self.floors.receive(now, slice, own.claim, Some(now));
        }
        let Floor { claim, last_confirmed, .. } = self.floors.get(slice)?;
        let age = last_confirmed.map(|at| (now.saturating_sub(at) / 1_000).min(u64::from(u32::MAX)) as u32);
        Some(ClaimStatus { slice, claim, age })
    }

    /// Whether a region that comes before the own one for this slice has been heard for long.
    fn first_is_back(&self, slice: Slice, now: Micros) -> bool {
        let order = placement::regions(slice, &self.floors.regions);
        let before = order.iter().take_while(|region| **region != self.region);
        before
            .filter_map(|region| self.heard.get(region))
            .any(|(since, last)| now < last + self.lease && now >= since + SETTLES * self.lease)
    }

    /// Takes in what a member of another region, or of the own one, tells. What has lost is answered with what won.
    pub fn receive(
        &mut self,
        now: Micros,
        from: Region,
        claims: &Claims,
    ) -> (Option<Claims>, Vec<ClaimChange>) {
        let (mut answer, mut changes) = (Vec::new(), Vec::new());
        if from != self.region {
            let heard = self.heard.entry(from).or_insert((now, now));
            let since = if now < heard.1 + self.lease { heard.0 } else { now };
            *heard = (since, now);
        }
        for ClaimStatus { slice, claim, age } in claims.0.iter().copied().take(MAX_CLAIMS) {
            let last_confirmed = age.map(|age| now.saturating_sub(u64::from(age) * 1_000));
            let stands = |at: Option<Micros>| at.is_some_and(|at| now < at + self.lease);
            match self.floors.receive(now, slice, claim, last_confirmed) {
                Effect::Raised(Some(before)) => {
                    let apart = before.claim.region != claim.region && !claim.handed_over;
                    if apart && stands(before.last_confirmed) && stands(last_confirmed) {
                        changes.push(ClaimChange::Split { slice, lost: before.claim, won: claim });
                    }
                    if let Some(own) = self.own.remove(&slice) {
                        changes.push(ClaimChange::Fenced { slice, lost: own.claim, won: claim });
                    }
                }
                Effect::Lower => {
                    let Some(floor) = self.floors.get(slice) else { continue };
                    let apart = floor.claim.region != claim.region && !floor.claim.handed_over;
                    if apart && stands(floor.last_confirmed) && stands(last_confirmed) {
                        changes.push(ClaimChange::Split { slice, lost: claim, won: floor.claim });
                    }
                    answer.extend(self.status_of(now, slice));
                }
                Effect::Raised(None) | Effect::Same | Effect::Unusable => {}
            }
        }
        ((!answer.is_empty()).then_some(Claims(answer)), changes)
    }
}

#[cfg(test)]
mod tests;
