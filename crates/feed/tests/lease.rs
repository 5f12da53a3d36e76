//! Tests of the freshness lease.

use proptest::prelude::*;
use sagearch_feed::lease::{Lease, expired_everywhere_after};

const DURATION_MICROS: u64 = 1_700_000;

#[test]
fn lease_before_first_answer_is_expired() {
    let lease = Lease::new(DURATION_MICROS, 10, 0);
    assert!(lease.is_expired(0) && lease.is_expired(u64::MAX));
    assert_eq!((lease.expires_at(), lease.as_of()), (None, None));
    assert_eq!(lease.purge_floor(5_000_000), Some(5_000_000 - 1_683_000));
}

#[test]
fn lease_at_its_end_expires() {
    let mut lease = Lease::new(DURATION_MICROS, 10, 0);
    lease.renew(1_000_000);
    assert_eq!(lease.expires_at(), Some(2_683_000));
    assert!(!lease.is_expired(2_682_999) && lease.is_expired(2_683_000));
    assert_eq!(lease.purge_floor(2_682_999), None);
}

#[test]
fn purge_floor_after_expiry_advances_with_time() {
    let mut lease = Lease::new(DURATION_MICROS, 0, 0);
    lease.renew(0);
    assert_eq!(lease.purge_floor(DURATION_MICROS), Some(0));
    assert_eq!(lease.purge_floor(DURATION_MICROS + 60_000_000), Some(60_000_000));
}

#[test]
fn purge_floor_after_restart_is_not_before_process_start() {
    // Purges acknowledged by an earlier process count as applied, although this process does not know them.
    let mut lease = Lease::new(DURATION_MICROS, 0, 5_000_000);
    assert_eq!(lease.purge_floor(5_000_001), Some(5_000_000));
    lease.renew(3_000_000);
    assert_eq!(lease.purge_floor(5_000_001), Some(5_000_000));
    assert_eq!(lease.purge_floor(9_000_000), Some(9_000_000 - DURATION_MICROS));
}

#[test]
fn lease_renewed_by_older_answer_is_unchanged() {
    let mut lease = Lease::new(DURATION_MICROS, 10, 0);
    lease.renew(9_000_000);
    lease.renew(1_000_000);
    assert_eq!(lease.as_of(), Some(9_000_000));
    lease.renew(10_000_000);
    assert_eq!(lease.as_of(), Some(10_000_000));
}

#[test]
fn lease_with_extreme_values_saturates() {
    let mut lease = Lease::new(u64::MAX, 2_000, 0);
    lease.renew(u64::MAX);
    assert!(lease.is_expired(u64::MAX), "a lease on a clock that may stand still is expired");
    assert_eq!(expired_everywhere_after(u64::MAX, u32::MAX), u64::MAX);
}

proptest! {
    /// With both clocks within the drift, a lease that another process counts as expired is expired at its holder.
    #[test]
    fn lease_counted_as_expired_elsewhere_is_expired_at_its_holder(
        duration in 1_000_u64..5_000_000, drift in 0_u32..100, slow in 0_u32..100, fast in 0_u32..100,
    ) {
        let (slow, fast) = (u64::from(slow.min(drift)), u64::from(fast.min(drift)));
        let mut lease = Lease::new(duration, drift, 0);
        lease.renew(0);
        // The true time at which the other process counts the lease as expired; its clock is fast.
        let elapsed = expired_everywhere_after(duration, drift) * 1_000 / (1_000 + fast) + 1;
        let holder_clock = elapsed * (1_000 - slow) / 1_000;
        prop_assert!(lease.is_expired(holder_clock + 1));
    }
}
