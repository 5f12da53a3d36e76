//! The link between the previous and the new process of a gateway during an upgrade: a Unix socket in `$TMPDIR` that carries
//! lines of JSON. Each process serves it on a dedicated thread.
//!
//! The new process connects to the previous one, which sends its state: learned statistics, the ids in use, and the state of
//! tokens and keys. From then on both send each other status messages, with new ids and connection counts, until one of them
//! ends.

use crate::net::core::{ConnectionCounts, Core};
use crate::net::io_error::{Call, Failure, retry_option};
use crate::net::lifecycle::gateway_file::gateway_file_path;
use crate::net::lock;
use crate::{Learned, SendingTime};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often each process sends its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(25);
/// How long the other process may send nothing before it counts as ended.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new process waits for the handover, since it has to be ready 6 s after its start. Also the write timeout of
/// the link.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a failed system call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// The number of attempts of a new process to connect to the previous one.
const CONNECT_ATTEMPTS: u32 = 4;
/// The size limit of a message. 30,000 counts and all ids in use are much shorter.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;
/// The stack size of the link's thread.
const STACK_BYTES: usize = 256 * 1024;
/// How many processes share the gateway's budgets during an upgrade.
const PROCESSES_DURING_UPGRADE: u8 = 2;

/// The first message that the previous process sends to the new one.
#[derive(Serialize, Deserialize)]
struct Handover {
    /// The index of each class in `learned`.
    classes: BTreeMap<String, usize>,
    learned: Learned,
    /// The ids of requests that are in flight or answered.
    used: Vec<u64>,
    /// The state of tokens and keys, such as tokens that are never accepted again.
    #[serde(default)]
    identity: Option<sagearch_identity::Handover>,
}

/// The message that each process sends to the other one every [`STATUS_INTERVAL`].
#[derive(Default, Serialize, Deserialize)]
struct Status {
    /// The counts of connections that the sender holds.
    held: ConnectionCounts,
    /// The request ids that came into use since the last message.
    used: Vec<u64>,
}

/// The location of the link's socket. Its path leads through a descriptor of the folder, since a socket's path has at most
/// 107 bytes, and `$TMPDIR` may be longer.
struct SocketLocation {
    folder: File,
    name: PathBuf,
}

impl SocketLocation {
    fn new(folder: &Path, gateway: &str) -> io::Result<SocketLocation> {
        Ok(SocketLocation {
            folder: File::open(folder)?,
            name: gateway_file_path(Path::new(""), gateway, "link"),
        })
    }

    fn path(&self) -> PathBuf {
        Path::new("/proc/self/fd").join(self.folder.as_raw_fd().to_string()).join(&self.name)
    }

    /// Listens on the link's path in place of the previous process. The rename replaces that process's socket atomically.
    fn listen(&self) -> io::Result<UnixListener> {
        let (path, temporary) = (self.path(), self.path().with_extension("link-new"));
        let _ = fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        fs::rename(temporary, path)?;
        Ok(listener)
    }
}

/// A stream of messages, each a line of JSON.
struct MessageStream {
    reader: BufReader<UnixStream>,
    /// The bytes of the next message that have been received so far.
    partial: Vec<u8>,
}

impl MessageStream {
    fn new(stream: UnixStream) -> io::Result<MessageStream> {
        retry_option(|| stream.set_write_timeout(Some(HANDOVER_TIMEOUT)))?;
        Ok(MessageStream { reader: BufReader::new(stream), partial: Vec::new() })
    }

    fn send(&mut self, message: &impl Serialize) -> io::Result<()> {
        let mut text = serde_json::to_vec(message)?;
        text.push(b'\n');
        self.reader.get_mut().write_all(&text)
    }

