//! The thread that stores intents: it serves operators' calls, and polls the file for what another process has stored.

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

/// How often the file is polled: what another process has stored has to be in force here within 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after a call the last attempt to store its intent may begin, so that it ends before the call is answered.
pub(super) const LAST_ATTEMPT_AFTER: Duration = Duration::from_millis(550);
/// The first and the longest pause between two attempts to store an intent.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(160);
/// How long the start waits for stored intents. A gateway that serves without them uses endpoints that operators took out.
const LOAD_TIMEOUT: Duration = Duration::from_millis(300);

/// An operator's call on its way to the thread that stores intents.
pub(super) struct Request {
    pub(super) intent: Intent,
    pub(super) received: Instant,
    pub(super) done: mpsc::Sender<io::Result<()>>,
}

/// Tries to store an intent until it is stored or the time of its call is over. The returned intents are durable.
pub(super) fn store_in_time(
    file: &mut IntentsFile,
    in_force: &Intents,
    intent: &Intent,
    last_attempt: Instant,
) -> Result<Intents, StoreError> {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
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

/// Brings stored intents into force here.
fn apply(core: &Core, in_force: &Mutex<Intents>, new: Intents, moment: &Moment) {
    let mut held = lock(in_force);
    let now = core.clock.now();
    let mut broker = core.broker();
    for store in new.out.difference(&held.out) {
        log::info!("{store} is taken out by hand");
        broker.take_out_of_service(now, member_id(store));
    }
    for store in held.out.difference(&new.out) {
        log::info!("{store} is put back by hand");
        let age = if new.back.contains_key(store) { new.age(store, moment) } else { Duration::ZERO };
        broker.return_to_service(now, member_id(store), now.saturating_sub(age.as_micros() as u64));
    }
    if new.drained != held.drained {
        log::info!("{}", if new.drained { "the gateway is being emptied" } else { "the drain is over" });
        broker.set_draining(now, new.drained);
    }
    *held = new;
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

/// The thread that stores intents: files are read and written nowhere else.
pub(super) struct Worker {
    core: Arc<Core>,
    in_force: Arc<Mutex<Intents>>,
    file: IntentsFile,
    /// Whether the intents stored before the process started have been read.
    loaded: bool,
}

impl Worker {
    /// A worker that has not read the file yet.
    pub(super) fn new(core: Arc<Core>, in_force: Arc<Mutex<Intents>>, file: IntentsFile) -> Worker {
        Worker { core, in_force, file, loaded: false }
    }

    /// Reads the stored intents as the process starts, and retries for a while. A file that can't be read does not stop the
    /// start: it is polled in service ([`Worker::follow_file`]).
    pub(super) fn load_at_start(&mut self) {
        let last_attempt = Instant::now() + LOAD_TIMEOUT;
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        while let Err(error) = self.load() {
            let pause = backoff.pause();
            if Instant::now() + pause > last_attempt {
                log::error!("intents: {error}; the gateway starts without what is stored, and reads on");
                return;
            }
            log::warn!("intents: {error}; read again");
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

    /// Serves calls and follows the file, until no more calls can come.
    pub(super) fn run(&mut self, requests: &mpsc::Receiver<Request>) {
        loop {
            match requests.recv_timeout(POLL_INTERVAL) {
                Ok(request) => self.serve(request),
                Err(RecvTimeoutError::Timeout) => self.follow_file(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn serve(&mut self, Request { intent, received, done }: Request) {
        // Its call is answered as failed before anything could be stored, so it must not come into force.
        if received.elapsed() > LAST_ATTEMPT_AFTER {
            let _ = done.send(Err(io::ErrorKind::TimedOut.into()));
            return;
        }
        let before = lock(&self.in_force).clone();
        let stored = store_in_time(&mut self.file, &before, &intent, received + LAST_ATTEMPT_AFTER);
        let answer = match stored {
            Ok(intents) => {
                self.apply(intents);
                Ok(())
            }
            Err(error) => {
                log::error!("intents: {error}; {intent:?} is not stored");
                Err(io::Error::other(error))
            }
        };
        let _ = done.send(answer);
    }

    fn follow_file(&mut self) {
        if !self.loaded
            && let Err(error) = self.load()
        {
            log::debug!("intents: {error}");
        }
        if let Some(intents) = self.file.changed() {
            self.apply(intents);
        }
    }

    fn apply(&self, intents: Intents) {
        apply(&self.core, &self.in_force, intents, &self.file.now());
    }
}
