use super::*;
use crate::Budget;

/// Parameters of a budget of 100 calls in 10 s, with an overdraft of 25 % and 10 % in reserves.
fn parameters() -> QuotaParameters {
    Budget { amount: Amount::calls(100), window: 10_000_000, overdraft: 250, reserve: 100 }
        .parameters(10, 10)
        .unwrap()
}

fn requester(member: u16, incarnation: u64) -> Requester {
    Requester { member, incarnation }
}

#[test]
fn new_allocator_is_empty_and_refills_up_to_its_capacity() {
    let mut allocator = QuotaAllocator::new(parameters(), 0);
    let want = Amount::calls(100);
    assert_eq!(
        allocator.grant(0, requester(1, 1), GrantRequest { number: 1, want }),
        Some(Grant { to: 1, number: 1, amount: Amount::ZERO })
    );
    assert_eq!(
        allocator.grant(500_000, requester(1, 1), GrantRequest { number: 2, want }).unwrap().amount,
        Amount::from_thousandths(4_000)
    );
    assert_eq!(
        allocator.grant(60_000_000, requester(1, 1), GrantRequest { number: 3, want }).unwrap().amount,
        Amount::from_thousandths(6_000)
    );
}

#[test]
fn duplicate_request_gets_the_same_grant_once() {
    let mut allocator = QuotaAllocator::new(parameters(), 0);
    let first = allocator.grant(500_000, requester(1, 1), GrantRequest { number: 7, want: ONE_CALL });
    assert_eq!(allocator.grant(500_100, requester(1, 1), GrantRequest { number: 7, want: ONE_CALL }), first);
    assert_eq!((allocator.issued(), allocator.level()), (ONE_CALL, Amount::from_thousandths(3_500)));
    assert_eq!(
        allocator.grant(500_100, requester(1, 1), GrantRequest { number: 6, want: ONE_CALL }),
        None,
        "outdated request"
    );
    assert!(
        allocator.grant(500_200, requester(1, 2), GrantRequest { number: 7, want: ONE_CALL }).is_some(),
        "same number from another process"
    );
}

#[test]
fn concurrent_requests_share_the_available_amount() {
    let mut allocator = QuotaAllocator::new(parameters(), 0);
    for member in 1..=3 {
        allocator.grant(0, requester(member, 1), GrantRequest { number: 1, want: Amount::calls(10) });
    }
    let amounts: Vec<Amount> = (1..=3)
        .map(|member| {
            allocator
                .grant(400_000, requester(member, 1), GrantRequest { number: 2, want: Amount::calls(10) })
                .unwrap()
                .amount
        })
        .collect();
    assert_eq!(amounts, [ONE_CALL, ONE_CALL, ONE_CALL]);
}

#[test]
fn transferred_rate_is_withheld_until_every_transfer_ends() {
    let mut allocator = QuotaAllocator::new(parameters(), 0);
    assert_eq!(allocator.transfer_out(0, Counterparty(7), Amount::calls(6), 1_000_000), Amount::calls(6));
    // The counterparty may not have received the later, smaller transfer yet.
    assert_eq!(
        allocator.transfer_out(500_000, Counterparty(7), Amount::calls(2), 1_000_000),
        Amount::calls(2)
    );
    assert_eq!(allocator.transferred_out(999_999), Amount::calls(6));
    assert_eq!(allocator.transferred_out(1_000_000), Amount::calls(2));
    assert_eq!(
        allocator.transfer_out(600_000, Counterparty(8), Amount::calls(9), 100),
        Amount::calls(3),
        "limited to the remaining rate"
    );
    let mut receiver = QuotaAllocator::new(parameters(), 0);
    receiver.transfer_in(0, Counterparty(7), Amount::calls(6), 1_000_000);
    receiver.transfer_in(500_000, Counterparty(7), Amount::calls(2), 1_000_000);
    receiver.refill(500_000);
    let level_at_second_transfer = receiver.level();
    receiver.refill(600_000);
    assert_eq!(
        receiver.level(),
        (level_at_second_transfer + Amount::from_thousandths(1_100)).min(Amount::from_thousandths(6_250))
    );
}
