//! The connection between the two processes of an upgrade on which they claim request ids from each other, beside the link
//! that hands over the state. Each process serves it on dedicated threads.
//!
//! The new process connects before it takes over the state: an id that comes into use at the previous process is either in
//! that state, or claimed. A process of an earlier version has no such connection; it is told of ids by the link's status.

use crate::net::core::{Core, OutgoingClaims};
use crate::net::lifecycle::message_stream::{MessageStream, send};
use crate::net::lifecycle::socket_location::SocketLocation;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often each process sends a message, even an empty one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// How long the other process may send nothing before it counts as ended.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new process waits for the first message of the previous one.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// The stack size of each thread.
const STACK_BYTES: usize = 256 * 1024;

/// Claims of the sender, and its answers to the receiver's claims.
#[derive(Default, Serialize, Deserialize)]
struct IdMessage {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    claims: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    granted: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    denied: Vec<u64>,
}

impl From<OutgoingClaims> for IdMessage {
    fn from(OutgoingClaims { claims, granted, denied }: OutgoingClaims) -> IdMessage {
        IdMessage { claims, granted, denied }
    }
}

/// Connects to the previous process, if there is one that answers claims, and starts the threads that serve it and later
/// ones.
///
/// # Errors
///
/// Returns an error if the socket or a thread can't be created. The gateway can serve without it.
pub(super) fn start(core: &Arc<Core>, folder: &Path, gateway: &str) -> io::Result<()> {
    let location = SocketLocation::new(folder, gateway, "ids")?;
    let previous = connect(core, &location);
    let previous = previous.inspect_err(|e| log::debug!("request ids: no previous process: {e}")).ok();
    let listener = location.listen()?;
    let core = core.clone();
    thread::Builder::new().name("ids".into()).stack_size(STACK_BYTES).spawn(move || {
        if let Some(messages) = previous {
            serve(&core, messages);
        }
        for stream in listener.incoming() {
            match stream.and_then(|stream| welcome(&core, stream)) {
                Ok(messages) => serve(&core, messages),
                Err(e) => {
                    log::warn!("request ids: {e}");
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
            }
        }
    })?;
    Ok(())
}

/// Connects to the previous process, which has set up its side once its first message has come.
fn connect(core: &Core, location: &SocketLocation) -> io::Result<MessageStream> {
    let mut messages = MessageStream::new(location.connect()?)?;
    messages.receive::<IdMessage>(HELLO_TIMEOUT)?.ok_or(io::ErrorKind::TimedOut)?;
    core.id_claims.set_peer(true);
    Ok(messages)
}

/// Sets up the previous process's side of a connection.
fn welcome(core: &Core, stream: UnixStream) -> io::Result<MessageStream> {
    let mut messages = MessageStream::new(stream)?;
    core.id_claims.set_peer(true);
    messages.send(&IdMessage::default()).inspect_err(|_| core.id_claims.set_peer(false))?;
    Ok(messages)
}

/// Exchanges claims with the other process until it has ended.
fn serve(core: &Arc<Core>, mut messages: MessageStream) {
    if let Err(e) = exchange(core, &mut messages) {
        log::debug!("request ids: {e}");
    }
    core.id_claims.set_peer(false);
}

fn exchange(core: &Arc<Core>, messages: &mut MessageStream) -> io::Result<()> {
    let mut stream = messages.try_clone_stream()?;
    let sender_core = core.clone();
    let sender = move || {
        while send(&mut stream, &IdMessage::from(sender_core.id_claims.take_outgoing(HEARTBEAT_INTERVAL)))
            .is_ok()
        {}
        let _ = stream.shutdown(Shutdown::Both);
    };
    let sender = thread::Builder::new().name("ids-sender".into()).stack_size(STACK_BYTES).spawn(sender)?;
    let received = receive_all(core, messages);
    messages.shut_down();
    let _ = sender.join();
    received
}

fn receive_all(core: &Core, messages: &mut MessageStream) -> io::Result<()> {
    while let Some(IdMessage { claims, granted, denied }) = messages.receive(SILENCE_TIMEOUT)? {
        core.id_claims.record_answers(&granted, &denied);
        if !claims.is_empty() {
            let (granted, denied) = claims.into_iter().partition(|id| core.request_ids.insert(*id, false));
            core.id_claims.send_answers(granted, denied);
        }
    }
    Ok(())
}
