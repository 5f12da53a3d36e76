//! The thread that stores intents: it serves operators' calls, and polls the file for intents stored by another process.

use super::model::{Intent, Intents, Moment};
use super::stored::{IntentsFile, StoreError};
use crate::events::member_id;
use crate::net::core::Core;
use crate::net::lock;
use may::sync::mpsc;
use sagearch_folder::{Backoff, StorageError};
use std::io;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often the file is polled: intents stored by another process have to be in force in this one within 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after a call the last attempt to store its intent may begin, so that the attempt ends before the call times out.
pub(super) const LAST_ATTEMPT_AFTER: Duration = Duration::from_millis(550);
/// The initial pause of the backoff between two attempts to read or store intents.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// The maximum pause of the backoff between two attempts to read or store intents.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(160);
/// How long the start retries to load stored intents. Without them a gateway sends requests to endpoints that operators have
/// taken out of service.
const LOAD_TIMEOUT: Duration = Duration::from_millis(300);

/// A request of an operator's call to store an intent.
pub(super) struct Request {
    pub(super) intent: Intent,
    pub(super) received: Instant,
    pub(super) result_sender: mpsc::Sender<io::Result<()>>,
}

/// Stores an intent, and retries until the deadline of the last attempt. The returned intents are durable.
pub(super) fn store_with_retry(
    file: &mut IntentsFile,
    in_force: &Intents,
    intent: &Intent,
    last_attempt: Instant,
) -> Result<Intents, StoreError> {
    let mut backoff = Backoff::new(INITIAL_RETRY_PAUSE, MAX_RETRY_PAUSE);
    loop {
        let error = match file.amend(in_force, intent) {
            Ok(intents) => return Ok(intents),
            Err(error) => error,
        };
        let pause = backoff.pause();
        if Instant::now() + pause > last_attempt {
            return Err(error);
        }
        log::warn!("intents: {error}; tried again");
        std::thread::sleep(pause);
    }
}

/// Applies the differences between the intents in force and `new` to the broker, and puts `new` in force.
fn apply(core: &Core, in_force: &Mutex<Intents>, new: Intents, moment: &Moment) {
    let mut current = lock(in_force);
    let now = core.clock.now();
    let mut broker = core.broker();
    for store in new.out.difference(&current.out) {
        log::info!("{store} is taken out by hand");
        broker.take_out_of_service(now, member_id(store));
    }
    for store in current.out.difference(&new.out) {
        log::info!("{store} is put back by hand");
        let age = if new.back.contains_key(store) { new.age(store, moment) } else { Duration::ZERO };
        broker.return_to_service(now, member_id(store), now.saturating_sub(age.as_micros() as u64));
    }
    if new.drained != current.drained {
        log::info!("{}", if new.drained { "the gateway is being emptied" } else { "the drain is over" });
        broker.set_draining(now, new.drained);
    }
    *current = new;
}

/// Continues the slow start of endpoints that were put back before this process started.
fn apply_earlier_returns(core: &Core, intents: &Intents, moment: &Moment) {
    let now = core.clock.now();
    let mut broker = core.broker();
    for store in intents.back.keys() {
        let started = now.saturating_sub(intents.age(store, moment).as_micros() as u64);
        broker.take_out_of_service(now, member_id(store));
        broker.return_to_service(now, member_id(store), started);
    }
}

/// The state of the thread that stores intents, which is the only one that reads and writes their file.
pub(super) struct Worker {
    core: Arc<Core>,
    in_force: Arc<Mutex<Intents>>,
    file: IntentsFile,
    /// Whether the intents stored before the process started have been read.
    loaded: bool,
}

impl Worker {
    /// Creates a worker that has not read the file yet.
    pub(super) fn new(core: Arc<Core>, in_force: Arc<Mutex<Intents>>, file: IntentsFile) -> Worker {
        Worker { core, in_force, file, loaded: false }
    }

    /// Loads the stored intents at the start of the process, with retries for at most [`LOAD_TIMEOUT`]. A file that can't be
    /// read does not prevent the start: reading continues in service ([`Worker::follow_file`]).
    pub(super) fn load_at_start(&mut self) {
        let last_attempt = Instant::now() + LOAD_TIMEOUT;
        let mut backoff = Backoff::new(INITIAL_RETRY_PAUSE, MAX_RETRY_PAUSE);
        while let Err(error) = self.load() {
            let pause = backoff.pause();
            if Instant::now() + pause > last_attempt {
                log::error!(
                    "intents: the gateway starts without the stored intents and continues to read: {error}"
                );
                return;
            }
            log::warn!("intents: reading failed and is retried: {error}");
            std::thread::sleep(pause);
        }
    }

    fn load(&mut self) -> Result<(), StorageError> {
        let intents = self.file.load_at_start()?;
        self.loaded = true;
        if let Some(intents) = intents {
            apply_earlier_returns(&self.core, &intents, &self.file.now());
            self.apply(intents);
        }
        Ok(())
    }

    /// Serves operators' calls and polls the file, until the last sender of calls is dropped.
    pub(super) fn run(&mut self, requests: &mpsc::Receiver<Request>) {
        loop {
            match requests.recv_timeout(POLL_INTERVAL) {
                Ok(request) => self.serve(request),
                Err(RecvTimeoutError::Timeout) => self.follow_file(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn serve(&mut self, Request { intent, received, result_sender }: Request) {
        // The call times out before its intent could be stored, so the intent must not come into force.
        if received.elapsed() > LAST_ATTEMPT_AFTER {
            let _ = result_sender.send(Err(io::ErrorKind::TimedOut.into()));
            return;
        }
        let in_force = lock(&self.in_force).clone();
        let stored = store_with_retry(&mut self.file, &in_force, &intent, received + LAST_ATTEMPT_AFTER);
        let answer = match stored {
            Ok(intents) => {
                self.apply(intents);
                Ok(())
            }
            Err(error) => {
                log::error!("intents: {intent:?} is not stored: {error}");
                Err(io::Error::other(error))
            }
        };
        let _ = result_sender.send(answer);
    }

    fn follow_file(&mut self) {
        if !self.loaded
            && let Err(error) = self.load()
        {
            log::debug!("intents: loading failed: {error}");
        }
        if let Some(intents) = self.file.read_if_changed() {
            self.apply(intents);
        }
    }

    fn apply(&self, intents: Intents) {
        apply(&self.core, &self.in_force, intents, &self.file.now());
    }
}
