//! The subscriber side of the feed: selects the relay to poll, classifies answers and renews the freshness lease.
//!
//! The caller calls [`Subscription::next_step`], sends the poll, and reports the result by
//! [`Subscription::poll_answered`] or [`Subscription::poll_failed`]. It applies the events of an accepted answer and
//! only then calls [`Subscription::events_applied`]: the next poll acknowledges them.

mod backoff;
mod outcome;
mod relay_order;
mod settings;

use crate::lease::{self, Lease};
use crate::message::{FeedId, Head, Identity, Poll};
use crate::{MILLISECOND, Micros, Offset};
use backoff::Backoff;

pub use outcome::{AcceptedAnswer, PollFailure, RejectedAnswer, Step};
pub use settings::Settings;

/// The maximum distance between the known offset and that of an answer without a snapshot: without a limit, one wrong
/// answer could make the subscriber ignore all later events.
pub const MAX_OFFSET_LEAP: Offset = 1 << 32;
/// The largest valid offset, also in a first answer or a snapshot.
pub const MAX_OFFSET: Offset = 1 << 62;
/// The number of consecutive answers that do not keep the lease valid after which the subscriber polls the next relay.
pub const MAX_STALE_ANSWERS: u32 = 2;

/// An accepted answer whose events have not been applied yet.
#[derive(Clone, Debug)]
struct UnappliedAnswer {
    offset: Offset,
    feed: Option<FeedId>,
    as_of: Option<Micros>,
}

/// The state of one subscriber.
#[derive(Clone, Debug)]
pub struct Subscription {
    settings: Settings,
    /// The indices of the relays, in the order in which they are polled; the preferred one is first.
    order: Vec<usize>,
    /// The index in `order` of the current relay.
    current: usize,
    /// The earliest time at which each relay may be polled again, by index in `order`.
    not_before: Vec<Micros>,
    backoff: Backoff,
    lease: Lease,
    /// The offset up to which events have been applied.
    offset: Offset,
    feed: Option<FeedId>,
    /// Whether an answer has been accepted, so that its feed is followed.
    is_following: bool,
    /// Whether the next poll requests a snapshot.
    request_snapshot: bool,
    unapplied: Option<UnappliedAnswer>,
    wait_until: Micros,
    /// Whether the current relay has answered, so that polls to it may request a hold.
    current_has_answered: bool,
    stale_answers: u32,
    /// When the subscriber retries the preferred relay.
    retry_preferred_at: Option<Micros>,
    /// The index in `order` to return to if the preferred relay fails again.
    fallback: Option<usize>,
}

