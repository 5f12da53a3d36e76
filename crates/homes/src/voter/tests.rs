use super::*;
use crate::{Incarnation, MAX_ADVANCE, Member};
use rstest::rstest;

const CONFIG: LeaseConfig = LeaseConfig { slices: 4, lease_duration: 3_000, drift_per_mille: 100 };
const SLICE: Slice = Slice(1);

fn process(member: u16, incarnation: u64) -> ProcessId {
    ProcessId { member: Member(member), incarnation: Incarnation(incarnation) }
}

/// A voter that no longer abstains and that granted epoch 5 to member 1 at 10,000.
fn voter_with_a_promise() -> Voter {
    let mut voter = Voter::new(CONFIG, 0, Epoch(4));
    assert_eq!(voter.vote(10_000, process(1, 1), SLICE, Epoch(5)), Vote::Granted);
    voter
}

#[rstest]
#[case::other_holder_during_the_promise(13_629, process(2, 1), Epoch(6), Vote::Denied(Epoch(5)))]
#[case::other_holder_after_the_promise(13_630, process(2, 1), Epoch(6), Vote::Granted)]
#[case::other_holder_with_the_same_epoch(14_000, process(2, 1), Epoch(5), Vote::Denied(Epoch(5)))]
#[case::other_holder_with_an_older_epoch(14_000, process(2, 1), Epoch(4), Vote::Denied(Epoch(5)))]
#[case::renewal(12_000, process(1, 1), Epoch(5), Vote::Granted)]
#[case::same_holder_with_a_new_epoch(12_000, process(1, 1), Epoch(6), Vote::Granted)]
#[case::same_member_after_a_restart(10_100, process(1, 2), Epoch(6), Vote::Denied(Epoch(5)))]
#[case::epoch_too_far_ahead(14_000, process(2, 1), Epoch(6 + MAX_ADVANCE), Vote::Denied(Epoch(5)))]
fn voter_grants_one_holder_at_a_time(
    #[case] now: Micros,
    #[case] requester: ProcessId,
    #[case] epoch: Epoch,
    #[case] expected: Vote,
) {
    assert_eq!(voter_with_a_promise().vote(now, requester, SLICE, epoch), expected);
}

#[test]
fn restarted_voter_abstains_until_its_earlier_promises_have_expired() {
    let mut voter = Voter::new(CONFIG, 50_000, Epoch(0));
    assert_eq!(voter.vote(53_629, process(1, 1), SLICE, Epoch(9)), Vote::Abstained);
    assert_eq!(voter.vote(53_630, process(1, 1), SLICE, Epoch(9)), Vote::Granted);
}

#[test]
fn release_ends_only_the_promise_for_its_own_lease() {
    let mut voter = voter_with_a_promise();
    voter.release(process(1, 1), SLICE, Epoch(4));
    voter.release(process(2, 1), SLICE, Epoch(5));
    assert_eq!(voter.vote(10_001, process(2, 1), SLICE, Epoch(6)), Vote::Denied(Epoch(5)));
    voter.release(process(1, 1), SLICE, Epoch(5));
    assert_eq!(voter.vote(10_001, process(2, 1), SLICE, Epoch(6)), Vote::Granted);
}
