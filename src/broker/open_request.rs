//! The state that the broker keeps for a request until its final verdict.

use crate::interface::{Class, Idempotency, MemberId, Micros, Request, RetryPayment};
use crate::purges::object_hash;
use sagearch_identity::Caller;
use std::sync::Arc;

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    /// Number of the attempt, counted from 0 for each request.
    pub attempt: u32,
    /// The member that the attempt was picked for.
    pub member: MemberId,
    /// When the attempt was picked.
    pub picked_at: Micros,
    /// The payment for the attempt from the shared retry budget, if it needed one.
    pub payment: Option<RetryPayment>,
}

/// A request without a final verdict.
pub(super) struct OpenRequest<W> {
    /// Receives the verdicts that result from timers.
    pub waiter: W,
    /// The caller on whose behalf the request runs.
    pub caller: Arc<Caller>,
    /// Number of attempts so far, including ended ones.
    pub attempt_count: u32,
    /// The attempts in flight: at most one, or two where the settings allow hedged requests.
    pub in_flight: Vec<InFlightAttempt>,
    /// The hash of the requested object, under which its purges are recorded.
    pub object_hash: u64,
    /// The purge group of the requested object.
    pub purge_group: Option<u64>,
    /// Whether the object is cached, and so can be purged.
    pub cacheable: bool,
    /// How long members drop duplicates after the first attempt that may have run.
    pub idempotency_window: Option<Micros>,
    /// When the first attempt that may have run was picked.
    pub first_possible_run: Option<Micros>,
}

impl<W> OpenRequest<W> {
    /// Creates the state of a request without attempts. `class: None`: the settings do not name its class.
    pub fn new(request: &Request, class: Option<&Class>, caller: Arc<Caller>, waiter: W) -> OpenRequest<W> {
        let idempotency_window = class.and_then(|class| match class.idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        });
        OpenRequest {
            waiter,
            caller,
            attempt_count: 0,
            in_flight: Vec::new(),
            object_hash: object_hash(&request.object),
            purge_group: request.purge_group,
            cacheable: class.is_some_and(|class| !class.uncacheable),
            idempotency_window,
            first_possible_run: None,
        }
    }

    /// Finds an attempt in flight by its number.
    pub fn attempt(&self, attempt: u32) -> Option<&InFlightAttempt> {
        self.in_flight.iter().find(|in_flight| in_flight.attempt == attempt)
    }

    /// Removes an attempt that has ended.
    pub fn remove_attempt(&mut self, attempt: u32) -> Option<InFlightAttempt> {
        let position = self.in_flight.iter().position(|in_flight| in_flight.attempt == attempt)?;
        Some(self.in_flight.remove(position))
    }

    /// Records that the attempt picked at `picked_at` may have run.
    pub fn record_possible_run(&mut self, picked_at: Micros) {
        self.first_possible_run =
            Some(self.first_possible_run.map_or(picked_at, |first| first.min(picked_at)));
    }

    /// Whether members may have stopped dropping duplicates of an attempt that may have run.
    pub fn is_idempotency_expired(&self, now: Micros, tick: Micros) -> bool {
        let run_and_window = self.first_possible_run.zip(self.idempotency_window);
        run_and_window.is_some_and(|(first_run, window)| now + tick >= first_run.saturating_add(window))
    }
}