impl Subscription {
    /// Creates a subscriber that has applied no events. Subscribers need different seeds to spread their polls over
    /// time.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Subscription {
        let order = relay_order::relay_order(&settings.name, &settings.relays, settings.preferred);
        Subscription {
            not_before: vec![0; order.len()],
            order,
            current: 0,
            backoff: Backoff::new(seed),
            lease: Lease::new(settings.lease, settings.drift_per_mille, now),
            offset: 0,
            feed: None,
            is_following: false,
            request_snapshot: false,
            unapplied: None,
            wait_until: now,
            current_has_answered: false,
            stale_answers: 0,
            retry_preferred_at: None,
            fallback: None,
            settings,
        }
    }

    /// Returns what the caller is to do now. A poll is in flight until [`Subscription::poll_answered`] or
    /// [`Subscription::poll_failed`] is called.
    pub fn next_step(&mut self, now: Micros) -> Step {
        if now < self.wait_until || self.order.is_empty() {
            return Step::Wait { until: self.wait_until.max(now.saturating_add(MILLISECOND)) };
        }
        self.retry_preferred_relay(now);
        let relay = self.order[self.current];
        let hold = self.hold();
        let timeout = if self.settings.plain_bus {
            self.backoff.plain_bus_answer_timeout()
        } else {
            self.backoff.answer_timeout(hold)
        };
        Step::Poll { relay, poll: self.poll(hold), timeout }
    }

    /// Handles the answer to the poll that was sent at `sent`. The caller applies the events of an accepted answer and
    /// then calls [`Subscription::events_applied`].
    ///
    /// # Errors
    /// [`RejectedAnswer`] if the events of the answer must not be applied; the next step polls another relay.
    pub fn poll_answered(
        &mut self,
        now: Micros,
        sent: Micros,
        head: &Head,
    ) -> Result<AcceptedAnswer, RejectedAnswer> {
        self.unapplied = None;
        self.current_has_answered = true;
        // A snapshot is requested only of another feed: in the known one offsets never go back.
        self.request_snapshot &= head.feed != self.feed;
        let accepted = self.classify(head).inspect_err(|rejected| self.reject_answer(now, rejected))?;
        if self.settings.plain_bus && accepted == AcceptedAnswer::NoNewEvents {
            self.is_following = true;
            self.answer_renewed_lease(now);
            return Ok(accepted);
        }
        if head.offset < self.offset && accepted == AcceptedAnswer::NoNewEvents {
            // A relay that is behind the subscriber proves nothing about later events.
            self.answer_was_stale(now);
            return Ok(accepted);
        }
        let as_of = self.as_of(sent.min(now), head);
        self.unapplied = Some(UnappliedAnswer { offset: head.offset, feed: head.feed.clone(), as_of });
        if accepted == AcceptedAnswer::NoNewEvents {
            self.events_applied(now);
        }
        Ok(accepted)
    }

    /// The time up to which all events are known once the latest accepted answer has been applied; `None` if that
    /// answer proves no freshness.
    pub fn unapplied_as_of(&self) -> Option<Micros> {
        self.unapplied.as_ref().and_then(|answer| answer.as_of)
    }

    /// Records that the events of the latest accepted answer have been applied: renews the lease, and lets the next
    /// poll acknowledge the events.
    pub fn events_applied(&mut self, now: Micros) {
        let Some(UnappliedAnswer { offset, feed, as_of }) = self.unapplied.take() else { return };
        let offset_changed = offset != self.offset;
        self.offset = offset;
        self.feed = feed;
        self.is_following = true;
        self.request_snapshot = false;
        if let Some(as_of) = as_of {
            self.lease.renew(as_of);
        }
        let next_answer_due = now.saturating_add(self.settings.hold);
        match as_of {
            _ if self.settings.plain_bus => self.answer_renewed_lease(now),
            Some(_) if self.lease.expires_at().is_some_and(|expires_at| expires_at > next_answer_due) => {
                self.answer_renewed_lease(now);
            }
            // The answer contains only some of the new events; the next one contains the others.
            None if offset_changed => {}
            _ => self.answer_was_stale(now),
        }
    }

    /// Handles the failure of a poll.
    pub fn poll_failed(&mut self, now: Micros, failure: PollFailure) {
        self.unapplied = None;
        if self.settings.plain_bus {
            let delay =
                if failure == PollFailure::ConnectionLost { 0 } else { self.backoff.plain_bus_delay() };
            self.wait_until = now.saturating_add(delay);
            return;
        }
        let retry_after = match failure {
            // Reconnects only once: the next failure is that of a new connection.
            PollFailure::ConnectionLost if self.current_has_answered => {
                self.current_has_answered = false;
                self.wait_until = now.saturating_add(self.backoff.reconnect_delay());
                return;
            }
            PollFailure::Refused { retry_after } => retry_after,
            PollFailure::ConnectionLost
            | PollFailure::Unreachable
            | PollFailure::TimedOut
            | PollFailure::InvalidAnswer => None,
        };
        self.switch_relay(now, retry_after);
    }

    /// The freshness lease. It is not meaningful for a plain bus.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// The offset up to which events have been applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// The feed that is followed, if it has an identity.
    pub fn feed(&self) -> Option<&FeedId> {
        self.feed.as_ref()
    }

    fn hold(&self) -> Micros {
        match self.settings.plain_bus {
            true if self.is_following => backoff::PLAIN_BUS_HOLD,
            false if self.current_has_answered => self.settings.hold,
            // The first poll of a relay is answered immediately, even without new events.
            _ => 0,
        }
    }

    fn poll(&self, hold: Micros) -> Poll {
        let hold_ms = hold / MILLISECOND;
        if self.settings.plain_bus {
            return Poll { from: self.offset, hold_ms, feed: None, identity: None };
        }
        let identity = Identity { name: self.settings.name.clone(), incarnation: self.settings.incarnation };
        let (from, feed) = if self.request_snapshot { (0, None) } else { (self.offset, self.feed.clone()) };
        Poll { from, hold_ms, feed, identity: Some(identity) }
    }

    /// Classifies an answer. One with a lower offset than the known one counts as without new events: offsets never
    /// decrease.
    fn classify(&self, head: &Head) -> Result<AcceptedAnswer, RejectedAnswer> {
        let (known, received) = (self.offset, head.offset);
        if self.settings.plain_bus {
            let new_events = AcceptedAnswer::NewEvents { after: known };
            return Ok(if received > known { new_events } else { AcceptedAnswer::NoNewEvents });
        }
        if received > MAX_OFFSET {
            return Err(RejectedAnswer::OffsetLeap { known, received });
        }
        if self.request_snapshot || (self.is_following && head.feed != self.feed && head.snapshot) {
            return Ok(AcceptedAnswer::Snapshot);
        }
        if self.is_following && head.feed != self.feed {
            return Err(RejectedAnswer::FeedChanged {
                known: self.feed.clone(),
                received: head.feed.clone(),
            });
        }
        if received < known {
            return Ok(AcceptedAnswer::NoNewEvents);
        }
        if head.snapshot {
            return Ok(AcceptedAnswer::Snapshot);
        }
        if self.is_following && received - known > MAX_OFFSET_LEAP {
            return Err(RejectedAnswer::OffsetLeap { known, received });
        }
        Ok(if received > known {
            AcceptedAnswer::NewEvents { after: known }
        } else {
            AcceptedAnswer::NoNewEvents
        })
    }

    /// The time up to which the answer contains all events, counted from when the poll was sent: events published while
    /// the answer was in flight may be missing from it.
    fn as_of(&self, sent: Micros, head: &Head) -> Option<Micros> {
        let age_ms = head.age_ms.or(self.settings.direct_bus.then_some(0))?;
        match age_ms.saturating_mul(MILLISECOND) {
            0 => Some(sent),
            age => sent.checked_sub(lease::age_upper_bound(age, self.settings.drift_per_mille)),
        }
    }

    fn reject_answer(&mut self, now: Micros, rejected: &RejectedAnswer) {
        if matches!(rejected, RejectedAnswer::FeedChanged { .. }) {
            self.request_snapshot = true;
        }
        self.switch_relay(now, None);
    }

    fn answer_renewed_lease(&mut self, now: Micros) {
        self.backoff.succeeded();
        self.stale_answers = 0;
        self.fallback = None;
        if self.current == 0 {
            self.retry_preferred_at = None;
        } else if self.retry_preferred_at.is_none() {
            self.retry_preferred_at = Some(self.next_preferred_retry(now));
        }
    }

    fn answer_was_stale(&mut self, now: Micros) {
        self.stale_answers += 1;
        if self.stale_answers >= MAX_STALE_ANSWERS {
            self.switch_relay(now, None);
        }
    }

    /// Switches to the next relay after a backoff, or immediately to the previous one if the preferred relay has failed
    /// again.
    fn switch_relay(&mut self, now: Micros, retry_after: Option<Micros>) {
        if self.order.is_empty() {
            return;
        }
        let remaining_lease = self.remaining_lease(now);
        if let Some(retry_after) = retry_after {
            let delay = self.backoff.retry_after(retry_after, remaining_lease, self.settings.lease);
            self.not_before[self.current] = now.saturating_add(delay);
        }
        self.current_has_answered = false;
        self.stale_answers = 0;
        if let Some(fallback) = self.fallback.take() {
            self.current = fallback;
            self.retry_preferred_at = Some(self.next_preferred_retry(now));
            self.wait_until = now;
            return;
        }
        let delay = self.backoff.failure_delay(remaining_lease);
        self.current = self.next_relay(now.saturating_add(delay));
        self.wait_until = now.saturating_add(delay).max(self.not_before[self.current]);
    }

    /// The index in `order` of the next relay that may be polled at `poll_time`; otherwise of the one that may be
    /// polled earliest.
    fn next_relay(&self, poll_time: Micros) -> usize {
        let count = self.order.len();
        let candidates = (1..=count).map(|step| (self.current + step) % count);
        candidates.min_by_key(|candidate| self.not_before[*candidate].max(poll_time)).unwrap_or(0)
    }

    fn retry_preferred_relay(&mut self, now: Micros) {
        if self.current == 0
            || self.retry_preferred_at.is_none_or(|retry_at| now < retry_at)
            || now < self.not_before[0]
        {
            return;
        }
        self.fallback = Some(self.current);
        self.retry_preferred_at = None;
        self.current = 0;
        self.current_has_answered = false;
        self.stale_answers = 0;
    }

    /// The time of the next retry of the preferred relay, with jitter of up to a quarter of the interval.
    fn next_preferred_retry(&mut self, now: Micros) -> Micros {
        let interval = self.settings.retry_preferred_after;
        now.saturating_add(self.backoff.random_between(interval, interval.saturating_add(interval / 4)))
    }

    fn remaining_lease(&self, now: Micros) -> Micros {
        self.lease.expires_at().map_or(0, |expires_at| expires_at.saturating_sub(now))
    }
}
