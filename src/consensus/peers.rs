//! The connections to peers: a thread and a bounded queue for each.

use super::frame::{FrameError, write_frame};
use super::{CONNECT_TIMEOUT, LOG_TARGET};
use protobuf::Message as _;
use protobuf::ProtobufError;
use raft::eraftpb::Message;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use thiserror::Error;

/// The kind of a frame that holds a message of Raft.
pub const MESSAGE: u8 = b'M';

/// How many messages may wait for a peer. Further ones are dropped: Raft sends them again.
const QUEUE_LENGTH: usize = 64;
/// How long a write to a peer may block.
const WRITE_TIMEOUT: Duration = CONNECT_TIMEOUT;

/// Why a message could not be sent to a peer.
#[derive(Debug, Error)]
enum SendError {
    #[error(transparent)]
    Encode(#[from] ProtobufError),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl From<io::Error> for SendError {
    fn from(error: io::Error) -> SendError {
        SendError::Frame(error.into())
    }
}

/// The queues of the peers, by their ids.
#[derive(Default)]
pub struct Peers(BTreeMap<u64, SyncSender<Message>>);

impl Peers {
    /// Starts a thread for each peer, which ends once the queues are dropped.
    ///
    /// # Errors
    ///
    /// If the system can't start a thread.
    pub fn start(
        addresses: &BTreeMap<u64, SocketAddr>,
        threads: &mut Vec<JoinHandle<()>>,
    ) -> io::Result<Peers> {
        let mut queues = BTreeMap::new();
        for (id, address) in addresses {
            let (queue, messages) = sync_channel(QUEUE_LENGTH);
            let mut connection = PeerConnection { address: *address, stream: None };
            let thread = thread::Builder::new().name(format!("raft-to-{id}"));
            threads.push(thread.spawn(move || connection.run(&messages))?);
            queues.insert(*id, queue);
        }
        Ok(Peers(queues))
    }

    /// Queues messages for their receivers; what a queue can't take is dropped.
    pub fn send(&self, messages: Vec<Message>) {
        for message in messages {
            if let Some(queue) = self.0.get(&message.to) {
                let _ = queue.try_send(message);
            }
        }
    }
}

/// The connection to one peer, opened as it is needed.
struct PeerConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl PeerConnection {
    /// Sends what is queued until the queue is dropped. A message that can't be sent is dropped.
    fn run(&mut self, messages: &Receiver<Message>) {
        while let Ok(message) = messages.recv() {
            if let Err(error) = self.send(&message) {
                log::debug!(target: LOG_TARGET, "raft: {}: {error}", self.address);
                self.stream = None;
            }
        }
    }

    fn send(&mut self, message: &Message) -> Result<(), SendError> {
        let stream = match &mut self.stream {
            Some(stream) => stream,
            None => self.stream.insert(connect(self.address)?),
        };
        write_frame(stream, MESSAGE, &message.write_to_bytes()?)?;
        Ok(())
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(stream)
}
