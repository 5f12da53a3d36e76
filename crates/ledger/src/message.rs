//! Messages between quota clients and quota allocators.

use crate::Amount;
use serde::{Deserialize, Serialize};

/// A request for quota, sent by a quota client to the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Identifies the request, so that a duplicate gets the same answer. Wraps around.
    pub number: u32,
    /// The amount that the client could spend.
    pub want: Amount,
}

/// The allocator's answer to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The incarnation that sent the request, because a later process of the same gateway may reuse the number.
    pub to: u64,
    /// The number of the request.
    pub number: u32,
    /// The granted amount, which may be zero.
    pub amount: Amount,
}
