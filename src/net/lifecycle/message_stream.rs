//! Messages between the processes of a gateway: lines of JSON on a Unix socket.

use crate::net::io_error::{Call, Failure, retry_option};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// How long a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a read for which this machine lacked a resource.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// The size limit of a message. 30,000 counts and all ids in use are much shorter.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;

/// A stream of messages, each a line of JSON.
pub(super) struct MessageStream {
    reader: BufReader<UnixStream>,
    /// The bytes of the next message that have been received so far.
    partial: Vec<u8>,
}

impl MessageStream {
    pub(super) fn new(stream: UnixStream) -> io::Result<MessageStream> {
        retry_option(|| stream.set_write_timeout(Some(WRITE_TIMEOUT)))?;
        Ok(MessageStream { reader: BufReader::new(stream), partial: Vec::new() })
    }

    /// The stream, for another thread that sends.
    pub(super) fn try_clone_stream(&self) -> io::Result<UnixStream> {
        self.reader.get_ref().try_clone()
    }

    /// Ends the stream for all threads that use it.
    pub(super) fn shut_down(&self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }

    pub(super) fn send(&mut self, message: &impl Serialize) -> io::Result<()> {
        send(self.reader.get_mut(), message)
    }

    /// Receives the next message. `None`: it has not been received completely within `timeout`.
    pub(super) fn receive<T: DeserializeOwned>(&mut self, timeout: Duration) -> io::Result<Option<T>> {
        retry_option(|| self.reader.get_ref().set_read_timeout(Some(timeout)))?;
        let remaining_bytes = MAX_LINE_BYTES.saturating_sub(self.partial.len() as u64);
        match (&mut self.reader).take(remaining_bytes).read_until(b'\n', &mut self.partial) {
            Ok(_) if self.partial.ends_with(b"\n") => {
                let line = std::mem::take(&mut self.partial);
                Ok(Some(serde_json::from_slice(&line)?))
            }
            Ok(_) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(e) if e.kind() == io::ErrorKind::TimedOut => Ok(None),
            Err(e) => match Failure::of(Call::Read, &e) {
                Failure::Transient => Ok(None),
                // The bytes received so far are kept, and the other process sends again soon.
                Failure::LocalShortage(_) => {
                    std::thread::sleep(RETRY_DELAY);
                    Ok(None)
                }
                _ => Err(e),
            },
        }
    }
}

/// Sends a message.
pub(super) fn send(stream: &mut UnixStream, message: &impl Serialize) -> io::Result<()> {
    let mut text = serde_json::to_vec(message)?;
    text.push(b'\n');
    stream.write_all(&text)
}

#[cfg(test)]
mod tests;
