//! Ordered writes of versions and states to the store, with retries of failed writes.

use crate::disk::ServiceStore;
use sagearch_folder::Backoff;
use sagearch_stream::Version;
use sagearch_stream::service::State;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay before the first retry of a failed write.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between two attempts to write.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Writer of versions and states.
///
/// A state is written after the versions that it refers to: a state that refers to a version that is not stored would
/// lose that version at a restart.
pub struct Persistence {
    store: ServiceStore,
    /// Number of versions that are kept on disk.
    max_versions: usize,
    /// Versions that could not be written yet. They stay few, because nothing is published while a write is pending.
    pending_versions: Vec<Arc<Version>>,
    /// State that could not be written yet.
    pending_state: Option<State>,
    backoff: Backoff,
    /// Time of the next attempt, if a write is pending.
    retry_at: Option<Instant>,
}

impl Persistence {
    /// Creates a writer to a store that keeps `max_versions` versions.
    pub fn new(store: ServiceStore, max_versions: usize) -> Persistence {
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        Persistence {
            store,
            max_versions,
            pending_versions: Vec::new(),
            pending_state: None,
            backoff,
            retry_at: None,
        }
    }

    /// Stores a version that is already in force, and retries later if the write fails.
    pub fn add_version(&mut self, now: Instant, version: Arc<Version>) {
        self.pending_versions.push(version);
        // An error is logged and the write is retried.
        let _ = self.flush_or_schedule_retry(now);
    }

    /// Stores a state that is already in force, and retries later if the write fails.
    pub fn set_state(&mut self, now: Instant, state: State) {
        self.pending_state = Some(state);
        let _ = self.flush_or_schedule_retry(now);
    }

    /// Retries pending writes if the next attempt is due.
    pub fn retry(&mut self, now: Instant) {
        if self.retry_at.is_some_and(|retry_at| now >= retry_at) {
            let _ = self.flush_or_schedule_retry(now);
        }
    }

    /// Stores a version that is not in force yet, and the state that puts it in force.
    ///
    /// # Errors
    /// The errors of the file system. The version must not be put in force then, although its file may exist.
    pub fn publish(&mut self, now: Instant, version: &Version, state: &State) -> io::Result<()> {
        self.flush_or_schedule_retry(now)?;
        self.store.store_version(version, self.max_versions)?;
        self.store.store_state(state)
    }

    fn flush_or_schedule_retry(&mut self, now: Instant) -> io::Result<()> {
        let result = self.flush();
        match &result {
            Ok(()) => {
                self.retry_at = None;
                self.backoff.reset();
            }
            Err(error) => {
                let pause = self.backoff.pause();
                tracing::error!(cause = %error, ?pause, "the rollout's state is not kept: tried again");
                self.retry_at = Some(now + pause);
            }
        }
        result
    }

    fn flush(&mut self) -> io::Result<()> {
        while let Some(version) = self.pending_versions.first() {
            self.store.store_version(version, self.max_versions)?;
            self.pending_versions.remove(0);
        }
        if let Some(state) = &self.pending_state {
            self.store.store_state(state)?;
            self.pending_state = None;
        }
        Ok(())
    }
}
