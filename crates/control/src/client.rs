//! Client of the control service: publish, status, rollback and the documents of a version.

use crate::tls::{self, TlsError};
use rustls::pki_types::{InvalidDnsNameError, ServerName};
use rustls::{ClientConnection, StreamOwned};
use sagearch_stream::message::{
    Command, Decoder, FrameError, FromGateway, FromService, MAX_CHUNK_BYTES, encode,
};
use sagearch_stream::rollout::Plan;
use sagearch_stream::version::Documents;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a read or write on the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of the TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Error of a call to the service.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The caller's certificate, key or roots can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The connection could not be established.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the service.
        address: SocketAddr,
        /// Cause of the failure.
        source: ConnectError,
    },
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The service closed the connection before it answered.
    #[error("the service closed the connection before it answered")]
    Closed,
    /// The service is at its connection limit.
    #[error("the service is at its connection limit: retry in {retry_ms} ms")]
    Busy {
        /// Delay before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The service rejected the command with this message.
    #[error("{0}")]
    Rejected(String),
}

/// Cause of a failed connection to the service.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The TCP connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The name of the service is not a valid DNS name or IP address.
    #[error(transparent)]
    Name(#[from] InvalidDnsNameError),
    /// The TLS session could not be created.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
}

/// Address of the service and credentials of the caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Address of the service.
    pub at: SocketAddr,
    /// Name that the service's certificate must hold.
    pub name: String,
    /// Path of the root certificates that verify the service.
    pub roots: PathBuf,
    /// Path of the caller's certificate.
    pub certificate: PathBuf,
    /// Path of the caller's private key.
    pub key: PathBuf,
}

/// Connection to the service.
pub struct Connection {
    stream: StreamOwned<ClientConnection, TcpStream>,
    decoder: Decoder,
}

impl Caller {
    /// Connects to the service.
    ///
    /// # Errors
    /// [`ClientError::Tls`] and [`ClientError::Connect`].
    pub fn connect(&self) -> Result<Connection, ClientError> {
        let config = tls::client(&self.certificate, &self.key, &self.roots)?;
        let stream =
            self.connect_tls(config).map_err(|source| ClientError::Connect { address: self.at, source })?;
        Ok(Connection { stream, decoder: Decoder::default() })
    }

    fn connect_tls(
        &self,
        config: std::sync::Arc<rustls::ClientConfig>,
    ) -> Result<StreamOwned<ClientConnection, TcpStream>, ConnectError> {
        let socket = TcpStream::connect_timeout(&self.at, CONNECT_TIMEOUT)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        socket.set_write_timeout(Some(ANSWER_TIMEOUT))?;
        let name = ServerName::try_from(self.name.clone())?;
        Ok(StreamOwned::new(ClientConnection::new(config, name)?, socket))
    }
}

impl Connection {
    /// Sends a message to the service.
    ///
    /// # Errors
    /// [`ClientError::Frame`] and [`ClientError::Io`].
    pub fn send(&mut self, message: &FromGateway) -> Result<(), ClientError> {
        let bytes = encode(message)?;
        self.stream.write_all(&bytes)?;
        self.stream.flush()?;
        Ok(())
    }

    /// Waits for the next message of the service.
    ///
    /// # Errors
    /// [`ClientError::Frame`], [`ClientError::Io`] and [`ClientError::Closed`].
    pub fn receive(&mut self) -> Result<FromService, ClientError> {
        let mut buffer = [0; READ_BYTES];
        loop {
            if let Some(message) = self.decoder.next_message()? {
                return Ok(message);
            }
            match self.stream.read(&mut buffer)? {
                0 => return Err(ClientError::Closed),
                read => self.decoder.push(&buffer[..read]),
            }
        }
    }

    /// Sends a command, and returns the answer with the documents that were received before it.
    fn call(&mut self, command: Command) -> Result<(Value, Documents), ClientError> {
        self.send(&FromGateway::Command { command })?;
        let mut documents = Documents::new();
        loop {
            match self.receive()? {
                FromService::Chunk { name, text, .. } => documents.entry(name).or_default().push_str(&text),
                FromService::Reply { answer } => {
                    return answer.map(|answer| (answer, documents)).map_err(ClientError::Rejected);
                }
                FromService::Busy { retry_ms } => return Err(ClientError::Busy { retry_ms }),
                _ => {}
            }
        }
    }

    /// Publishes documents, and returns the identifier of the new version.
    ///
    /// # Errors
    /// [`ClientError`]; [`ClientError::Rejected`] if the service rejects the documents or the plan.
    pub fn publish(&mut self, documents: &Documents, plan: Plan) -> Result<Value, ClientError> {
        for (name, text) in documents {
            self.send_document(name, text)?;
        }
        self.call(Command::Publish { plan }).map(|(answer, _)| answer)
    }

    fn send_document(&mut self, name: &str, text: &str) -> Result<(), ClientError> {
        let mut unsent = text;
        loop {
            let (chunk, remaining) = unsent.split_at(unsent.floor_char_boundary(MAX_CHUNK_BYTES));
            let last = remaining.is_empty();
            self.send(&FromGateway::Chunk { name: name.into(), text: chunk.into(), last })?;
            if last {
                return Ok(());
            }
            unsent = remaining;
        }
    }

    /// Returns the status of the service: its versions, the rollout and the version of each gateway.
    ///
    /// # Errors
    /// [`ClientError`].
    pub fn status(&mut self) -> Result<Value, ClientError> {
        self.call(Command::Status).map(|(answer, _)| answer)
    }

    /// Publishes a new version with the content of an earlier one, and returns its identifier.
    ///
    /// # Errors
    /// [`ClientError`]; [`ClientError::Rejected`] if there is no such version.
    pub fn rollback(&mut self, number: u64) -> Result<Value, ClientError> {
        self.call(Command::Rollback { number }).map(|(answer, _)| answer)
    }

    /// Returns the identifier and the documents of a version, or of the newest one if `number` is `None`.
    ///
    /// # Errors
    /// [`ClientError`]; [`ClientError::Rejected`] if there is no such version.
    pub fn show(&mut self, number: Option<u64>) -> Result<(Value, Documents), ClientError> {
        self.call(Command::Show { number })
    }
}
