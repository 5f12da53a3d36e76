//! Answers to polls and their events, in JSON.

use super::FeedId;
use crate::Offset;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value};

/// The fields of an answer other than its events. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The offset of the last event that the answer contains or, for a snapshot, whose effect it includes.
    pub offset: Offset,
    /// The feed to which the offsets belong, if it has an identity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub feed: Option<FeedId>,
    /// The time in milliseconds between the sender's last proof of freshness and this answer; `None` proves no
    /// freshness.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// Whether the batch is the complete state: one endpoint list of all stores, followed by the stored purges.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub snapshot: bool,
}

/// A purge of one URL, of all objects with a tag, or of a slice of the hash space (see [`mod@crate::slice`]).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ban {
    /// The purged URL.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub url: Option<String>,
    /// The purged tag; ignored if there is a URL.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tag: Option<u64>,
    /// The time before which copies count as purged, in Unix milliseconds.
    #[serde(default)]
    pub ts: u64,
    /// The index of the purged slice, out of `of` equal slices of the hash space.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slice: Option<u32>,
    /// The number of slices into which the hash space is divided.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub of: Option<u32>,
    /// Unknown fields, which are forwarded unchanged.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// An event as relays forward it, including unknown fields and unknown kinds of events.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RawEvent {
    /// The number of the event in its feed.
    pub offset: Offset,
    /// A complete endpoint list or a change to it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub topology: Option<Value>,
    /// A purge.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ban: Option<Ban>,
    /// Unknown fields, and a ban that can't be parsed.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

impl<'a> Deserialize<'a> for RawEvent {
    fn deserialize<D: Deserializer<'a>>(deserializer: D) -> Result<RawEvent, D::Error> {
        let mut other = Map::<String, Value>::deserialize(deserializer)?;
        let offset = other.remove("offset").ok_or(D::Error::missing_field("offset"))?;
        let offset = u64::deserialize(offset).map_err(D::Error::custom)?;
        let topology = other.remove("topology").filter(|topology| !topology.is_null());
        let ban = other.get("ban").and_then(|ban| Ban::deserialize(ban).ok());
        if ban.is_some() {
            other.remove("ban");
        }
        Ok(RawEvent { offset, topology, ban, other })
    }
}

/// An answer with its events, as relays parse it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The fields other than the events.
    #[serde(flatten)]
    pub head: Head,
    /// The events, in the order of their offsets.
    #[serde(deserialize_with = "deserialize_events")]
    pub batch: Vec<RawEvent>,
}

/// Parses each event individually: one without an offset can't be forwarded, but must not prevent later events from
/// being parsed.
fn deserialize_events<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Vec<RawEvent>, D::Error> {
    let events = Vec::<Value>::deserialize(deserializer)?;
    Ok(events.into_iter().filter_map(|event| RawEvent::deserialize(event).ok()).collect())
}
