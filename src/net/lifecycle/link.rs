//! The link between the old and the new process of a gateway during an upgrade: a Unix socket in `$TMPDIR` that carries
//! lines of JSON, on a thread of its own.
//!
//! The new process connects to the old one, which sends its state: learned statistics, the ids in use, tokens and keys. From
//! then on both send each other status messages, with new ids and counts of connections, until one of them ends.

use crate::net::core::{ConnectionCounts, Core};
use crate::net::io_error::{Call, Failure, retry_option};
use crate::net::lifecycle::gateway_file::file_in;
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

/// How often each process sends its status, and after what silence the other one counts as ended.
const STATUS_INTERVAL: Duration = Duration::from_millis(25);
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new process waits for the handover. It has to be ready 6 s after its start.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a failed system call is retried, and how often a connection is attempted.
const RETRY_DELAY: Duration = Duration::from_millis(25);
const CONNECT_ATTEMPTS: u32 = 4;
/// The longest message. 30,000 counts and all ids in use are much shorter.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;
/// The stack of the link's thread.
const STACK_BYTES: usize = 256 * 1024;
/// How many processes share the gateway's budgets during an upgrade.
const PROCESSES_DURING_UPGRADE: u8 = 2;

/// The first message of the old process to the new one.
#[derive(Serialize, Deserialize)]
struct Handover {
    /// The index of each class in `learned`.
    classes: BTreeMap<String, usize>,
    learned: Learned,
    /// Ids that are in flight or answered.
    used: Vec<u64>,
    /// The state of tokens and keys, such as tokens that are never accepted again.
    #[serde(default)]
    identity: Option<sagearch_identity::Handover>,
}

/// What each process sends the other one at [`STATUS_INTERVAL`].
#[derive(Default, Serialize, Deserialize)]
struct Status {
    /// The connections that the sender holds.
    held: ConnectionCounts,
    /// Ids that have come into use since the last message.
    used: Vec<u64>,
}

/// The path of the link's socket, through a descriptor of its folder: a socket's path has at most 107 bytes, and `$TMPDIR`
/// may be longer.
struct SocketPlace {
    folder: File,
    name: PathBuf,
}

impl SocketPlace {
    fn new(folder: &Path, gateway: &str) -> io::Result<SocketPlace> {
        Ok(SocketPlace { folder: File::open(folder)?, name: file_in(Path::new(""), gateway, "link") })
    }

    fn path(&self) -> PathBuf {
        Path::new("/proc/self/fd").join(self.folder.as_raw_fd().to_string()).join(&self.name)
    }

    /// Listens in place of the previous process.
    fn listen(&self) -> io::Result<UnixListener> {
        let (path, beside) = (self.path(), self.path().with_extension("link-new"));
        let _ = fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside)?;
        fs::rename(beside, path)?;
        Ok(listener)
    }
}

/// A stream of messages, each a line of JSON.
struct MessageStream {
    reader: BufReader<UnixStream>,
    /// The bytes received of the next message.
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

