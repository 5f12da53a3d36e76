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
mod tests {
    use super::*;
    use rstest::rstest;

    const LEASE: Micros = 3_000_000;
    const SLICE: Slice = Slice(3);

    fn regions() -> Vec<Region> {
        (0..3).map(Region).collect()
    }

    fn by_rank(rank: usize) -> Region {
        placement::regions(SLICE, &regions())[rank]
    }

    fn claim(term: u64, rank: usize, epoch: Epoch, incarnation: u64) -> Claim {
        Claim { term, region: by_rank(rank), epoch, incarnation, handed_over: false }
    }

    #[rstest]
    #[case::a_later_term(claim(2, 2, 1, 1), claim(1, 0, 9, 9))]
    #[case::the_same_term_by_rank(claim(1, 0, 1, 1), claim(1, 1, 9, 9))]
    #[case::the_same_region_by_epoch(claim(1, 1, 2, 1), claim(1, 1, 1, 9))]
    #[case::the_same_epoch_by_incarnation(claim(1, 1, 2, 2), claim(1, 1, 2, 1))]
    fn the_order_is_total(#[case] won: Claim, #[case] lost: Claim) {
        assert_eq!(compare(SLICE, &won, &lost, &regions()), Ordering::Greater);
        assert_eq!(compare(SLICE, &lost, &won, &regions()), Ordering::Less);
        let heard = |sequence: [Claim; 2]| {
            let mut floors = Floors::new(regions(), 8);
            sequence.into_iter().for_each(|claim| _ = floors.receive(1, SLICE, claim, Some(1)));
            assert!(floors.fenced(SLICE, &lost) && !floors.fenced(SLICE, &won));
        };
        heard([won, lost]);
        heard([lost, won]);
    }

    #[test]
    fn what_was_given_up_does_not_come_back_late() {
        let mut floors = Floors::new(regions(), 8);
        floors.receive(1, SLICE, claim(1, 0, 1, 1), None);
        assert_eq!(floors.receive(9, SLICE, claim(1, 0, 1, 1), Some(9)), Effect::Same);
        assert_eq!(floors.get(SLICE).unwrap().last_confirmed, None);
        assert_eq!(floors.receive(9, SLICE, claim(2 + MAX_ADVANCE, 0, 1, 1), Some(9)), Effect::Unusable);
        assert_eq!(floors.receive(9, Slice(8), claim(1, 0, 1, 1), Some(9)), Effect::Unusable);
    }

    /// A home of the slice in a region, ticked until it is principal.
    fn principal(rank: usize, incarnation: u64, from: Micros) -> (Principals, Claim, Micros) {
        let mut principals = Principals::new(by_rank(rank), regions(), 8, LEASE, incarnation);
        let home = BTreeMap::from([(SLICE, 1)]);
        for step in 0..60 {
            let now = from + step * LEASE / 12;
            principals.tick(now, &home);
            if let Some(claim) = principals.principal(now, SLICE, Some(1)) {
                return (principals, claim, now);
            }
        }
        panic!("never principal");
    }

    #[test]
    fn one_alone_goes_on_and_the_loser_is_fenced_when_it_hears() {
        let (mut first, lost, _) = principal(1, 1, 0);
        let (mut second, won, now) = principal(0, 2, 0);
        let told = |claim| Claims(vec![ClaimStatus { slice: SLICE, claim, age: Some(10) }]);
        // The winner hears of the loser, and answers; the loser acts no more.
        let (answer, changes) = second.receive(now, by_rank(1), &told(lost));
        assert_eq!(changes, [ClaimChange::Split { slice: SLICE, lost, won }]);
        assert_eq!(second.principal(now, SLICE, Some(1)), Some(won));
        let (_, changes) = first.receive(now, by_rank(0), &answer.unwrap());
        assert!(changes.contains(&ClaimChange::Fenced { slice: SLICE, lost, won }), "{changes:?}");
        assert_eq!(first.principal(now, SLICE, Some(1)), None);
        first.receive(now, by_rank(2), &told(lost));
        assert!(first.floors.fenced(SLICE, &lost), "an old message lifts no fence");
    }

