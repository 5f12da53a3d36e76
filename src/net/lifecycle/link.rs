//! The link between the previous and the new process of a gateway during an upgrade: a Unix socket in `$TMPDIR` that carries
//! lines of JSON. Each process serves it on a dedicated thread.
//!
//! The new process connects to the previous one, which sends its state: learned statistics, the ids in use, and the state of
//! tokens and keys. From then on both send each other status messages, with new ids and connection counts, until one of them
//! ends.

use crate::net::core::{ConnectionCounts, Core};
use crate::net::lifecycle::id_link;
use crate::net::lifecycle::message_stream::MessageStream;
use crate::net::lifecycle::socket_location::SocketLocation;
use crate::net::lock;
use crate::{Learned, SendingTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often each process sends its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(25);
/// How long the other process may send nothing before it counts as ended.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new process waits for the handover, since it has to be ready 6 s after its start.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a failed system call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(25);
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
    /// The ids of requests that have come into use.
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

/// Collects the state of this process that the next process needs.
fn hand_over(core: &Core) -> Handover {
    let classes = core.deployment().names.classes.clone();
    let broker = core.broker();
    let learned = broker.learned().clone();
    drop(broker);
    Handover { classes, learned, used: core.request_ids.all(), identity: core.guard.version.hand_over() }
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
        core.request_ids.insert(id, false);
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
            for id in status.used {
                core.request_ids.insert(id, true);
            }
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

/// Takes over the state of the previous process, if there is one, and starts a thread that serves the link to that process
/// and to later ones.
///
/// # Errors
///
/// Returns an error if the socket or the thread can't be created. The gateway can serve without the link.
pub fn start(core: &Arc<Core>, folder: &Path, gateway: &str) -> io::Result<()> {
    if let Err(e) = id_link::start(core, folder, gateway) {
        log::warn!("request ids: {e}; going on without claims");
    }
    let location = SocketLocation::new(folder, gateway, "link")?;
    let previous = location.connect().and_then(|stream| {
        let mut messages = MessageStream::new(stream)?;
        let handover = messages.receive(HANDOVER_TIMEOUT)?.ok_or(io::ErrorKind::TimedOut)?;
        take_over(core, handover);
        core.has_peer_process.store(true, Ordering::SeqCst);
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
                // Before the ids are collected: one that comes into use afterwards is reported.
                core.has_peer_process.store(true, Ordering::SeqCst);
                messages.send(&hand_over(&core))?;
                Ok(messages)
            });
            match messages {
                Ok(mut messages) => serve_beside_peer(&core, &mut messages),
                Err(e) => {
                    core.has_peer_process.store(false, Ordering::SeqCst);
                    log::warn!("link: {e}");
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        }
    })?;
    Ok(())
}
