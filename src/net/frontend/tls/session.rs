//! One connection that speaks TLS. rustls encrypts and decides without I/O; this module reads, writes and waits.

use super::endpoints::Terms;
use crate::net::io_error::{Call, InputWait, Retries};
use crate::net::lock;
use may::net::TcpStream;
use rustls::ServerConnection;
use sagearch_identity::Presented;
use std::io::{self, Read, Write};
use std::sync::{Mutex, OnceLock};

/// A connection that speaks TLS. One coroutine reads and writes it.
pub struct Secure {
    connection: Mutex<ServerConnection>,
    /// The client's chain, read once; `None`: it has shown none that can be read.
    presented: OnceLock<Option<Presented>>,
}

fn invalid_data(error: rustls::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

impl Secure {
    /// A connection before its handshake.
    ///
    /// # Errors
    ///
    /// If the library refuses the settings.
    pub fn new(terms: &Terms) -> io::Result<Secure> {
        let connection = ServerConnection::new(terms.config.clone()).map_err(invalid_data)?;
        Ok(Secure { connection: Mutex::new(connection), presented: OnceLock::new() })
    }

    /// The client's certificate chain, once the handshake is over; `None`: it has none that can be read.
    pub fn presented(&self) -> Option<&Presented> {
        let read = || {
            let connection = lock(&self.connection);
            let chain = connection.peer_certificates().filter(|chain| !chain.is_empty())?;
            // A chain that passed the handshake and can't be read here identifies nobody.
            Presented::read(chain).inspect_err(|e| log::debug!("a client's certificate: {e}")).ok()
        };
        self.presented.get_or_init(read).as_ref()
    }

    /// Whether the client has sent a certificate that can't be read. Such a client must not pass for one without any.
    pub fn unreadable(&self) -> bool {
        self.presented().is_none()
            && lock(&self.connection).peer_certificates().is_some_and(|chain| !chain.is_empty())
    }

    /// Reads encrypted bytes without waiting, and processes them. 0: the client has closed.
    fn read_encrypted(&self, stream: &TcpStream) -> io::Result<usize> {
        let mut connection = lock(&self.connection);
        let read = connection.read_tls(&mut stream.inner())?;
        if let Err(e) = connection.process_new_packets() {
            // Sends the alert that tells the client why, if that is still possible.
            let _ = connection.write_tls(&mut stream.inner());
            return Err(invalid_data(e));
        }
        Ok(read)
    }

    /// Writes all encrypted bytes that are ready, and waits where the socket takes none.
    fn flush(&self, stream: &TcpStream) -> io::Result<()> {
        let mut retries = Retries::of(Call::Write);
        loop {
            let written = {
                let mut connection = lock(&self.connection);
                if !connection.wants_write() {
                    return Ok(());
                }
                connection.write_tls(&mut stream.inner())
            };
            match written {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(e) => retries.wait(stream, e)?,
            }
        }
    }

    /// Performs the handshake. The table of connections bounds its time.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the client does not speak TLS as the terms ask for it.
    pub fn handshake(&self, stream: &TcpStream) -> io::Result<()> {
        let mut retries = Retries::of(Call::Read);
        loop {
            self.flush(stream)?;
            if !lock(&self.connection).is_handshaking() {
                return Ok(());
            }
            match self.read_encrypted(stream) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(e) => retries.wait(stream, e)?,
            }
        }
    }

    /// Reads decrypted bytes, and waits for them by `wait`. 0: the client has closed, or the wait is over.
    ///
    /// # Errors
    ///
    /// If the connection is broken, or what came is not TLS.
    pub(in crate::net) fn read(
        &self,
        stream: &TcpStream,
        buffer: &mut [u8],
        wait: &dyn Fn(&mut Retries, io::Error) -> io::Result<InputWait>,
    ) -> io::Result<usize> {
        let mut retries = Retries::of(Call::Read);
        loop {
            match self.read_decrypted(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
            match self.read_encrypted(stream) {
                Ok(_) => self.flush(stream)?,
                Err(e) => match wait(&mut retries, e)? {
                    InputWait::TimedOut => return Ok(0),
                    InputWait::Continue => {}
                },
            }
        }
    }

    /// Encrypts and writes bytes, and waits until the socket has taken them.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub fn write(&self, stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            // The library takes no more than its buffer has room for.
            let written = lock(&self.connection).writer().write(bytes)?;
            bytes = &bytes[written..];
            self.flush(stream)?;
        }
        self.flush(stream)
    }

    /// Tells the client that no more bytes follow.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub fn close(&self, stream: &TcpStream) -> io::Result<()> {
        lock(&self.connection).send_close_notify();
        self.flush(stream)
    }

    /// Reads decrypted bytes without waiting. 0: the client has closed.
    ///
    /// # Errors
    ///
    /// `WouldBlock` where nothing has come; others if the connection is broken.
    pub fn try_read(&self, stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.read_decrypted(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
            self.read_encrypted(stream)?;
        }
    }

    /// Reads bytes that are decrypted already.
    fn read_decrypted(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match lock(&self.connection).reader().read(buffer) {
            // An end without a close alert: HTTP's own lengths show whether anything is missing.
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => Ok(0),
            read => read,
        }
    }
}
