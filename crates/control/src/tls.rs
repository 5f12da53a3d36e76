//! Certificates, keys and roots, from files, for both sides.

use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::Path;
use std::sync::Arc;

pub fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn bytes(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes(path)?).collect();
    let all = all.map_err(|_| format!("{}: not PEM", path.display()))?;
    if all.is_empty() { Err(format!("{}: holds no certificate", path.display())) } else { Ok(all) }
}

fn key(path: &Path) -> Result<PrivateKeyDer<'static>, String> {
    PrivateKeyDer::from_pem_slice(&bytes(path)?)
        .map_err(|_| format!("{}: holds no private key", path.display()))
}

fn roots(path: &Path) -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    for root in chain(path)? {
        store.add(root).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(store)
}

/// For a side that asks the other one for a certificate.
pub fn server(certificate: &Path, private: &Path, trusted: &Path) -> Result<Arc<ServerConfig>, String> {
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots(trusted)?), provider()).build();
    let builder = ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| e.to_string())?
        .with_client_cert_verifier(verifier.map_err(|e| e.to_string())?);
    let mut config =
        builder.with_single_cert(chain(certificate)?, key(private)?).map_err(|e| e.to_string())?;
    // Who is there is read from the certificate of each connection.
    config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
    Ok(Arc::new(config))
}

pub fn client(certificate: &Path, private: &Path, trusted: &Path) -> Result<Arc<ClientConfig>, String> {
    let builder = ClientConfig::builder_with_provider(provider()).with_safe_default_protocol_versions();
    let builder = builder.map_err(|e| e.to_string())?.with_root_certificates(roots(trusted)?);
    let config = builder.with_client_auth_cert(chain(certificate)?, key(private)?);
    config.map(Arc::new).map_err(|e| e.to_string())
}
