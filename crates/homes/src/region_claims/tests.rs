use super::*;
use rstest::rstest;

const CLAIM_LEASE: Micros = 3_000_000;
const SLICE: Slice = Slice(3);

fn regions() -> Vec<Region> {
    (0..3).map(Region).collect()
}

fn region_with_rank(rank: usize) -> Region {
    placement::region_order(SLICE, &regions())[rank]
}

fn claim(term: u64, rank: usize, epoch: u64, incarnation: u64) -> Claim {
    Claim {
        term,
        region: region_with_rank(rank),
        epoch: Epoch(epoch),
        incarnation: Incarnation(incarnation),
        handed_over: false,
    }
}

/// Ticks a lease holder in the region with this rank until its claim is active. Returns the holder, its claim and the
/// time.
fn active_claimant(rank: usize, incarnation: u64, start: Micros) -> (RegionClaims, Claim, Micros) {
    let mut region_claims =
        RegionClaims::new(region_with_rank(rank), regions(), 8, CLAIM_LEASE, Incarnation(incarnation));
    let leases = BTreeMap::from([(SLICE, Epoch(1))]);
    for step in 0..60 {
        let now = start + step * CLAIM_LEASE / 12;
        region_claims.tick(now, &leases);
        if let Some(claim) = region_claims.active_claim(now, SLICE, Some(Epoch(1))) {
            return (region_claims, claim, now);
        }
    }
    panic!("no active claim");
}

#[test]
fn lower_claim_is_fenced_once_the_higher_one_is_received() {
    let (mut first, lost, _) = active_claimant(1, 1, 0);
    let (mut second, won, now) = active_claimant(0, 2, 0);
    let reported = |claim| Claims(vec![ClaimStatus { slice: SLICE, claim, age: Some(10) }]);
    // The winner receives the lower claim and answers with its own. The loser then has no active claim.
    let ReceivedClaims { answer, changes } = second.receive(now, region_with_rank(1), &reported(lost));
    assert_eq!(changes, [ClaimChange::SplitBrain { slice: SLICE, lost, won }]);
    assert_eq!(second.active_claim(now, SLICE, Some(Epoch(1))), Some(won));
    let ReceivedClaims { changes, .. } = first.receive(now, region_with_rank(0), &answer.unwrap());
    assert!(changes.contains(&ClaimChange::Fenced { slice: SLICE, lost, won }), "{changes:?}");
    assert_eq!(first.active_claim(now, SLICE, Some(Epoch(1))), None);
    first.receive(now, region_with_rank(2), &reported(lost));
    assert!(first.fences().is_fenced(SLICE, &lost), "an old message must not lift a fence");
}

#[test]
fn claim_confirmed_through_a_third_region_prevents_a_new_claim() {
    let mut partitioned = RegionClaims::new(region_with_rank(1), regions(), 8, CLAIM_LEASE, Incarnation(1));
    let leases = BTreeMap::from([(SLICE, Epoch(1))]);
    for step in 0..60 {
        let now = step * CLAIM_LEASE / 3;
        partitioned.receive(
            now,
            region_with_rank(2),
            &Claims(vec![ClaimStatus { slice: SLICE, claim: claim(1, 0, 1, 1), age: Some(400) }]),
        );
        let ClaimTick { changes, .. } = partitioned.tick(now, &leases);
        assert_eq!(changes, []);
    }
}

#[test]
fn later_lease_holder_of_the_same_region_keeps_the_term() {
    let (first, before, now) = active_claimant(0, 1, 0);
    let mut second = RegionClaims::new(region_with_rank(0), regions(), 8, CLAIM_LEASE, Incarnation(2));
    second.receive(
        now,
        region_with_rank(0),
        &Claims(vec![ClaimStatus { slice: SLICE, claim: before, age: Some(0) }]),
    );
    let ClaimTick { changes, .. } = second.tick(now, &BTreeMap::from([(SLICE, Epoch(2))]));
    let Some(ClaimChange::Claimed { claim: after, .. }) = changes.first() else { panic!("{changes:?}") };
    assert_eq!((after.term, after.epoch), (before.term, Epoch(2)));
    assert!(second.fences().is_fenced(SLICE, &before) && first.active_claim(now, SLICE, None).is_none());
}

