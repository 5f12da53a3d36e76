//! Client certificates, verified with roots and revocation lists that change.
//!
//! The handshake proves once that the client has the private key. Everything else is checked at each request with the
//! chain that the connection stores: removing a root, revoking a serial number or passing `notAfter` makes the
//! certificate invalid on all connections, including those that resumed a session.

use crate::Millis;
use crate::caller::Reason;
use crate::hex;
use ring::digest::{Context, SHA256};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, UnixTime};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{CertificateError, RootCertStore};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// The maximum size of a chain in bytes.
pub const MAX_CHAIN_BYTES: usize = 32 * 1024;
/// The maximum number of certificates in a chain.
pub const MAX_CERTIFICATES: usize = 8;
/// The maximum number of names of a certificate that are read; the others are ignored.
pub const MAX_NAMES: usize = 64;

/// A certificate chain that a client has presented, parsed once per connection.
pub struct Presented {
    chain: Vec<CertificateDer<'static>>,
    pub(crate) digest: [u8; 32],
    /// The serial number of the client's own certificate, in the form of [`serial_of`].
    pub serial: String,
    /// The URIs in its subject alternative names.
    pub uris: Vec<String>,
    /// The DNS names in its subject alternative names.
    pub names: Vec<String>,
    common_name: Option<String>,
    /// The start of the client certificate's validity, in milliseconds since the Unix epoch.
    pub not_before: Millis,
    /// The end of the client certificate's validity, in milliseconds since the Unix epoch.
    pub not_after: Millis,
    /// The ends of validity of all certificates of the chain, in milliseconds since the Unix epoch.
    expiry_times: Vec<Millis>,
}

impl fmt::Debug for Presented {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "certificate {} of {:?}", self.serial, self.principal())
    }
}

fn millis(seconds: i64) -> Millis {
    u64::try_from(seconds).unwrap_or(0).saturating_mul(1_000)
}

impl Presented {
    /// Parses a chain that starts with the client's own certificate, without verifying it.
    ///
    /// # Errors
    ///
    /// The chain is empty or too large, or contains something other than X.509 certificates.
    pub fn read(chain: &[CertificateDer<'_>]) -> Result<Presented, Reason> {
        let size: usize = chain.iter().map(|certificate| certificate.len()).sum();
        if chain.is_empty() {
            return Err(Reason::Missing);
        }
        if chain.len() > MAX_CERTIFICATES || size > MAX_CHAIN_BYTES {
            return Err(Reason::TooLarge);
        }
        let mut context = Context::new(&SHA256);
        let mut expiry_times = Vec::new();
        for certificate in chain {
            context.update(&(certificate.len() as u64).to_be_bytes());
            context.update(certificate);
            let (_, parsed) = X509Certificate::from_der(certificate).map_err(|_| Reason::Malformed)?;
            expiry_times.push(millis(parsed.validity().not_after.timestamp()));
        }
        let (_, leaf) = X509Certificate::from_der(&chain[0]).map_err(|_| Reason::Malformed)?;
        let (mut uris, mut names) = (Vec::new(), Vec::new());
        let alternative_names = leaf.subject_alternative_name().map_err(|_| Reason::Malformed)?;
        for name in
            alternative_names.iter().flat_map(|extension| &extension.value.general_names).take(MAX_NAMES)
        {
            match name {
                GeneralName::URI(uri) => uris.push(uri.to_string()),
                GeneralName::DNSName(name) => names.push(name.to_string()),
                _ => {}
            }
        }
        let common_name = leaf.subject().iter_common_name().next().and_then(|name| name.as_str().ok());
        Ok(Presented {
            digest: context.finish().as_ref().try_into().unwrap_or_default(),
            serial: serial_of(&hex::encode(leaf.raw_serial())),
            uris,
            names,
            common_name: common_name.map(str::to_string),
            not_before: millis(leaf.validity().not_before.timestamp()),
            not_after: expiry_times[0],
            expiry_times,
            chain: chain.iter().map(|certificate| certificate.clone().into_owned()).collect(),
        })
    }

    /// The principal that the certificate names: the first URI, else the first DNS name, else the common name, else
    /// `-`.
    pub fn principal(&self) -> &str {
        let first = self.uris.first().or(self.names.first());
        first.or(self.common_name.as_ref()).map_or("-", String::as_str)
    }

    /// The next time at which a certificate of the chain expires, when the chain must be verified again.
    fn next_expiry(&self, now: Millis) -> Millis {
        self.expiry_times.iter().copied().filter(|expiry| *expiry > now).min().unwrap_or(now)
    }

    /// The approximate memory that the chain uses, in bytes.
    pub fn size(&self) -> usize {
        self.chain.iter().map(|certificate| certificate.len()).sum::<usize>() + size_of::<Self>()
    }
}

/// Normalizes a serial number for comparison: hex in lower case, without separators or leading zeros.
pub fn serial_of(text: &str) -> String {
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).collect();
    digits.trim_start_matches('0').to_ascii_lowercase()
}

