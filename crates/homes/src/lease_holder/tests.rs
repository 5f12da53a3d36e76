use super::*;
use crate::Incarnation;

const CONFIG: LeaseConfig = LeaseConfig { slices: 4, lease_duration: 3_000, drift_per_mille: 10 };

fn process(member: u16) -> ProcessId {
    ProcessId { member: Member(member), incarnation: Incarnation(1) }
}

fn holder(member: u16, voter_lists: &[&[u16]]) -> LeaseHolder {
    let voter_lists =
        voter_lists.iter().map(|list| list.iter().map(|voter| Member(*voter)).collect()).collect();
    LeaseHolder::new(CONFIG, process(member), voter_lists, 0, Epoch(0))
}

/// Requests all slices at 10,000 and delivers grants from `granting_voters`. Returns the number of leases held.
fn leases_granted_by(member: u16, voter_lists: &[&[u16]], granting_voters: &[u16]) -> usize {
    let (mut holder, mut outgoing) = (holder(member, voter_lists), Outgoing::new());
    holder.tick(10_000, 0.5, &mut outgoing);
    let Some(LeaseMessage::Request { round, epoch, slices }) =
        outgoing.first().map(|envelope| envelope.message.clone())
    else {
        panic!("{outgoing:?}")
    };
    for voter in granting_voters {
        let granted = LeaseMessage::Granted { to: Incarnation(1), round, epoch, slices: slices.clone() };
        holder.receive(10_100, process(*voter), &granted, &mut outgoing);
    }
    assert!(
        CONFIG.all_slices().all(|slice| holder.held_epoch(13_000, slice).is_none()),
        "the lease must be counted from the request"
    );
    holder.held_leases(12_999).count()
}

#[test]
fn lease_needs_a_majority_of_each_voter_list() {
    assert_eq!(leases_granted_by(0, &[&[0, 1, 2]], &[]), 0);
    assert_eq!(leases_granted_by(0, &[&[0, 1, 2]], &[1]), 4);
    assert_eq!(leases_granted_by(0, &[&[0, 1, 2, 3]], &[1]), 0, "two of four voters are not a majority");
    assert_eq!(
        leases_granted_by(0, &[&[0, 1, 2], &[0, 1, 2, 3, 4]], &[1]),
        0,
        "a majority of each list is required while the lists change"
    );
    assert_eq!(leases_granted_by(0, &[&[0, 1, 2], &[0, 1, 2, 3, 4]], &[1, 3]), 4);
    assert_eq!(
        leases_granted_by(9, &[&[0, 1, 2]], &[1, 1, 1]),
        0,
        "a voter counts once, and a member that is not a voter does not count"
    );
}

#[test]
fn vote_from_an_older_round_does_not_extend_the_lease() {
    let (mut holder, mut outgoing) = (holder(0, &[&[0, 1, 2]]), Outgoing::new());
    holder.tick(10_000, 0.5, &mut outgoing);
    let first = outgoing.remove(0).message;
    let LeaseMessage::Request { round, epoch, slices } = first else { panic!() };
    let granted = LeaseMessage::Granted { to: Incarnation(1), round, epoch, slices };
    holder.receive(10_100, process(1), &granted, &mut outgoing);
    holder.tick(11_000, 0.5, &mut outgoing);
    holder.receive(11_100, process(1), &granted, &mut outgoing);
    assert_eq!((holder.held_leases(12_999).count(), holder.held_leases(13_000).count()), (4, 0));
}

#[test]
fn vote_for_the_previous_process_grants_no_lease() {
    let (mut holder, mut outgoing) = (holder(0, &[&[0, 1, 2]]), Outgoing::new());
    holder.tick(10_000, 0.5, &mut outgoing);
    let LeaseMessage::Request { round, epoch, slices } = outgoing.remove(0).message else { panic!() };
    let granted = LeaseMessage::Granted { to: Incarnation(7), round, epoch, slices };
    assert_eq!(holder.receive(10_100, process(1), &granted, &mut outgoing), []);
}

#[test]
fn lease_on_a_moved_slice_is_lost_at_once() {
    let (mut holder, mut outgoing) = (holder(0, &[&[0]]), Outgoing::new());
    holder.tick(10_000, 0.5, &mut outgoing);
    assert_eq!(holder.held_leases(10_000).count(), 4);
    holder.set_alive_members([Member(1), Member(2)].into());
    let lost = holder.tick(10_001, 0.5, &mut outgoing);
    assert!(
        !lost.is_empty()
            && lost
                .iter()
                .all(|change| matches!(change, LeaseChange::Lost { reason: LossReason::Moved, .. }))
    );
    assert_eq!(holder.held_leases(10_001).count() + lost.len(), 4);
}
