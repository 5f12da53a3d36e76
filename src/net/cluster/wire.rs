//! The format of datagrams between gateways of a fleet: a version byte followed by fields, encoded with `postcard`, in at most
//! 256 bytes. Fields and variants are encoded by their order, which must therefore not change.

use sagearch_homes::message::{Claims, LeaseMessage};
use sagearch_homes::{Claim, Epoch, FenceTable, Incarnation, Slice};
use sagearch_ledger::{Amount, Grant, GrantRequest};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The maximum length of a failure detector message within a datagram, in bytes.
pub const MAX_GOSSIP_BYTES: usize = 220;
/// The version of the format, which is the first byte of each datagram.
const VERSION: u8 = 1;

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// The hash of the fleet's name (see [`fleet_tag`]). Datagrams of other fleets are dropped.
    fleet: u32,
    /// The incarnation of the sender, which its address identifies.
    pub incarnation: Incarnation,
    /// The content of the datagram.
    pub body: Body,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the failure detector.
    Alive(Vec<u8>),
    /// A message about leases, between members of a region.
    Lease(LeaseMessage),
    /// Claims that have won against others, reported to members of the same region.
    Fence(Claims),
    /// A message to another region. A receiver that is not the slice's lease holder forwards it, once.
    Remote {
        /// The member that wrote the message.
        from: u16,
        /// The incarnation of the member that wrote the message.
        incarnation: Incarnation,
        /// Whether the datagram's sender forwarded the message.
        forwarded: bool,
        /// The message to the other region.
        message: RemoteMessage,
    },
    /// A member's request to the lease holder for a grant.
    GrantRequest {
        /// The budget's number in the operators' file.
        budget: u8,
        /// The requested amount and the number of the request.
        request: GrantRequest,
    },
    /// The lease holder's answer to a grant request.
    Grant {
        /// The budget's number in the operators' file.
        budget: u8,
        /// The lease and claim under which the grant was issued.
        authority: GrantAuthority,
        /// The grant as issued by the allocator.
        grant: Grant,
    },
}

/// A message between regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemoteMessage {
    /// The sender's claims, or claims that win against the receiver's.
    Claims(Claims),
    /// A claimant's request for a part of another region's rate.
    RateTransferRequest(RateTransfer),
    /// The answer to a rate transfer request, with the rate that is transferred.
    RateTransferGranted(RateTransfer),
}

/// A requested or granted transfer of a part of a region's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateTransfer {
    /// The budget's number in the operators' file.
    pub budget: u8,
    /// The number of the request, which the answer repeats.
    pub number: u32,
    /// The claim of the region that receives the rate.
    pub claim: Claim,
    /// The requested or transferred rate, per second.
    pub rate: Amount,
    /// The total that the allocator of this message's sender has issued.
    pub issued: Amount,
}

/// The lease and the region's claim under which a grant was issued. The grant is void once the claim is fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAuthority {
    /// The slice of the budget.
    pub slice: Slice,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// The region's claim, if the budget is federated.
    pub claim: Option<Claim>,
}

impl GrantAuthority {
    /// Whether a higher claim on the slice is known, which makes the grant void.
    pub fn is_fenced(&self, fences: &FenceTable) -> bool {
        self.claim.is_some_and(|claim| fences.is_fenced(self.slice, &claim))
    }
}

/// Why a datagram can't be sent or is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The datagram can't be encoded, or its content is not in the format of this version.
    #[error("the datagram can't be encoded, or is not in the format of version {VERSION}")]
    Malformed,
    /// The datagram has another version of the format.
    #[error("the datagram's format version is not {VERSION}")]
    OtherVersion,
    /// The datagram is from a fleet with another name.
    #[error("the datagram is from another fleet")]
    OtherFleet,
}

impl DatagramError {
    /// Returns the label under which the metrics count the dropped datagram.
    pub fn label(self) -> &'static str {
        match self {
            DatagramError::TooLong => "too_long",
            DatagramError::Malformed => "unreadable",
            DatagramError::OtherVersion => "other_version",
            DatagramError::OtherFleet => "other_fleet",
        }
    }
}

/// Returns the hash of a fleet's name, which distinguishes its datagrams from those of other fleets.
pub fn fleet_tag(name: &str) -> u32 {
    crate::hash::of_text(name) as u32
}

/// Encodes a datagram.
///
/// # Errors
///
/// If the datagram is longer than [`MAX_DATAGRAM_BYTES`] or can't be encoded.
pub fn encode(fleet: u32, incarnation: Incarnation, body: Body) -> Result<Vec<u8>, DatagramError> {
    let datagram = Datagram { version: VERSION, fleet, incarnation, body };
    let bytes = postcard::to_stdvec(&datagram).map_err(|_| DatagramError::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES { Err(DatagramError::TooLong) } else { Ok(bytes) }
}

/// Decodes a datagram of the fleet.
///
/// # Errors
///
/// If the datagram is too long, malformed, or of another version or fleet.
pub fn decode(fleet: u32, bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong);
    }
    // Checked first, as the rest may have another meaning in another version.
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
