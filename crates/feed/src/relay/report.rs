//! The reports of a relay to its peers, and its status for operators.

use crate::Offset;
use crate::message::FeedId;
use serde::{Deserialize, Serialize};

/// A report to peer relays: the subscribers that have polled the reporting relay, and the last event that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The reporting relay.
    pub relay: String,
    /// The feed to which the offsets belong, if it has an identity.
    #[serde(default)]
    pub feed: Option<FeedId>,
    /// The offset of the last event that the relay knows.
    pub offset: Offset,
    /// The time since the relay's last proof of freshness, in milliseconds; `None` before its first answer.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Whether the report lists all subscribers that may have a lease from this relay. False until one lease duration
    /// has passed since the start, as an earlier process may have served other subscribers.
    pub complete: bool,
    /// The subscribers that have polled the reporting relay.
    pub subscribers: Vec<SubscriberReport>,
}

/// The state of a subscriber as known to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubscriberReport {
    /// The name of the subscriber.
    pub name: String,
    /// The latest known incarnation of the subscriber.
    pub incarnation: u64,
    /// The offset up to which the subscriber has acknowledged events.
    pub offset: Offset,
    /// The time since the subscriber's last poll was received, in milliseconds.
    pub silent_ms: u64,
    /// The relay that received the last poll.
    pub via: String,
}

/// The reason why an event is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CompletionReason {
    /// All subscribers have applied the event.
    Acknowledged,
    /// The lease of each subscriber that has not applied the event has expired, so that it uses no older copies.
    #[serde(rename = "lease_over")]
    LeasesExpired,
}

/// The completion of an event: no subscriber uses copies that were purged by events up to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Completion {
    /// The offset of the event.
    pub offset: Offset,
    /// The reason why the event is complete.
    #[serde(rename = "by")]
    pub reason: CompletionReason,
    /// The time from when this relay received the event to this report, or to lease expiry, in milliseconds.
    #[serde(rename = "took_ms")]
    pub elapsed_ms: u64,
}

/// The status of a relay, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The name of the relay.
    pub relay: String,
    /// The feed to which the offsets belong, if it has an identity.
    pub feed: Option<FeedId>,
    /// The offset of the last event that the relay knows.
    pub offset: Offset,
    /// The time since the relay's last proof of freshness, in milliseconds; `None` before its first answer.
    pub age_ms: Option<u64>,
    /// The offset of the last complete event.
    pub watermark: Offset,
    /// Whether all subscribers that may have a lease from this relay are known.
    pub complete: bool,
    /// The number of admitted sessions.
    pub sessions: usize,
    /// The number of pending polls.
    #[serde(rename = "held_polls")]
    pub pending_polls: usize,
    /// The number of snapshots sent since the start.
    pub snapshots: u64,
    /// The offset after which the log contains all events.
    pub log_base: Offset,
    /// The number of events in the log.
    pub log_events: usize,
    /// The number of stores in the endpoint list.
    pub stores: usize,
    /// The number of purges that are stored individually.
    pub purges: usize,
    /// The number of slices with a purge floor.
    pub purge_floors: usize,
    /// The number of known subscribers, of all relays.
    pub subscribers: usize,
    /// The state of the peer relays.
    pub peers: Vec<PeerStatus>,
    /// The subscribers that are furthest behind in acknowledging events, the furthest first; limited in number.
    pub lagging: Vec<SubscriberReport>,
}

/// The state of a peer relay according to its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The name of the peer relay.
    pub relay: String,
    /// The time since the peer's last report, in milliseconds; `None` if there was none.
    pub silent_ms: Option<u64>,
    /// The offset of the last event that the peer knew at its last report.
    pub offset: Option<Offset>,
}
