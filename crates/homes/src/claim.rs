//! Claims of regions on a slice, and which of two claims wins.
//!
//! A claim is a fencing token. **The higher of two claims wins**, in a total order that is the same on all gateways and
//! doesn't depend on messages received later. Claims are compared by:
//!
//! 1. the *term*: a claimant that starts a new term knew the claim of the previous one and waited until it was no longer
//!    confirmed. Others may have built on the new term since, so that a return to the older one would undo more;
//! 2. the region's *rank* for the slice: it is the same on all gateways and varies from slice to slice, so that no region
//!    loses every tie;
//! 3. the *epoch* of the claimant's lease and the *incarnation* of its process: within a region the later lease holder is
//!    the one that the majority chose.
//!
//! Acknowledgements of a claim are reported to operators and don't affect the order: they change over time, and each
//! gateway sees a different subset of them.

use crate::placement::rank;
use crate::{Epoch, Incarnation, Region, Slice};
use serde::{Deserialize, Serialize};
use std::cmp::{Ordering, Reverse};

/// A region's claim on a slice, made by the slice's lease holder in that region. Claims are sent to other gateways in an
/// encoding that depends on the order of the fields: it must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The term of the claim. It increases when the slice passes to another region; a later lease holder of the same region
    /// normally keeps it.
    pub term: u64,
    /// The claimant's region.
    pub region: Region,
    /// The epoch of the claimant's lease.
    pub epoch: Epoch,
    /// The claimant's process.
    pub incarnation: Incarnation,
    /// Whether the previous claim had been released or was of the same region, so that the two were never active at the
    /// same time. Not part of the order.
    pub handed_over: bool,
}

/// Compares two claims on a slice: the greater one wins. `regions` are all regions of the fleet.
pub fn compare(slice: Slice, first: &Claim, second: &Claim, regions: &[Region]) -> Ordering {
    let precedence = |claim: &Claim| {
        (claim.term, Reverse(rank(slice, claim.region, regions)), claim.epoch, claim.incarnation)
    };
    precedence(first).cmp(&precedence(second))
}
