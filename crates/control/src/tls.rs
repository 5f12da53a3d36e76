//! TLS configurations of the service and its clients, from files of certificates, keys and roots.

use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// Error of a TLS configuration.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file can't be read.
    #[error("{}: {source}", .file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file of certificates is not PEM-encoded.
    #[error("{}: expected PEM-encoded certificates", .0.display())]
    NotPem(PathBuf),
    /// A file of certificates holds none.
    #[error("{}: expected at least one certificate, found none", .0.display())]
    NoCertificate(PathBuf),
    /// A file of a private key holds none.
    #[error("{}: expected a PEM-encoded private key, found none", .0.display())]
    NoPrivateKey(PathBuf),
    /// A certificate can't be used as a root.
    #[error("{}: {source}", .file.display())]
    Root {
        /// Path of the file of roots.
        file: PathBuf,
        /// Error of the certificate.
        source: rustls::Error,
    },
    /// The certificate and key don't match, or can't be used.
    #[error(transparent)]
    Configuration(#[from] rustls::Error),
    /// A verifier of client certificates can't be built from the roots.
    #[error(transparent)]
    Verifier(#[from] VerifierBuilderError),
}

/// Returns the cryptography provider.
pub fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|source| TlsError::Unreadable { file: path.into(), source })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&read(path)?).collect();
    let certificates = certificates.map_err(|_| TlsError::NotPem(path.into()))?;
    if certificates.is_empty() { Err(TlsError::NoCertificate(path.into())) } else { Ok(certificates) }
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_slice(&read(path)?).map_err(|_| TlsError::NoPrivateKey(path.into()))
}

fn root_store(path: &Path) -> Result<RootCertStore, TlsError> {
    let mut store = RootCertStore::empty();
    for root in certificates(path)? {
        store.add(root).map_err(|source| TlsError::Root { file: path.into(), source })?;
    }
    Ok(store)
}

/// Returns the configuration of a server that requires a client certificate.
///
/// # Errors
/// [`TlsError`] if a file or its content can't be used.
pub fn server(certificate: &Path, key: &Path, roots: &Path) -> Result<Arc<ServerConfig>, TlsError> {
    let roots = Arc::new(root_store(roots)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build();
    let builder = ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier?);
    let mut config = builder.with_single_cert(certificates(certificate)?, private_key(key)?)?;
    // Sessions are not resumed: the role of a client is read from the certificate of each connection.
    config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
    Ok(Arc::new(config))
}

/// Returns the configuration of a client that presents a certificate.
///
/// # Errors
/// [`TlsError`] if a file or its content can't be used.
pub fn client(certificate: &Path, key: &Path, roots: &Path) -> Result<Arc<ClientConfig>, TlsError> {
    let builder = ClientConfig::builder_with_provider(provider()).with_safe_default_protocol_versions()?;
    let builder = builder.with_root_certificates(root_store(roots)?);
    let config = builder.with_client_auth_cert(certificates(certificate)?, private_key(key)?)?;
    Ok(Arc::new(config))
}
