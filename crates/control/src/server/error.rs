//! Errors of starting the service, of a connection and of a publication.

use crate::DOCUMENT;
use crate::disk::LoadError;
use crate::tls::TlsError;
use sagearch_operators::Diagnostics;
use sagearch_stream::message::FrameError;
use sagearch_stream::service::PublishError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Error that prevents the service from starting.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The data folder can't be used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The certificate, key or roots can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The listener can't be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Listen address from the service's file.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Reason for which a connection ended.
#[derive(Debug, Error)]
pub(super) enum ConnectionEnd {
    #[error("the peer closed the connection")]
    ClosedByPeer,
    #[error("the service closed the connection")]
    ClosedByService,
    #[error("the certificate identifies neither a gateway nor an operator")]
    UnknownCertificate,
    #[error("the handshake or a write timed out")]
    TimedOut,
    #[error("the queue of outgoing messages is full")]
    QueueFull,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Error of a publication or rollback, sent to the operator as the answer to the command.
#[derive(Debug, Error)]
pub(super) enum PublicationError {
    #[error("there is no {DOCUMENT}")]
    MissingDocument,
    /// The document has errors, reported with line and column.
    #[error(transparent)]
    Document(#[from] Diagnostics),
    #[error(transparent)]
    Prepare(#[from] PublishError),
    #[error("not kept: {0}")]
    NotStored(#[source] io::Error),
}
