//! Ownership of the state that a fleet shares: leases within a region, and claims between regions. The crate does no I/O,
//! reads no clock and starts no threads: callers pass in the time, in microseconds of their own monotonic clock, and
//! random numbers.
//!
//! Shared state is partitioned into [slices](Slice). Within a region each slice has at most one lease holder: a gateway to
//! which a majority of the region's configured [voters](voter) has granted a [lease](lease_holder). No two gateways hold
//! the lease at the same time, whatever messages are lost, delayed or duplicated and whichever processes are suspended or
//! restarted, as long as every clock runs within the configured drift of true time.
//!
//! Across regions no quorum is required, so that each region can continue when the others are unreachable. Instead, lease
//! holders [claim](region_claims) slices for their region, and claims of two regions may be active at the same time. Every
//! gateway that receives both knows [which one loses](claim::compare). From then on the losing claim is
//! [fenced](fences): anything issued under it is rejected.

#![warn(missing_docs)]

pub mod claim;
pub mod fences;
pub mod lease_holder;
pub mod message;
pub mod placement;
pub mod region_claims;
pub mod voter;

pub use claim::Claim;
pub use fences::FenceTable;
pub use lease_holder::{LeaseChange, LeaseHolder, LossReason};
pub use message::{ClaimStatus, Claims, LeaseMessage};
pub use region_claims::{ClaimChange, RegionClaims};

use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in time or a duration, in microseconds of the caller's own monotonic clock.
pub type Micros = u64;

/// The number of a lease on a slice. It increases with each new lease; a renewal keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The next epoch.
    #[must_use]
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }

    /// Whether this epoch is at most [`MAX_ADVANCE`] ahead of the `known` one.
    fn is_reachable_from(self, known: Epoch) -> bool {
        self.0 <= known.0.saturating_add(MAX_ADVANCE)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one process of a gateway. It increases with each restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A gateway, identified by its number in the fleet's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u16);

/// A region, identified by its number in the fleet's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Region(pub u8);

/// A partition of the hash space: the unit of leases and claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slice(pub u16);

/// The largest accepted step of an epoch or a term over the highest known one: without a limit, one faulty message could
/// exhaust the range of numbers. Epochs start at Unix time in microseconds, so the limit is about 35 years.
pub const MAX_ADVANCE: u64 = 1 << 50;

/// One whole, in thousandths.
const PER_MILLE: u32 = 1_000;

/// Renewals attempted during one lease: all but one of them may be lost.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// Lease parameters, which must be the same on all members of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The number of slices.
    pub slices: u16,
    /// How long a lease is valid, by the holder's clock, counted from its request.
    pub lease_duration: Micros,
    /// How much faster or slower than true time a clock may run, in thousandths.
    pub drift_per_mille: u32,
}

impl LeaseConfig {
    /// How long a voter keeps its promise to a lease holder, by the voter's clock.
    ///
    /// The holder's clock may be slow by the drift, so that its lease ends after `lease x (1 + drift)` of true time. The
    /// voter's clock may be fast by the drift, so that it must count `1 + drift` times that.
    pub fn promise_duration(&self) -> Micros {
        let stretched = u128::from(self.lease_duration)
            * u128::from(PER_MILLE + self.drift_per_mille)
            * u128::from(PER_MILLE + self.drift_per_mille);
        stretched.div_ceil(u128::from(PER_MILLE) * u128::from(PER_MILLE)) as Micros
    }

    /// The interval between renewals of a lease.
    pub fn heartbeat_interval(&self) -> Micros {
        heartbeat_interval(self.lease_duration)
    }

    /// The slice to which a hash belongs.
    pub fn slice(&self, hash: u64) -> Slice {
        Slice((hash % u64::from(self.slices.max(1))) as u16)
    }

    /// All slices, in order.
    pub fn all_slices(&self) -> impl Iterator<Item = Slice> + use<> {
        (0..self.slices).map(Slice)
    }
}

/// The interval between renewals of a lease of this duration.
fn heartbeat_interval(lease_duration: Micros) -> Micros {
    (lease_duration / HEARTBEATS_PER_LEASE).max(1)
}