/// The first claim of a lease holder with this rank that has received only `status`, and the time until that claim.
fn claim_after(rank: usize, status: ClaimStatus) -> (Claim, Micros) {
    let mut region_claims =
        RegionClaims::new(region_with_rank(rank), regions(), 8, CLAIM_LEASE, Incarnation(5));
    let (leases, start) = (BTreeMap::from([(SLICE, Epoch(4))]), 100 * CLAIM_LEASE);
    region_claims.receive(start, region_with_rank(2), &Claims(vec![status]));
    for now in (start..start + 10 * CLAIM_LEASE).step_by(CLAIM_LEASE as usize / 12) {
        if let Some(ClaimChange::Claimed { claim, .. }) = region_claims.tick(now, &leases).changes.first() {
            return (*claim, now - start);
        }
    }
    panic!("no claim within ten claim leases");
}

/// Guards against two faults: a region of the second rank claimed a slice that had been released to the first one, and a
/// region with a better rank claimed in the same term as another region's claim that was still confirmed.
#[rstest]
#[case::released_and_first_rank(0, None, 0)]
#[case::released_and_second_rank(1, None, CLAIM_LEASE / 2)]
#[case::confirmation_expired_and_first_rank(0, Some(0), CLAIM_LEASE)]
#[case::confirmation_expired_and_second_rank(1, Some(0), CLAIM_LEASE * 3 / 2)]
fn claim_after_another_region_waits_for_its_rank_and_starts_a_new_term(
    #[case] rank: usize,
    #[case] age: Option<u32>,
    #[case] expected_delay: Micros,
) {
    let previous = claim(3, 2, 9, 9);
    let (claim, delay) = claim_after(rank, ClaimStatus { slice: SLICE, claim: previous, age });
    assert_eq!((claim.term, claim.handed_over, delay), (4, age.is_none(), expected_delay));
}

#[test]
fn claim_that_was_handed_over_is_not_reported_as_split_brain() {
    let mut third = RegionClaims::new(region_with_rank(2), regions(), 8, CLAIM_LEASE, Incarnation(5));
    let (before, after) = (claim(3, 1, 9, 9), Claim { handed_over: true, ..claim(4, 0, 1, 1) });
    let reported = |claim| Claims(vec![ClaimStatus { slice: SLICE, claim, age: Some(0) }]);
    third.receive(1, region_with_rank(1), &reported(before));
    assert_eq!(third.receive(2, region_with_rank(0), &reported(after)).changes, []);
    assert_eq!(
        third.receive(3, region_with_rank(1), &reported(before)).changes,
        [],
        "a late message must not report a split brain"
    );
}

#[test]
fn slice_is_released_once_a_preferred_region_has_been_reachable_for_long() {
    let (mut second, claim, start) = active_claimant(1, 1, 0);
    let leases = BTreeMap::from([(SLICE, Epoch(1))]);
    let released_at_step = (0..40).find(|step| {
        let now = start + step * CLAIM_LEASE / 3;
        second.receive(now, region_with_rank(0), &Claims(Vec::new()));
        second.tick(now, &leases).changes.contains(&ClaimChange::Released { slice: SLICE, claim })
    });
    assert!((15..20).contains(&released_at_step.unwrap()), "{released_at_step:?}");
    // It must not claim the released slice again at once.
    let released_at = start + released_at_step.unwrap() * CLAIM_LEASE / 3;
    for now in (released_at..released_at + CLAIM_LEASE / 2).step_by(CLAIM_LEASE as usize / 12) {
        assert_eq!(second.tick(now, &leases).changes, []);
    }
}
