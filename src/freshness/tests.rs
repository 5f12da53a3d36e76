//! Tests of the freshness lease and of the revalidation budget.

use super::*;

const SECOND: Micros = 1_000_000;
const LEASE_DURATION: Micros = SECOND;
const REVALIDATIONS_PER_SECOND: u32 = 3;

fn lease(as_of: Micros) -> Lease {
    let mut lease = Lease::new(LEASE_DURATION, 0, 0);
    lease.renew(as_of);
    lease
}

fn freshness() -> Freshness {
    let mut freshness = Freshness::default();
    freshness.renew(0, lease(0), REVALIDATIONS_PER_SECOND);
    freshness
}

/// Spends the whole budget and returns the number of revalidations that it allowed.
fn spend_all(freshness: &mut Freshness, now: Micros) -> usize {
    (0..100).take_while(|_| freshness.spend(now)).count()
}

#[test]
fn purge_floor_without_a_lease_is_none() {
    assert_eq!(Freshness::default().purge_floor(SECOND), None);
}

#[test]
fn purge_floor_is_set_only_while_the_lease_is_expired() {
    let mut freshness = freshness();
    assert_eq!(freshness.purge_floor(LEASE_DURATION - 1), None);
    assert!(freshness.purge_floor(LEASE_DURATION).is_some());
    freshness.renew(LEASE_DURATION, lease(LEASE_DURATION), REVALIDATIONS_PER_SECOND);
    assert_eq!(freshness.purge_floor(LEASE_DURATION), None);
}

#[test]
fn spend_beyond_the_capacity_is_rejected_and_counted() {
    let mut freshness = freshness();
    assert_eq!(spend_all(&mut freshness, 0), 3);
    assert_eq!(freshness.refused(), 1);
}

#[test]
fn budget_refills_at_its_rate_up_to_its_capacity() {
    let mut freshness = freshness();
    spend_all(&mut freshness, 0);
    assert_eq!(spend_all(&mut freshness, 2 * SECOND / 3 + 1), 2);
    assert_eq!(spend_all(&mut freshness, 60 * SECOND), 3);
}

#[test]
fn refund_never_exceeds_the_capacity() {
    let mut freshness = freshness();
    assert!(freshness.spend(0));
    freshness.refund();
    freshness.refund();
    assert_eq!(spend_all(&mut freshness, 0), 3);
}
