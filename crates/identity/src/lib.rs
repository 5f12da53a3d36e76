//! Caller authentication and authorization: the tenant and principal of a request and their rights, with keys and
//! settings that change at run time.
//!
//! Nothing here does I/O, reads a clock, starts a thread or generates a random number: bytes of key sets and
//! certificates, the time ([`Now`]) and a seed are passed in. [`Authority`] identifies callers with these modules:
//!
//! - [`token`]: compact JWS and JWT (RFC 7515, 7519, 8725), parsed strictly;
//! - [`jwks`]: public keys from JSON Web Key Sets (RFC 7517, 8037);
//! - [`keyring`]: the life cycle of an issuer's keys;
//! - `refresh`: the schedule by which an issuer's key set is fetched;
//! - [`certificate`]: client certificates, verified with roots and revocation lists that change;
//! - `tenants`: the mapping of claims, certificate names and networks to tenants;
//! - [`rights`]: the authorization rules of a tenant;
//! - `clock`: the step-tolerant clock that validity is checked against.
//!
//! [`issue`] generates signing keys and signs tokens, for small installations and tests.
//!
//! The caches hold only the result of signature verification, never the decision to accept a token or a certificate
//! chain: validity and revocation of the key, the token and the principal are checked at each request.
#![warn(missing_docs)]

pub mod authority;
pub mod caller;
pub mod certificate;
mod clock;
mod hex;
pub mod issue;
mod json;
pub mod jwks;
pub mod keyring;
mod refresh;
pub mod rights;
pub mod settings;
mod tenants;
pub mod token;

pub use authority::{Authority, Credentials, Handover};
pub use caller::{Caller, Proof, Reason};
pub use certificate::Presented;
pub use clock::Now;
pub use json::JsonError;
pub use settings::Settings;
pub use tenants::MarkConflict;

/// A point in time or a duration in milliseconds. Points in time are since the Unix epoch unless documented otherwise.
pub type Millis = u64;

/// The maximum length of a key id, an issuer or a subject, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
