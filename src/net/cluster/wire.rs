//! Datagrams between gateways of a fleet: at most 256 bytes each, by `postcard`, with a version in front. Fields and variants
//! are encoded by their order, which therefore stays.

use sagearch_homes::message::{Claims, LeaseMessage};
use sagearch_homes::{Claim, Epoch, FenceTable, Incarnation, Slice};
use sagearch_ledger::{Amount, Grant, GrantRequest};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest datagram that gateways may send.
pub const MAX_DATAGRAM: usize = 256;
/// The part of it that the failure detector's messages may take.
pub const MAX_PAYLOAD: usize = 220;
/// The first byte of each datagram.
const VERSION: u8 = 1;

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// From the fleet's name (see [`fleet_tag`]): datagrams of other fleets are dropped.
    fleet: u32,
    /// The incarnation of the sender, which its address identifies.
    pub incarnation: Incarnation,
    /// The content.
    pub body: Body,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the failure detector.
    Alive(Vec<u8>),
    /// A message on leases, among the members of a region.
    Lease(LeaseMessage),
    /// To members of the own region: claims that have won against others.
    Fence(Claims),
    /// To another region. A receiver that is not the slice's lease holder forwards it, once.
    Remote {
        /// The member that wrote the message.
        from: u16,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether the datagram's sender forwarded the message.
        forwarded: bool,
        /// The message.
        message: RemoteMessage,
    },
    /// A member requests a grant from the lease holder.
    GrantRequest {
        /// The budget's number in the operators' file.
        budget: u8,
        /// How much is requested.
        request: GrantRequest,
    },
    /// The lease holder's answer.
    Grant {
        /// The budget's number in the operators' file.
        budget: u8,
        /// Under which lease and claim the grant was issued.
        authority: GrantAuthority,
        /// The granted amount.
        grant: Grant,
    },
}

/// A message between regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemoteMessage {
    /// The sender's claims, or those that win against the receiver's.
    Claims(Claims),
    /// A claimant requests a part of another region's rate.
    RateTransferRequest(RateTransfer),
    /// The answer, with the rate that is transferred.
    RateTransferGranted(RateTransfer),
}

/// A part of a region's rate, as requested or as transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateTransfer {
    /// The budget's number in the operators' file.
    pub budget: u8,
    /// The number of the request, which the answer repeats.
    pub number: u32,
    /// The claim of the region that receives the rate.
    pub claim: Claim,
    /// The rate, a second.
    pub rate: Amount,
    /// All that the allocator of this message's sender has issued.
    pub issued: Amount,
}

/// The lease, and the region's claim, under which a grant was issued: void once the claim is fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAuthority {
    /// The slice of the budget.
    pub slice: Slice,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// The claim, for a federated budget.
    pub claim: Option<Claim>,
}

impl GrantAuthority {
    /// Whether a higher claim on the slice is known: the grant is void then.
    pub fn is_fenced(&self, fences: &FenceTable) -> bool {
        self.claim.is_some_and(|claim| fences.is_fenced(self.slice, &claim))
    }
}

/// Why a datagram can't be sent or is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// Longer than [`MAX_DATAGRAM`].
    #[error("the datagram is longer than {MAX_DATAGRAM} bytes")]
    TooLong,
    /// Not in the format of this version.
    #[error("the datagram can't be encoded or decoded")]
    Malformed,
    /// Of a program with another version of the format.
    #[error("the datagram is of another version")]
    OtherVersion,
    /// Of a fleet with another name.
    #[error("the datagram is of another fleet")]
    OtherFleet,
}

impl DatagramError {
    /// The label of the metric that counts dropped datagrams.
    pub fn label(self) -> &'static str {
        match self {
            DatagramError::TooLong => "too_long",
            DatagramError::Malformed => "unreadable",
            DatagramError::OtherVersion => "other_version",
            DatagramError::OtherFleet => "other_fleet",
        }
    }
}

/// Distinguishes fleets by a hash of their names.
pub fn fleet_tag(name: &str) -> u32 {
    crate::hash::of_text(name) as u32
}

/// Encodes a datagram.
///
/// # Errors
///
/// If it is longer than [`MAX_DATAGRAM`].
pub fn encode(fleet: u32, incarnation: Incarnation, body: Body) -> Result<Vec<u8>, DatagramError> {
    let datagram = Datagram { version: VERSION, fleet, incarnation, body };
    let bytes = postcard::to_stdvec(&datagram).map_err(|_| DatagramError::Malformed)?;
    if bytes.len() > MAX_DATAGRAM { Err(DatagramError::TooLong) } else { Ok(bytes) }
}

/// Decodes a datagram of the fleet.
///
/// # Errors
///
/// If it is too long, malformed, or of another version or fleet.
pub fn decode(fleet: u32, bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(DatagramError::TooLong);
    }
    // The rest may have another meaning in another version.
    if bytes.first() != Some(&VERSION) {
        return Err(DatagramError::OtherVersion);
    }
    let (datagram, rest) =
        postcard::take_from_bytes::<Datagram>(bytes).map_err(|_| DatagramError::Malformed)?;
    if datagram.fleet != fleet {
        return Err(DatagramError::OtherFleet);
    }
    if rest.is_empty() { Ok(datagram) } else { Err(DatagramError::Malformed) }
}

#[cfg(test)]
mod tests;
