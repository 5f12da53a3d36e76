use super::*;
use crate::{Epoch, Incarnation, placement};
use rstest::rstest;

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

#[rstest]
#[case::later_term(claim(2, 2, 1, 1), claim(1, 0, 9, 9))]
#[case::same_term_better_rank(claim(1, 0, 1, 1), claim(1, 1, 9, 9))]
#[case::same_region_later_epoch(claim(1, 1, 2, 1), claim(1, 1, 1, 9))]
#[case::same_epoch_later_incarnation(claim(1, 1, 2, 2), claim(1, 1, 2, 1))]
fn higher_claim_fences_lower_one_in_any_order_of_arrival(#[case] won: Claim, #[case] lost: Claim) {
    assert_eq!(compare(SLICE, &won, &lost, &regions()), Ordering::Greater);
    assert_eq!(compare(SLICE, &lost, &won, &regions()), Ordering::Less);
    let assert_lower_is_fenced = |sequence: [Claim; 2]| {
        let mut fences = FenceTable::new(regions(), 8);
        for claim in sequence {
            fences.receive(1, SLICE, claim, Some(1));
        }
        assert!(fences.is_fenced(SLICE, &lost) && !fences.is_fenced(SLICE, &won));
    };
    assert_lower_is_fenced([won, lost]);
    assert_lower_is_fenced([lost, won]);
}

#[test]
fn late_confirmation_does_not_undo_a_release_and_invalid_claims_are_rejected() {
    let mut fences = FenceTable::new(regions(), 8);
    fences.receive(1, SLICE, claim(1, 0, 1, 1), None);
    assert_eq!(fences.receive(9, SLICE, claim(1, 0, 1, 1), Some(9)), ClaimEffect::Same);
    assert_eq!(fences.get(SLICE).unwrap().last_confirmed, None);
    assert_eq!(fences.receive(9, SLICE, claim(2 + MAX_ADVANCE, 0, 1, 1), Some(9)), ClaimEffect::Invalid);
    assert_eq!(fences.receive(9, Slice(8), claim(1, 0, 1, 1), Some(9)), ClaimEffect::Invalid);
}
