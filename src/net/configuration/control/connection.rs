//! Connections to control services over mutual TLS.

use crate::net::frontend::tls::{FileError, bytes_of, provider};
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, InvalidDnsNameError, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use sagearch_operators::control::{Control, ServiceAddress};
use sagearch_stream::subscriber::CONNECT_TIMEOUT;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long a read blocks when no bytes are available.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a write blocks when the control service does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A TLS connection to a control service.
pub(super) type Stream = StreamOwned<ClientConnection, TcpStream>;

/// Why a connection to a control service could not be established.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The operators' file lists fewer addresses.
    #[error("expected the index of a control service address in the operators' file, got {0}")]
    UnknownAddress(usize),
    /// A file of certificates or keys can't be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file of certificates or keys is not PEM.
    #[error(transparent)]
    Pem(#[from] pem::Error),
    /// The server name in the operators' file is not a valid DNS name.
    #[error(transparent)]
    ServerName(#[from] InvalidDnsNameError),
    /// The certificates are not valid, or the handshake can't be started.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The socket or the handshake failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Connects to the service whose address has this index in the operators' file. Blocks until the TLS handshake is
/// complete.
pub(super) fn connect(control: &Control, address_index: usize) -> Result<Stream, ConnectError> {
    let ServiceAddress { address, server_name } =
        control.addresses.get(address_index).ok_or(ConnectError::UnknownAddress(address_index))?;
    let timeout = Duration::from_millis(CONNECT_TIMEOUT);
    let mut socket = TcpStream::connect_timeout(address, timeout)?;
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_read_timeout(Some(timeout))?;
    let name = ServerName::try_from(server_name.clone())?;
    let mut connection = ClientConnection::new(tls_config(control)?, name)?;
    while connection.is_handshaking() {
        connection.complete_io(&mut socket)?;
    }
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(StreamOwned::new(connection, socket))
}

/// Builds the TLS configuration from its files. They are read for each connection, because certificates are renewed
/// while the gateway runs.
fn tls_config(control: &Control) -> Result<Arc<ClientConfig>, ConnectError> {
    let mut roots = RootCertStore::empty();
    for root in CertificateDer::pem_slice_iter(&bytes_of(&control.roots)?) {
        roots.add(root?)?;
    }
    let chain = bytes_of(&control.certificate)?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&chain).collect();
    let key = PrivateKeyDer::from_pem_slice(&bytes_of(&control.key)?)?;
    let builder = ClientConfig::builder_with_provider(provider()).with_safe_default_protocol_versions()?;
    let builder = builder.with_root_certificates(roots);
    Ok(Arc::new(builder.with_client_auth_cert(chain?, key)?))
}
