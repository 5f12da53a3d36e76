//! The operators' intents: which endpoints are out of service, and whether the gateway is draining.
//!
//! Intents are stored in a file, so they outlive the process. During an upgrade two processes of a gateway run at the same
//! time, so the file is the source of truth: each process amends it under a lock and polls it. An operator's call succeeds
//! once its intent is durable and in force in this process; it fails if the intent can't be stored in time.
//!
//! - `model`: the intents, as they are stored;
//! - `stored`: reads and writes the file;
//! - `worker`: the thread that serves operators' calls, and applies stored intents.

mod model;
mod stored;
mod worker;

use crate::net::core::Core;
use crate::net::lock;
use may::sync::mpsc;
pub use model::{Intent, Intents};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use stored::IntentsFile;
use worker::{Request, Worker};

/// How long an operator's call waits until its intent is stored. The call has to be answered within 1 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The stack size of the thread that stores intents.
const STACK_BYTES: usize = 256 * 1024;

/// The handle by which operators' calls store intents and look up those in force.
pub struct IntentStore {
    requests: mpsc::Sender<Request>,
    in_force: Arc<Mutex<Intents>>,
}

impl IntentStore {
    /// Whether an endpoint is out of service, or was put back a short time ago.
    pub fn names(&self, store: &str) -> bool {
        lock(&self.in_force).names(store)
    }

    /// Stores an intent, and returns once it is durable and in force in this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the intent can't be stored in time.
    pub fn amend(&self, intent: Intent) -> io::Result<()> {
        let (result_sender, result) = mpsc::channel();
        let request = Request { intent, received: Instant::now(), result_sender };
        self.requests.send(request).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        result.recv_timeout(ANSWER_TIMEOUT).unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Loads the stored intents, and starts the thread that stores further ones. Without a folder, intents are not stored and
/// end with the process.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn start(core: &Arc<Core>, folder: Option<&Path>, name: &str) -> io::Result<IntentStore> {
    let file = IntentsFile::new(folder, name);
    let in_force: Arc<Mutex<Intents>> = Arc::default();
    let mut worker = Worker::new(core.clone(), in_force.clone(), file);
    worker.load_at_start();
    let (requests, request_receiver) = mpsc::channel::<Request>();
    let thread = std::thread::Builder::new().name("handover".into()).stack_size(STACK_BYTES);
    thread.spawn(move || worker.run(&request_receiver))?;
    Ok(IntentStore { requests, in_force })
}

#[cfg(test)]
mod tests;
