//! The bodies of answers to polls: the events after an offset, or a snapshot of the complete state.

use super::pending_polls::PendingPoll;
use super::{Relay, SharedBody};
use crate::message::{Head, RawEvent};
use crate::{Micros, Offset};
use std::borrow::Cow;

/// The content of the answer to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PollAnswer {
    /// The events after this offset.
    After(Offset),
    /// The complete state.
    Snapshot,
}

impl Relay {
    /// The content with which a pending poll is answered now.
    pub(super) fn answer_to(&self, poll: &PendingPoll) -> PollAnswer {
        if poll.needs_snapshot || !self.log.contains_all_after(poll.from) {
            PollAnswer::Snapshot
        } else {
            PollAnswer::After(poll.from)
        }
    }

    /// Encodes the body of an answer.
    pub(super) fn body(&self, now: Micros, content: PollAnswer) -> SharedBody {
        let last = self.log.last_offset();
        let (offset, snapshot, events) = match content {
            PollAnswer::Snapshot => {
                let events = self.encoded_snapshot.get_or_init(|| self.snapshot_events());
                (last, true, Cow::Borrowed(events.as_str()))
            }
            // A subscriber that is ahead of this relay receives the relay's offset.
            PollAnswer::After(from) if from >= last => (last, false, Cow::Borrowed("")),
            PollAnswer::After(from) => {
                let batch = self.log.after(from);
                (batch.offset, false, Cow::Owned(batch.events))
            }
        };
        // An answer with only some of the known events proves no freshness.
        let age_ms = self.age_ms(now).filter(|_| offset == last);
        let head = Head { offset, feed: self.feed.clone(), age_ms, snapshot };
        encode_answer(&head, &events).into_bytes().into()
    }

    /// Encodes the complete state as events of the last offset.
    fn snapshot_events(&self) -> String {
        let offset = self.log.last_offset();
        let event = |topology, ban| RawEvent { offset, topology, ban, other: serde_json::Map::new() };
        let list = self.topology.to_event().map(|topology| event(Some(topology), None));
        let purges = self.purges.all().map(|ban| event(None, Some(ban)));
        let events: Vec<String> =
            list.into_iter().chain(purges).filter_map(|event| serde_json::to_string(&event).ok()).collect();
        events.join(",")
    }
}

fn encode_answer(head: &Head, events: &str) -> String {
    // The encoded head is never an empty object, so that the batch can follow a comma.
    let mut body = serde_json::to_string(head).unwrap_or_else(|_| format!("{{\"offset\":{}}}", head.offset));
    body.pop();
    body.push_str(",\"batch\":[");
    body.push_str(events);
    body.push_str("]}");
    body
}
