//! Applies complete versions: staging, storing, committing, and retries of failed stores.

use super::{Notice, Output, Rejection, StepError, Subscriber};
use crate::Millis;
use crate::message::FromGateway;
use crate::version::Version;
use std::sync::Arc;

/// The delay before the first retry of storing a version.
const INITIAL_STORE_BACKOFF: Millis = 100;
/// The maximum delay between retries of storing a version.
const MAX_STORE_BACKOFF: Millis = 10_000;

/// The pending step of the version that is being applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    Staging,
    Storing,
    Committing,
    /// Storing again a version that is already in force.
    RetryingStore,
}

/// A complete version that waits to be applied.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) nonce: u64,
    pub(super) version: Arc<Version>,
}

/// The version that is being applied.
#[derive(Debug)]
pub(super) struct Applying {
    /// The nonce of the offer to answer, or `None` if the version is only being stored again.
    pub(super) nonce: Option<u64>,
    pub(super) version: Arc<Version>,
    pub(super) step: Step,
}

/// A version in force that could not be stored and is retried.
#[derive(Debug)]
pub(super) struct PendingStore {
    version: Arc<Version>,
    /// When the next retry is due.
    due: Millis,
    backoff: Millis,
}

impl Subscriber {
    /// Starts to apply the waiting version unless another is being applied.
    pub(super) fn apply_next(&mut self, outputs: &mut Vec<Output>) {
        if self.applying.is_some() {
            return;
        }
        let Some(Waiting { nonce, version }) = self.waiting.take() else { return };
        outputs.push(Output::Stage(version.clone()));
        self.applying = Some(Applying { nonce: Some(nonce), version, step: Step::Staging });
    }

    pub(super) fn staged(&mut self, result: Result<(), StepError>, outputs: &mut Vec<Output>) {
        let Some(applying) = self.applying.as_mut().filter(|applying| applying.step == Step::Staging) else {
            return;
        };
        match result {
            Ok(()) => {
                applying.step = Step::Storing;
                outputs.push(Output::Store(applying.version.clone()));
            }
            Err(cause) => {
                let Some(Applying { nonce, version, .. }) = self.applying.take() else { return };
                self.reject(nonce.unwrap_or(0), version.id.clone(), Rejection::Staging(cause), outputs);
            }
        }
    }

    pub(super) fn stored(&mut self, now: Millis, result: Result<(), StepError>, outputs: &mut Vec<Output>) {
        match self.applying.as_ref().map(|applying| applying.step) {
            Some(Step::Storing) => self.first_stored(now, result, outputs),
            Some(Step::RetryingStore) => self.stored_on_retry(now, &result, outputs),
            _ => {}
        }
    }

    /// Commits the version whether or not it was stored, because a full disk must not delay a revocation.
    fn first_stored(&mut self, now: Millis, result: Result<(), StepError>, outputs: &mut Vec<Output>) {
        let Some(applying) = self.applying.as_mut() else { return };
        applying.step = Step::Committing;
        let version = applying.version.clone();
        self.pending_store = None;
        if let Err(cause) = result {
            outputs.push(Output::Notice(Notice::StoreFailed(version.id.clone(), cause)));
            self.pending_store = Some(PendingStore::new(now, version.clone()));
        }
        outputs.push(Output::Commit(version));
    }

    fn stored_on_retry(&mut self, now: Millis, result: &Result<(), StepError>, outputs: &mut Vec<Output>) {
        let Some(applying) = self.applying.take() else { return };
        if result.is_ok() {
            self.pending_store = None;
            outputs.push(Output::Notice(Notice::StoredOnRetry(applying.version.id.clone())));
        } else if let Some(pending_store) = &mut self.pending_store {
            pending_store.store_failed(now);
        }
    }

    /// Starts a retry of a failed store if it is due and no version is being applied.
    pub(super) fn retry_store(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let Some(pending_store) =
            self.pending_store.as_ref().filter(|pending_store| now >= pending_store.due)
        else {
            return;
        };
        if self.applying.is_some() {
            return;
        }
        let version = pending_store.version.clone();
        outputs.push(Output::Store(version.clone()));
        self.applying = Some(Applying { nonce: None, version, step: Step::RetryingStore });
    }

    pub(super) fn committed(&mut self, outputs: &mut Vec<Output>) {
        let Some(Applying { nonce, version, .. }) =
            self.applying.take_if(|applying| applying.step == Step::Committing)
        else {
            return;
        };
        let id = version.id.clone();
        self.in_force = Some(version);
        outputs.push(Output::Notice(Notice::InForce(id.clone())));
        if let Some(nonce) = nonce {
            // If the connection is lost, the next session's first message reports the version in force instead.
            outputs.push(Output::Send(FromGateway::Ack { nonce, id }));
        }
    }
}

impl PendingStore {
    fn new(now: Millis, version: Arc<Version>) -> PendingStore {
        PendingStore { version, due: now + INITIAL_STORE_BACKOFF, backoff: INITIAL_STORE_BACKOFF }
    }

    fn store_failed(&mut self, now: Millis) {
        self.backoff = (self.backoff * 2).min(MAX_STORE_BACKOFF);
        self.due = now + self.backoff;
    }
}
