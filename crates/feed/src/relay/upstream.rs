//! Applies the answers of the upstream, which is the event bus or another relay, to the state of a relay.

use super::Relay;
use super::topology::{MAX_STORES, Topology};
use crate::message::{Answer, RawEvent};
use crate::subscription::AcceptedAnswer;
use crate::{Micros, Offset};
use thiserror::Error;

/// Why an answer of the upstream is rejected. No event of it has been applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpstreamAnswerError {
    /// An offset is lower than the one before it in the batch.
    #[error("events are out of order: event {offset} follows event {after}")]
    OutOfOrder {
        /// The offset of the event that is out of order.
        offset: Offset,
        /// The higher offset before it.
        after: Offset,
    },
    /// The offset of an event exceeds that of the answer.
    #[error("event {offset} exceeds the offset of the answer, {answer_offset}")]
    BeyondAnswer {
        /// The offset of the event.
        offset: Offset,
        /// The offset of the answer.
        answer_offset: Offset,
    },
    /// The endpoint list would have this many stores, which exceeds `MAX_STORES`.
    #[error("the endpoint list has {0} stores; the maximum is {MAX_STORES}")]
    TooManyStores(usize),
    /// An event can't be encoded as JSON.
    #[error("event {offset} can't be encoded as JSON")]
    NotEncodable {
        /// The offset of the event.
        offset: Offset,
    },
}

impl Relay {
    /// Applies an answer of the upstream that the relay's own subscription has accepted.
    ///
    /// `as_of` is [`Subscription::unapplied_as_of`](crate::subscription::Subscription::unapplied_as_of), or for
    /// [`AcceptedAnswer::NoNewEvents`] the lease's [`as_of`](crate::lease::Lease::as_of) after the answer. After an
    /// error the caller reports the failure to the subscription as
    /// [`PollFailure::InvalidAnswer`](crate::subscription::PollFailure::InvalidAnswer).
    ///
    /// # Errors
    /// [`UpstreamAnswerError`] if the answer can't be applied; the state is unchanged.
    pub fn apply_upstream_answer(
        &mut self,
        now: Micros,
        as_of: Option<Micros>,
        accepted: AcceptedAnswer,
        answer: &Answer,
    ) -> Result<(), UpstreamAnswerError> {
        match accepted {
            AcceptedAnswer::NoNewEvents => {}
            AcceptedAnswer::NewEvents { .. } => self.apply_changes(now, answer)?,
            AcceptedAnswer::Snapshot => self.apply_snapshot(now, answer)?,
        }
        if !self.is_ready || accepted == AcceptedAnswer::Snapshot {
            self.feed.clone_from(&answer.head.feed);
        }
        self.is_ready = true;
        self.watermark.record_known(now, self.feed.as_ref(), self.log.last_offset());
        self.as_of = self.as_of.max(as_of.map(|as_of| as_of.min(now)));
        Ok(())
    }

    fn apply_changes(&mut self, now: Micros, answer: &Answer) -> Result<(), UpstreamAnswerError> {
        check_offsets(answer)?;
        let known = self.log.last_offset();
        let new_events: Vec<&RawEvent> = answer.batch.iter().filter(|event| event.offset > known).collect();
        let topology = self.topology_after(&new_events, false)?;
        let encode = |event: &&RawEvent| {
            serde_json::to_string(event)
                .map_err(|_| UpstreamAnswerError::NotEncodable { offset: event.offset })
        };
        let encoded = new_events.iter().map(encode).collect::<Result<Vec<_>, _>>()?;
        for (event, json) in new_events.iter().zip(encoded) {
            self.log.push(event.offset, json);
            self.add_purge(now, event);
        }
        self.topology = topology;
        self.encoded_snapshot.take();
        self.log.advance(answer.head.offset);
        if self.log.last_offset() > known {
            // Endpoint lists and events of unknown kinds are sent immediately; purges are batched.
            let only_purges = !new_events.is_empty() && new_events.iter().all(|event| is_purge_only(event));
            let delay = if only_purges { self.settings.batch_delay } else { 0 };
            self.schedule_flush(now.saturating_add(delay));
        }
        Ok(())
    }

    fn apply_snapshot(&mut self, now: Micros, answer: &Answer) -> Result<(), UpstreamAnswerError> {
        let events: Vec<&RawEvent> = answer.batch.iter().collect();
        self.topology = self.topology_after(&events, true)?;
        for event in events {
            self.add_purge(now, event);
        }
        if answer.head.feed != self.feed {
            self.pending.mark_all_for_snapshot();
        }
        self.log.reset(answer.head.offset);
        self.encoded_snapshot.take();
        self.schedule_flush(now);
        Ok(())
    }

    /// Returns the endpoint list after these events. In a snapshot the first list replaces the known one.
    fn topology_after(&self, events: &[&RawEvent], snapshot: bool) -> Result<Topology, UpstreamAnswerError> {
        let mut topology = self.topology.clone();
        let mut first = snapshot;
        for change in events.iter().filter_map(|event| event.topology.as_ref()) {
            if let Some(changed) = topology.apply(change, first) {
                topology = changed;
                first = false;
            }
        }
        match topology.len() {
            count if count > MAX_STORES => Err(UpstreamAnswerError::TooManyStores(count)),
            _ => Ok(topology),
        }
    }

    fn add_purge(&mut self, now: Micros, event: &RawEvent) {
        if let Some(ban) = &event.ban {
            self.purges.add(now, ban);
        }
    }
}

fn check_offsets(answer: &Answer) -> Result<(), UpstreamAnswerError> {
    let mut after = 0;
    for RawEvent { offset, .. } in &answer.batch {
        if *offset < after {
            return Err(UpstreamAnswerError::OutOfOrder { offset: *offset, after });
        }
        if *offset > answer.head.offset {
            return Err(UpstreamAnswerError::BeyondAnswer {
                offset: *offset,
                answer_offset: answer.head.offset,
            });
        }
        after = *offset;
    }
    Ok(())
}

fn is_purge_only(event: &RawEvent) -> bool {
    event.ban.is_some() && event.topology.is_none() && event.other.is_empty()
}