    /// Receives the next message. `None`: it has not been received completely within `timeout`.
    fn receive<T: DeserializeOwned>(&mut self, timeout: Duration) -> io::Result<Option<T>> {
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

/// Collects the state of this process that the next process needs.
fn hand_over(core: &Core) -> Handover {
    let classes = core.deployment().names.classes.clone();
    let broker = core.broker();
    let learned = broker.learned().clone();
    let open_ids: Vec<u64> = broker.open_request_ids().map(|id| id.0).collect();
    drop(broker);
    let mut used = core.clients.answered_ids();
    used.extend(open_ids);
    Handover { classes, learned, used, identity: core.guard.version.hand_over() }
}

/// Applies the state of the previous process.
fn take_over(core: &Core, handover: Handover) {
    let Handover { classes, mut learned, used, identity } = handover;
    if let Some(handover) = identity {
        core.guard.version.take_over(handover);
    }
    let previous_times = std::mem::take(&mut learned.sending_times);
    for (name, index) in &core.deployment().names.classes {
        learned.sending_times.resize(learned.sending_times.len().max(index + 1), SendingTime::default());
        let mean = classes.get(name).and_then(|index| previous_times.get(*index));
        learned.sending_times[*index] = mean.copied().unwrap_or_default();
    }
    log::info!("taking over from the process before: {} ids", used.len());
    for id in used {
        core.clients.note_answered(id);
    }
    core.broker().take_over(learned);
}

/// Sends and receives status messages until the other process has ended.
fn exchange_status(core: &Core, messages: &mut MessageStream) -> io::Result<()> {
    let mut silence = Duration::ZERO;
    while silence < SILENCE_TIMEOUT {
        let used = std::mem::take(&mut *lock(&core.ids_to_report));
        messages.send(&Status { held: core.held_connections(), used })?;
        silence += STATUS_INTERVAL;
        if let Some(status) = messages.receive::<Status>(STATUS_INTERVAL)? {
            silence = Duration::ZERO;
            status.used.iter().for_each(|id| core.clients.note_answered(*id));
            core.leave_capacity_to(status.held);
            // The other process sends at the same interval, so its next message is due when ours is.
            std::thread::sleep(STATUS_INTERVAL);
        }
    }
    Ok(())
}

/// Exchanges status messages with the other process until it has ended. Each process has half of the shared budgets.
fn serve_beside_peer(core: &Core, messages: &mut MessageStream) {
    log::info!("two processes are this gateway");
    core.broker().set_process_count(PROCESSES_DURING_UPGRADE);
    core.has_peer_process.store(true, Ordering::SeqCst);
    if let Err(e) = exchange_status(core, messages) {
        log::debug!("link: {e}");
    }
    core.has_peer_process.store(false, Ordering::SeqCst);
    lock(&core.ids_to_report).clear();
    core.clients.reserve_elsewhere(0);
    core.stores.reserve_connections(0);
    core.broker().set_process_count(1);
    log::info!("one process is this gateway");
}

/// Connects to the previous process. Transient failures and those caused by a resource shortage of this machine are retried.
fn connect(location: &SocketLocation) -> io::Result<UnixStream> {
    let is_retried = |e: &io::Error| {
        matches!(Failure::of(Call::Connect, e), Failure::Transient | Failure::LocalShortage(_))
    };
    for _ in 1..CONNECT_ATTEMPTS {
        match UnixStream::connect(location.path()) {
            Err(e) if is_retried(&e) => std::thread::sleep(RETRY_DELAY),
            connected => return connected,
        }
    }
    UnixStream::connect(location.path())
}

/// Takes over the state of the previous process, if there is one, and starts a thread that serves the link to that process
/// and to later ones.
///
/// # Errors
///
/// Returns an error if the socket or the thread can't be created. The gateway can serve without the link.
pub fn start(core: &Arc<Core>, folder: &Path, gateway: &str) -> io::Result<()> {
    let location = SocketLocation::new(folder, gateway)?;
    let previous = connect(&location).and_then(|stream| {
        let mut messages = MessageStream::new(stream)?;
        let handover = messages.receive(HANDOVER_TIMEOUT)?.ok_or(io::ErrorKind::TimedOut)?;
        take_over(core, handover);
        Ok(messages)
    });
    let previous =
        previous.inspect_err(|e| log::debug!("link: no handover from a previous process: {e}")).ok();
    let listener = location.listen()?;
    let core = core.clone();
    std::thread::Builder::new().name("link".into()).stack_size(STACK_BYTES).spawn(move || {
        if let Some(mut messages) = previous {
            serve_beside_peer(&core, &mut messages);
        }
        for stream in listener.incoming() {
            let messages = stream.and_then(|stream| {
                let mut messages = MessageStream::new(stream)?;
                messages.send(&hand_over(&core))?;
                Ok(messages)
            });
            match messages {
                Ok(mut messages) => serve_beside_peer(&core, &mut messages),
                Err(e) => {
                    log::warn!("link: {e}");
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        }
    })?;
    Ok(())
}

#[cfg(test)]
mod tests;