    #[test]
    fn who_hears_by_a_third_that_a_claim_stands_makes_none() {
        let mut cut_off = Principals::new(by_rank(1), regions(), 8, LEASE, 1);
        let home = BTreeMap::from([(SLICE, 1)]);
        for step in 0..60 {
            let now = step * LEASE / 3;
            cut_off.receive(
                now,
                by_rank(2),
                &Claims(vec![ClaimStatus { slice: SLICE, claim: claim(1, 0, 1, 1), age: Some(400) }]),
            );
            let (_, changes) = cut_off.tick(now, &home);
            assert_eq!(changes, []);
        }
    }

    #[test]
    fn a_later_home_of_the_region_supersedes_the_one_before_in_the_same_term() {
        let (first, before, now) = principal(0, 1, 0);
        let mut second = Principals::new(by_rank(0), regions(), 8, LEASE, 2);
        second.receive(
            now,
            by_rank(0),
            &Claims(vec![ClaimStatus { slice: SLICE, claim: before, age: Some(0) }]),
        );
        let (_, changes) = second.tick(now, &BTreeMap::from([(SLICE, 2)]));
        let Some(ClaimChange::Claimed(_, after)) = changes.first() else { panic!("{changes:?}") };
        assert_eq!((after.term, after.epoch), (before.term, 2));
        assert!(second.floors.fenced(SLICE, &before) && first.principal(now, SLICE, None).is_none());
    }

    /// What a home of this rank claims, and after how long, once this is all that it has heard.
    fn claims_after(rank: usize, status: ClaimStatus) -> (Claim, Micros) {
        let mut principals = Principals::new(by_rank(rank), regions(), 8, LEASE, 5);
        let (home, from) = (BTreeMap::from([(SLICE, 4)]), 100 * LEASE);
        principals.receive(from, by_rank(2), &Claims(vec![status]));
        for now in (from..from + 10 * LEASE).step_by(LEASE as usize / 12) {
            if let Some(ClaimChange::Claimed(_, claim)) = principals.tick(now, &home).1.first() {
                return (*claim, now - from);
            }
        }
        panic!("never");
    }

    /// Found by three regions of processes: the second in rank took what had been given up for the first, and a better
    /// rank was a claim of the same term over one that still stood.
    #[rstest]
    #[case::given_up_for_the_first(0, None, 0)]
    #[case::and_not_for_the_second(1, None, LEASE / 2)]
    #[case::silent(0, Some(0), LEASE)]
    #[case::silent_by_rank(1, Some(0), LEASE * 3 / 2)]
    fn a_claim_over_anothers_waits_its_turn_and_takes_a_later_term(
        #[case] rank: usize,
        #[case] age: Option<u32>,
        #[case] after: Micros,
    ) {
        let before = claim(3, 2, 9, 9);
        let (made, waited) = claims_after(rank, ClaimStatus { slice: SLICE, claim: before, age });
        assert_eq!((made.term, made.handed_over, waited), (4, age.is_none(), after));
    }

    #[test]
    fn what_was_handed_over_is_no_split_brain() {
        let mut third = Principals::new(by_rank(2), regions(), 8, LEASE, 5);
        let (before, after) = (claim(3, 1, 9, 9), Claim { handed_over: true, ..claim(4, 0, 1, 1) });
        let told = |claim| Claims(vec![ClaimStatus { slice: SLICE, claim, age: Some(0) }]);
        third.receive(1, by_rank(1), &told(before));
        assert_eq!(third.receive(2, by_rank(0), &told(after)).1, []);
        assert_eq!(third.receive(3, by_rank(1), &told(before)).1, [], "by a message that is late");
    }

    #[test]
    fn a_slice_is_handed_back_to_the_region_that_comes_first_once_that_is_heard_for_long() {
        let (mut second, claim, from) = principal(1, 1, 0);
        let home = BTreeMap::from([(SLICE, 1)]);
        let left = (0..40).find(|step| {
            let now = from + step * LEASE / 3;
            second.receive(now, by_rank(0), &Claims(Vec::new()));
            second.tick(now, &home).1.contains(&ClaimChange::Left(SLICE, claim))
        });
        assert!((15..20).contains(&left.unwrap()), "{left:?}");
        // It does not take back in the next moment what it has just given up for another.
        let now = from + left.unwrap() * LEASE / 3;
        for later in (now..now + LEASE / 2).step_by(LEASE as usize / 12) {
            assert_eq!(second.tick(later, &home).1, []);
        }
    }
}