/// Why roots or revocation lists are invalid.
#[derive(Debug, Error)]
pub enum TrustError {
    /// A root is not a valid certificate of a certificate authority.
    #[error("root {index}: {source}")]
    Root {
        /// The root's index among the roots, from 0.
        index: usize,
        /// What is wrong with the root.
        source: rustls::Error,
    },
    /// There are no roots.
    #[error("no roots")]
    NoRoots,
    /// A revocation list is invalid.
    #[error(transparent)]
    RevocationList(#[from] VerifierBuilderError),
}

/// The trusted certificate authorities and their revocation lists.
#[derive(Clone)]
pub struct Trust {
    verifier: Arc<dyn ClientCertVerifier>,
}

impl Trust {
    /// Creates the verifier. With `required`, a handshake without a certificate fails. With `lists_expire`,
    /// certificates of an authority are rejected once its revocation list has passed its next update.
    ///
    /// # Errors
    ///
    /// A root or a list is invalid, or there are no roots.
    pub fn new(
        roots: &[CertificateDer<'static>],
        lists: Vec<CertificateRevocationListDer<'static>>,
        lists_expire: bool,
        required: bool,
        provider: Arc<CryptoProvider>,
    ) -> Result<Trust, TrustError> {
        let mut store = RootCertStore::empty();
        for (index, root) in roots.iter().enumerate() {
            store.add(root.clone()).map_err(|source| TrustError::Root { index, source })?;
        }
        if store.is_empty() {
            return Err(TrustError::NoRoots);
        }
        // Not every authority publishes a revocation list.
        let mut builder = WebPkiClientVerifier::builder_with_provider(Arc::new(store), provider)
            .with_crls(lists)
            .allow_unknown_revocation_status();
        if lists_expire {
            builder = builder.enforce_revocation_expiration();
        }
        if !required {
            builder = builder.allow_unauthenticated();
        }
        let verifier = builder.build()?;
        Ok(Trust { verifier })
    }

    /// The verifier for TLS handshakes.
    pub fn verifier(&self) -> Arc<dyn ClientCertVerifier> {
        self.verifier.clone()
    }

    /// Verifies a chain at the time `now`.
    ///
    /// # Errors
    ///
    /// A certificate has expired, is not valid yet or is revoked, or the chain does not lead to a root.
    pub fn verify(&self, presented: &Presented, now: Millis) -> Result<(), Reason> {
        let (leaf, intermediates) = presented.chain.split_first().ok_or(Reason::Missing)?;
        let now = UnixTime::since_unix_epoch(Duration::from_millis(now));
        match self.verifier.verify_client_cert(leaf, intermediates, now) {
            Ok(_) => Ok(()),
            Err(rustls::Error::InvalidCertificate(error)) => Err(match error {
                CertificateError::Expired | CertificateError::ExpiredContext { .. } => {
                    Reason::CertificateExpired
                }
                CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                    Reason::NotYetValid
                }
                CertificateError::Revoked => Reason::CertificateRevoked,
                _ => Reason::CertificateUntrusted,
            }),
            Err(_) => Err(Reason::CertificateUntrusted),
        }
    }
}

/// A chain that was verified with one generation of [`Trust`], with the period in which that result is valid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VerifiedChain {
    generation: u64,
    valid_from: Millis,
    valid_until: Millis,
}

impl VerifiedChain {
    pub(crate) fn new(presented: &Presented, generation: u64, now: Millis) -> VerifiedChain {
        VerifiedChain { generation, valid_from: now, valid_until: presented.next_expiry(now) }
    }

    pub(crate) fn is_valid(&self, generation: u64, now: Millis) -> bool {
        self.generation == generation && (self.valid_from..self.valid_until).contains(&now)
    }
}
