//! TLS of the listening addresses, by rustls over may's sockets.
//!
//! - `files`: certificates, keys, roots and revocation lists; `error`: why they can't be used;
//! - `endpoints`: how each address speaks TLS, and which certificate it shows;
//! - `session`: one connection.
//!
//! Early data, renegotiation and tickets are off: rustls has no renegotiation, and only sessions that this process
//! remembers under the same roots and certificates are resumed. Who a client is, is decided from its certificate chain at
//! each request, resumed or not ([`sagearch_identity::certificate`]).

mod endpoints;
mod error;
mod files;
mod session;

pub use endpoints::{Endpoints, Terms};
pub use error::{FileError, TlsError};
pub use files::{TrustParts, bytes_of};
pub use session::Secure;

use rustls::crypto::CryptoProvider;
use std::sync::{Arc, OnceLock};

/// The cryptography of all connections.
pub fn provider() -> Arc<CryptoProvider> {
    static PROVIDER: OnceLock<Arc<CryptoProvider>> = OnceLock::new();
    PROVIDER.get_or_init(|| Arc::new(rustls::crypto::ring::default_provider())).clone()
}
