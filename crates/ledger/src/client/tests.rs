use super::*;
use crate::Budget;

/// Parameters of a budget of 100 calls in 10 s, with a grant lifetime of 0.5 s.
fn parameters() -> QuotaParameters {
    Budget { amount: Amount::calls(100), window: 10_000_000, overdraft: 250, reserve: 100 }
        .parameters(10, 10)
        .unwrap()
}

fn request_for_20_calls(client: &mut QuotaClient<u8>, now: Micros) -> GrantRequest {
    (0..20).for_each(|_| client.expect_call(now));
    client.request(now).expect("a request for the expected calls")
}

#[test]
fn grant_is_accepted_once_and_expires_a_lifetime_after_its_request() {
    let mut client = QuotaClient::new(parameters(), 3, 0);
    let request = request_for_20_calls(&mut client, 1_000);
    let grant = Grant { to: 3, number: request.number, amount: Amount::calls(3) };
    assert!(
        !client.receive(400_000, Grant { to: 2, ..grant }, 1),
        "a grant for an earlier process is ignored"
    );
    assert!(
        client.receive(400_000, grant, 1) && !client.receive(400_001, grant, 1),
        "a duplicate is ignored"
    );
    assert_eq!(client.spend(400_002, |_| false), Some(Payment::Leased(1)));
    assert_eq!(
        client.spend(501_000, |_| false),
        None,
        "the lease expires 0.5 s after the request at 0.001 s"
    );
}

#[test]
fn grant_received_after_its_lifetime_is_dropped() {
    let mut client = QuotaClient::new(parameters(), 3, 0);
    let request = request_for_20_calls(&mut client, 0);
    assert!(!client.receive(500_000, Grant { to: 3, number: request.number, amount: ONE_CALL }, 1));
}

#[test]
fn quota_lease_under_a_fenced_authority_is_dropped() {
    let mut client = QuotaClient::new(parameters(), 3, 0);
    let request = request_for_20_calls(&mut client, 0);
    client.receive(1_000, Grant { to: 3, number: request.number, amount: Amount::calls(2) }, 7);
    assert_eq!(client.spend(2_000, |authority| *authority == 7), None);
    assert_eq!(client.balance(2_000), Amount::ZERO, "the lease was removed");
}

#[test]
fn reserve_without_an_allocator_starts_empty_and_is_refilled() {
    let mut client =
        QuotaClient::<u8>::new(QuotaParameters { reserve_capacity: Amount::calls(2), ..parameters() }, 3, 0);
    assert_eq!(client.spend(0, |_| false), None);
    assert_eq!(client.spend(10_000_000, |_| false), Some(Payment::Reserve));
    assert_eq!(client.spend(10_000_000, |_| false), None);
}

#[test]
fn late_grant_for_an_earlier_request_is_dropped_after_the_latest_is_answered() {
    let mut client = QuotaClient::new(parameters(), 3, 0);
    let earlier = request_for_20_calls(&mut client, 0);
    let latest = request_for_20_calls(&mut client, 100_000);
    assert!(client.receive(110_000, Grant { to: 3, number: latest.number, amount: ONE_CALL }, 1));
    assert!(!client.receive(120_000, Grant { to: 3, number: earlier.number, amount: ONE_CALL }, 1));
}