    /// Receives the next message. `None`: it has not been received in full within this time.
    fn receive<T: DeserializeOwned>(&mut self, within: Duration) -> io::Result<Option<T>> {
        retry_option(|| self.reader.get_ref().set_read_timeout(Some(within)))?;
        let room = MAX_LINE_BYTES.saturating_sub(self.partial.len() as u64);
        match (&mut self.reader).take(room).read_until(b'\n', &mut self.partial) {
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

/// The state of this process that the next one needs.
fn hand_over(core: &Core) -> Handover {
    let classes = core.deployment().names.classes.clone();
    let broker = core.broker();
    let learned = broker.learned().clone();
    let open: Vec<u64> = broker.open_request_ids().map(|id| id.0).collect();
    drop(broker);
    let mut used = core.clients.answered_ids();
    used.extend(open);
    Handover { classes, learned, used, identity: core.guard.version.hand_over() }
}

/// Applies the state of the previous process.
fn take_over(core: &Core, handover: Handover) {
    let Handover { classes, mut learned, used, identity } = handover;
    if let Some(handover) = identity {
        core.guard.version.take_over(handover);
    }
    let before = std::mem::take(&mut learned.sending_times);
    for (name, at) in &core.deployment().names.classes {
        learned.sending_times.resize(learned.sending_times.len().max(at + 1), SendingTime::default());
        let mean = classes.get(name).and_then(|at| before.get(*at));
        learned.sending_times[*at] = mean.copied().unwrap_or_default();
    }
    log::info!("taking over from the process before: {} ids", used.len());
    for id in used {
        core.clients.note_answered(id);
    }
    core.broker().take_over(learned);
}

/// Sends and receives status messages until the other process has ended.
fn exchange_status(core: &Core, line: &mut MessageStream) -> io::Result<()> {
    let mut silent = Duration::ZERO;
    while silent < SILENCE_TIMEOUT {
        let used = std::mem::take(&mut *lock(&core.ids_to_report));
        line.send(&Status { held: core.held_connections(), used })?;
        silent += STATUS_INTERVAL;
        if let Some(status) = line.receive::<Status>(STATUS_INTERVAL)? {
            silent = Duration::ZERO;
            status.used.iter().for_each(|id| core.clients.note_answered(*id));
            core.leave_capacity_to(status.held);
            // The other process sends at the same interval, so its next message is due when ours is.
            std::thread::sleep(STATUS_INTERVAL);
        }
    }
    Ok(())
}

/// Serves beside the other process, each with half of the shared budgets, until that process has ended.
fn run_beside(core: &Core, line: &mut MessageStream) {
    log::info!("two processes are this gateway");
    core.broker().set_process_count(PROCESSES_DURING_UPGRADE);
    core.has_peer_process.store(true, Ordering::SeqCst);
    if let Err(e) = exchange_status(core, line) {
        log::debug!("link: {e}");
    }
    core.has_peer_process.store(false, Ordering::SeqCst);
    lock(&core.ids_to_report).clear();
    core.clients.reserve_elsewhere(0);
    core.stores.reserve_connections(0);
    core.broker().set_process_count(1);
    log::info!("one process is this gateway");
}

/// Connects to the previous process. A failure by a shortage of this machine is retried.
fn connect(place: &SocketPlace) -> io::Result<UnixStream> {
    let is_retried = |e: &io::Error| {
        matches!(Failure::of(Call::Connect, e), Failure::Transient | Failure::LocalShortage(_))
    };
    for _ in 1..CONNECT_ATTEMPTS {
        match UnixStream::connect(place.path()) {
            Err(e) if is_retried(&e) => std::thread::sleep(RETRY_DELAY),
            connected => return connected,
        }
    }
    UnixStream::connect(place.path())
}

/// Takes over from a previous process, if there is one, and waits for the next one on a thread of its own.
///
/// # Errors
///
/// If the socket or the thread can't be made. The caller goes on: without the link the gateway serves all the same.
pub fn start(core: &Arc<Core>, folder: &Path, gateway: &str) -> io::Result<()> {
    let place = SocketPlace::new(folder, gateway)?;
    let old = connect(&place).and_then(|stream| {
        let mut line = MessageStream::new(stream)?;
        let handover = line.receive(HANDOVER_TIMEOUT)?.ok_or(io::ErrorKind::TimedOut)?;
        take_over(core, handover);
        Ok(line)
    });
    let old = old.inspect_err(|e| log::debug!("no process before: {e}")).ok();
    let listener = place.listen()?;
    let core = core.clone();
    std::thread::Builder::new().name("link".into()).stack_size(STACK_BYTES).spawn(move || {
        if let Some(mut line) = old {
            run_beside(&core, &mut line);
        }
        for stream in listener.incoming() {
            let line = stream.and_then(|stream| {
                let mut line = MessageStream::new(stream)?;
                line.send(&hand_over(&core))?;
                Ok(line)
            });
            match line {
                Ok(mut line) => run_beside(&core, &mut line),
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
