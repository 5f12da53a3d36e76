//! Errors of key sets.

use crate::json::JsonError;
use thiserror::Error;

/// The length of a coordinate on Ed25519's curve or P-256, in bytes.
pub(super) const COORDINATE_BYTES: usize = 32;

/// Why a key set is rejected.
#[derive(Debug, Error)]
pub enum KeySetError {
    /// The set is not a JSON object within its limits.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The set has no `keys` array.
    #[error("keys is missing or no list")]
    NoKeys,
    /// One of the set's keys is invalid.
    #[error("key {index}: {source}")]
    Key {
        /// The key's index in the array, from 0.
        index: usize,
        /// What is wrong with the key.
        source: KeyError,
    },
}

/// Why a key of a set is invalid.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The key is not a JSON object.
    #[error("not an object")]
    NotAnObject,
    /// A member is missing or not a string.
    #[error("{0} is missing or no text")]
    NotText(&'static str),
    /// A member is not base64url without padding.
    #[error("{member} is not base64url")]
    NotBase64Url {
        /// The member's name.
        member: &'static str,
        /// The decoder's error.
        source: base64::DecodeError,
    },
    /// A coordinate does not have the length that the curve requires.
    #[error("{member} has {bytes} bytes, not {COORDINATE_BYTES}")]
    CoordinateLength {
        /// The member's name.
        member: &'static str,
        /// The coordinate's length in bytes.
        bytes: usize,
    },
    /// The length of an RSA modulus is outside the accepted range.
    #[error("a modulus of {bits} bits is not from 2048 to 8192")]
    ModulusLength {
        /// The modulus's length in bits.
        bits: usize,
    },
    /// A member is not a time in seconds since the Unix epoch.
    #[error("{0} is no time in seconds")]
    NotATime(&'static str),
    /// `key_ops` is not an array.
    #[error("key_ops is no list")]
    KeyOperations,
    /// The key is published with its private key.
    #[error("it holds its private half")]
    PrivateKey,
    /// `kid` is not a string, is empty, or is longer than [`crate::MAX_NAME_BYTES`].
    #[error("kid is no name")]
    InvalidKid,
    /// Another key of the set has the same `kid`.
    #[error("its kid is another key's")]
    DuplicateKid,
}
