//! The connection of one caller, with or without TLS.

use crate::net::frontend::tls::{Secure, Terms};
use crate::net::io_error::{Call as SystemCall, InputWait, Retries, set_nodelay};
use may::net::TcpStream;
use sagearch_identity::Presented;
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// The connection of one caller. [`super::callers::CallerTable`] ends one that takes too long.
pub(super) struct CallConnection<'a> {
    stream: &'a TcpStream,
    /// The TLS session; `None`: plain HTTP.
    secure: Option<Secure>,
}

impl CallConnection<'_> {
    /// Completes the TLS handshake where there are `terms` for one.
    pub(super) fn open<'a>(stream: &'a TcpStream, terms: Option<&Terms>) -> io::Result<CallConnection<'a>> {
        set_nodelay(stream);
        let secure = terms.map(Secure::new).transpose()?;
        if let Some(secure) = &secure {
            secure.handshake(stream)?;
        }
        Ok(CallConnection { stream, secure })
    }

    /// The certificate that the caller has presented.
    pub(super) fn presented(&self) -> Option<&Presented> {
        self.secure.as_ref().and_then(Secure::presented)
    }

    /// Reads. 0: the caller has closed the connection, or it was ended.
    pub(super) fn read(&self, chunk: &mut [u8]) -> io::Result<usize> {
        match &self.secure {
            Some(secure) => secure.read(self.stream, chunk, &|retries, e| {
                retries.wait(self.stream, e).map(|()| InputWait::Continue)
            }),
            None => self.read_raw(chunk),
        }
    }

    /// Writes the answer, and says where there is TLS that nothing follows.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        match &self.secure {
            Some(secure) => {
                secure.write(self.stream, bytes)?;
                secure.close(self.stream)
            }
            None => self.write_raw(bytes),
        }
    }

    /// Ends the connection in such a way that the caller can read the answer: a close with unread input would reset it.
    pub(super) fn end(&self, chunk: &mut [u8]) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)?;
        while self.read_raw(chunk)? > 0 {}
        Ok(())
    }

    /// Waits where the socket's buffer is full: the keys of thousands of issuers don't fit into it.
    fn write_raw(&self, mut bytes: &[u8]) -> io::Result<()> {
        let mut retries = Retries::of(SystemCall::Write);
        while !bytes.is_empty() {
            match self.stream.inner().write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(e) => retries.wait(self.stream, e)?,
            }
        }
        Ok(())
    }

    fn read_raw(&self, chunk: &mut [u8]) -> io::Result<usize> {
        let mut retries = Retries::of(SystemCall::Read);
        loop {
            match self.stream.inner().read(chunk) {
                Err(e) => retries.wait(self.stream, e)?,
                read => return read,
            }
        }
    }
}
