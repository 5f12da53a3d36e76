//! The listening addresses that speak TLS, and the certificates that they show.

use super::error::TlsError;
use super::files::{TrustParts, bytes_of, read_pem};
use super::provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ClientHello, ResolvesServerCert, ServerSessionMemoryCache};
use rustls::sign::CertifiedKey;
use rustls::time_provider::TimeProvider;
use rustls::{ServerConfig, SupportedProtocolVersion};
use sagearch_identity::Presented;
use sagearch_operators::tls::{ClientAuth, Endpoint, KeyPair, Tls};
use std::collections::HashMap;
use std::slice;
use std::sync::Arc;
use std::time::Duration;

/// Sessions that may be resumed, of all clients together.
const MAX_SESSIONS: usize = 1_024;
/// The only protocol inside TLS.
const ALPN_HTTP_1_1: &[u8] = b"http/1.1";
const TLS_1_3_ONLY: &[&SupportedProtocolVersion] = &[&rustls::version::TLS13];
const TLS_1_2_AND_1_3: &[&SupportedProtocolVersion] = &[&rustls::version::TLS13, &rustls::version::TLS12];

/// A certificate with its private key, and the names that it is for.
struct ServerCertificate {
    key: Arc<CertifiedKey>,
    names: Vec<String>,
}

impl ServerCertificate {
    fn read(pair: &KeyPair) -> Result<ServerCertificate, TlsError> {
        let chain: Vec<CertificateDer> = read_pem(slice::from_ref(&pair.chain), "certificate")?;
        let leaf = Presented::read(&chain)
            .map_err(|source| TlsError::Certificate { path: pair.chain.clone(), source })?;
        let key = PrivateKeyDer::from_pem_slice(&bytes_of(&pair.key)?)
            .map_err(|_| TlsError::NoPrivateKey { path: pair.key.clone() })?;
        // The key must be the certificate's own: the two may be in the middle of being replaced.
        let key = CertifiedKey::from_der(chain, key, &provider())
            .map_err(|source| TlsError::PrivateKey { path: pair.key.clone(), source })?;
        Ok(ServerCertificate { key: Arc::new(key), names: leaf.names })
    }
}

/// Chooses the certificate to show by the server name that a client asks for.
#[derive(Debug)]
struct CertificateResolver {
    /// Shown where no name matches.
    default: Arc<CertifiedKey>,
    exact: HashMap<String, Arc<CertifiedKey>>,
    /// By the domain below which a wildcard stands.
    wildcard: HashMap<String, Arc<CertifiedKey>>,
}

impl CertificateResolver {
    fn read(endpoint: &Endpoint) -> Result<CertificateResolver, TlsError> {
        let (mut exact, mut wildcard, mut default) = (HashMap::new(), HashMap::new(), None);
        for pair in &endpoint.certificates {
            let ServerCertificate { key, names } = ServerCertificate::read(pair)?;
            for name in names {
                let name = name.to_ascii_lowercase();
                // Of several certificates for one name the first is shown.
                match name.strip_prefix("*.") {
                    Some(domain) => wildcard.entry(domain.to_string()).or_insert_with(|| key.clone()),
                    None => exact.entry(name).or_insert_with(|| key.clone()),
                };
            }
            default.get_or_insert(key);
        }
        Ok(CertificateResolver { default: default.ok_or(TlsError::NoCertificate)?, exact, wildcard })
    }

    fn find(&self, name: Option<&str>) -> &Arc<CertifiedKey> {
        let found = name.and_then(|name| {
            let name = name.to_ascii_lowercase();
            let wildcard = || self.wildcard.get(name.split_once('.')?.1);
            self.exact.get(&name).or_else(wildcard)
        });
        found.unwrap_or(&self.default)
    }
}

impl ResolvesServerCert for CertificateResolver {
    fn resolve(&self, hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.find(hello.server_name()).clone())
    }
}

/// How one listening address speaks TLS.
pub struct Terms {
    pub(super) config: Arc<ServerConfig>,
    /// How many handshakes may be under way at a time.
    pub handshakes: usize,
    /// How long a handshake may take.
    pub within: Duration,
}

impl Terms {
    fn read(
        endpoint: &Endpoint,
        tls: &Tls,
        parts: &TrustParts,
        time: &Arc<dyn TimeProvider>,
    ) -> Result<Arc<Terms>, TlsError> {
        let versions = if tls.allows_tls12 { TLS_1_2_AND_1_3 } else { TLS_1_3_ONLY };
        let builder = ServerConfig::builder_with_details(provider(), time.clone());
        let builder = builder.with_protocol_versions(versions).map_err(TlsError::Versions)?;
        let trust = match endpoint.client_auth {
            ClientAuth::Off => None,
            asks => parts.trust(asks == ClientAuth::Required)?,
        };
        let builder = match trust {
            Some(trust) => builder.with_client_cert_verifier(trust.verifier()),
            None => builder.with_no_client_auth(),
        };
        let mut config = builder.with_cert_resolver(Arc::new(CertificateResolver::read(endpoint)?));
        config.session_storage = ServerSessionMemoryCache::new(MAX_SESSIONS);
        config.alpn_protocols = vec![ALPN_HTTP_1_1.to_vec()];
        Ok(Arc::new(Terms {
            config: Arc::new(config),
            handshakes: tls.handshakes,
            within: tls.handshake_timeout,
        }))
    }
}

/// The listening addresses that speak TLS; `None`: plain HTTP.
#[derive(Default)]
pub struct Endpoints {
    /// The clients' address.
    pub clients: Option<Arc<Terms>>,
    /// The operators' address.
    pub admin: Option<Arc<Terms>>,
}

impl Endpoints {
    /// Reads all that TLS needs. Sessions of before can't be resumed afterwards.
    ///
    /// # Errors
    ///
    /// If a file of certificates or keys can't be used.
    pub fn read(tls: &Tls, parts: &TrustParts, time: &Arc<dyn TimeProvider>) -> Result<Endpoints, TlsError> {
        let terms = |endpoint: &Endpoint| Terms::read(endpoint, tls, parts, time);
        Ok(Endpoints {
            clients: tls.clients.as_ref().map(terms).transpose()?,
            admin: tls.admin.as_ref().map(terms).transpose()?,
        })
    }
}
