//! The ends of a relayed connection: a process's socket, or the channels of a participant inside the laboratory.

use crate::participant::ParticipantId;
use crate::trace::Micros;
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// Bytes that are read at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Chunks on their way in one direction: with their size, what a link holds at most.
pub(super) const MAX_QUEUED_CHUNKS: usize = 64;

/// Bytes with the time at which they left their sender.
#[derive(Debug)]
pub struct Chunk {
    /// When the relay read them.
    pub sent: Micros,
    /// The bytes themselves.
    pub bytes: Vec<u8>,
}

/// What a participant inside the laboratory does on a connection.
#[derive(Debug)]
pub enum Outgoing {
    /// Sends bytes.
    Bytes(Vec<u8>),
    /// Resets the connection, as a dying process does.
    Reset,
}

/// A connection to a participant that is no process: its relay hands over bytes and takes some.
pub struct RelayedConnection {
    /// Who opened it.
    pub from: ParticipantId,
    /// What comes over it.
    pub incoming: mpsc::Receiver<Chunk>,
    /// What is to go over it.
    pub outgoing: mpsc::Sender<Outgoing>,
}

/// The connection ended with a reset.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionReset;

/// Where the bytes of a direction come from.
pub(super) enum Source {
    Tcp(OwnedReadHalf),
    Local(mpsc::Receiver<Outgoing>),
}

/// Where the bytes of a direction go.
pub(super) enum Sink {
    Tcp(OwnedWriteHalf),
    /// `None` once it has been closed.
    Local(Option<mpsc::Sender<Chunk>>),
}

impl Source {
    /// The next bytes; `None` at the end of the stream.
    pub(super) async fn read(&mut self) -> Result<Option<Vec<u8>>, ConnectionReset> {
        match self {
            Source::Tcp(half) => {
                let mut bytes = vec![0; MAX_CHUNK_BYTES];
                let read = half.read(&mut bytes).await.map_err(|_| ConnectionReset)?;
                bytes.truncate(read);
                Ok((read > 0).then_some(bytes))
            }
            Source::Local(outgoing) => match outgoing.recv().await {
                Some(Outgoing::Bytes(bytes)) => Ok(Some(bytes)),
                Some(Outgoing::Reset) => Err(ConnectionReset),
                None => Ok(None),
            },
        }
    }
}

impl Sink {
    pub(super) async fn write(&mut self, chunk: Chunk) -> Result<(), ConnectionReset> {
        match self {
            Sink::Tcp(half) => half.write_all(&chunk.bytes).await.map_err(|_| ConnectionReset),
            Sink::Local(Some(incoming)) => incoming.send(chunk).await.map_err(|_| ConnectionReset),
            Sink::Local(None) => Err(ConnectionReset),
        }
    }

    /// Ends the stream.
    pub(super) async fn close(&mut self) {
        match self {
            Sink::Tcp(half) => drop(half.shutdown().await),
            Sink::Local(incoming) => *incoming = None,
        }
    }

    /// Closes by a reset, as a dying process does. The other half of the connection must have gone before.
    pub(super) fn reset(self) {
        if let Sink::Tcp(half) = self {
            let _ = SockRef::from(half.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropped as it is, it would send an end first.
            half.forget();
        }
    }
}
