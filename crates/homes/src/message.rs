//! Messages between members. Each fits a datagram of 256 bytes. The encoding depends on the order of fields and variants,
//! which must not change.

use crate::{Claim, Epoch, Incarnation, Member, Slice};
use serde::{Deserialize, Serialize};

/// Maximum number of slices in one message, at two bytes each.
pub const MAX_SLICES: usize = 80;
/// Maximum number of denied slices in one message, each with its latest epoch.
pub const MAX_DENIALS: usize = 16;
/// Maximum number of claims in one message, at about 26 bytes each.
pub const MAX_CLAIMS: usize = 7;

/// The latest epoch of a slice that a voter knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KnownEpoch {
    /// The slice.
    pub slice: Slice,
    /// Its latest epoch.
    pub epoch: Epoch,
}

/// A message between a lease holder and a voter of its region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Requests leases, or their renewal.
    Request {
        /// The number of the requester's round of requests.
        round: u32,
        /// The epoch of the leases.
        epoch: Epoch,
        /// The slices.
        slices: Vec<Slice>,
    },
    /// Grants leases: a vote for the requester.
    Granted {
        /// The incarnation that sent the request: after a restart, the next process may reach the same round and epoch.
        to: Incarnation,
        /// The round of the request.
        round: u32,
        /// The epoch of the request.
        epoch: Epoch,
        /// The slices whose leases are granted.
        slices: Vec<Slice>,
    },
    /// Denies leases: another member holds them, or a later epoch is known.
    Denied {
        /// The round of the request.
        round: u32,
        /// The denied slices, with the latest epochs that the voter knows.
        known: Vec<KnownEpoch>,
    },
    /// Releases leases before they expire.
    Released {
        /// The epoch of the leases.
        epoch: Epoch,
        /// The slices.
        slices: Vec<Slice>,
    },
}

/// A report from a lease holder to the lease holders of other regions: the highest claim that it knows for each slice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claims(pub Vec<ClaimStatus>);

/// A claim on a slice, and the time since its last confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimStatus {
    /// The claimed slice.
    pub slice: Slice,
    /// The claim.
    pub claim: Claim,
    /// Milliseconds since the claimant last confirmed the claim, as far as is known; `None` if it has been released.
    pub age: Option<u32>,
}

/// A message and its recipient.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The recipient.
    pub to: Member,
    /// The message.
    pub message: LeaseMessage,
}

/// Messages to send.
pub type Outgoing = Vec<Envelope>;

/// Identifies one process of a member. A restarted member has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// The member.
    pub member: Member,
    /// The incarnation of the member's process.
    pub incarnation: Incarnation,
}
