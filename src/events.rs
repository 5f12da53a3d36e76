//! JSON messages of the event bus: batches of endpoint lists and purges, and their conversion into members.

use crate::interface::{ListKind, Member, MemberId, MemberState, Micros};
use crate::settings::Names;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// Prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;
/// Initial value of the 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;

/// Events in the order of their offsets, as in the response to a poll and in `known` of the configuration.
#[derive(Debug, Default, Deserialize)]
pub struct Batch {
    /// The offset of the sender's latest event.
    pub offset: u64,
    /// The events, in ascending order of their offsets.
    #[serde(deserialize_with = "usable_events")]
    pub batch: Vec<Event>,
    /// Whether the events are the complete state of a relay, which may be of any age, rather than the latest changes.
    #[serde(default)]
    pub snapshot: bool,
}

/// Decodes each event separately: an invalid event is logged with its offset and skipped, as it would otherwise block
/// all later events.
fn usable_events<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Vec<Event>, D::Error> {
    let decode = |event: Value| {
        let offset = event["offset"].clone();
        let log_skipped = |error: &serde_json::Error| log::error!("event {offset} can't be used: {error}");
        Event::deserialize(event).inspect_err(log_skipped).ok()
    };
    Ok(Vec::<Value>::deserialize(deserializer)?.into_iter().filter_map(decode).collect())
}

impl Batch {
    /// Keeps the events with offsets above `last`. The bus may repeat events after a reconnect, and an old event must
    /// not undo a later one.
    #[must_use]
    pub fn after(mut self, last: u64) -> Batch {
        self.batch.retain(|event| event.offset > last);
        self
    }
}

/// A change of the endpoint list, or a purge.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// The position of the event in the sequence of events.
    pub offset: u64,
    /// The endpoint list or its changes, if the event has any.
    #[serde(default)]
    pub topology: Option<Topology>,
    /// The purge, if the event has one.
    #[serde(default, rename = "ban")]
    pub purge: Option<Purge>,
}

impl Event {
    /// The latest time stamp in the event, in Unix milliseconds: what it reports had happened by then. The purge of a
    /// slice counts as having none, because it combines several purges.
    pub fn latest_stamp(&self) -> Option<u64> {
        let purge_stamp =
            self.purge.as_ref().filter(|purge| purge.slice.is_none()).map(|purge| purge.unix_ms);
        let instances = self.topology.iter().flat_map(|topology| &topology.instances);
        instances.map(|instance| instance.started_at_ms).chain(purge_stamp).max()
    }
}

/// The complete endpoint list, or changes of it.
#[derive(Debug, Deserialize)]
pub struct Topology {
    /// Whether the list is complete: endpoints that it does not contain are gone.
    #[serde(default)]
    pub reset: bool,
    /// The listed endpoints.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

impl Topology {
    /// Whether the list is complete: it is if it states `reset`, or if it is the first that the gateway receives.
    pub fn list_kind(&self, is_first: bool) -> ListKind {
        if self.reset || is_first { ListKind::Complete } else { ListKind::Changes }
    }
}

/// An endpoint of the endpoint list: a store or an origin.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The name of the endpoint.
    pub instance_id: String,
    /// The host and port at which the endpoint accepts connections.
    #[serde(default)]
    pub host_port: String,
    /// The name of the endpoint's zone.
    #[serde(default)]
    pub zone: String,
    /// The machine type, which determines the endpoint's role.
    #[serde(default)]
    pub machine_type: String,
    /// The cell in which the endpoint drops duplicate requests.
    #[serde(default)]
    pub cell: u32,
    /// The state of the endpoint: `up`, `draining`, or any other value for gone.
    pub lifecycle: String,
    /// The capacity of the endpoint, or its share of the requests.
    #[serde(default)]
    pub weight: f64,
    /// The start time of the endpoint's process, in Unix milliseconds; 0 if not stated.
    #[serde(default)]
    pub started_at_ms: u64,
}

impl Instance {
    /// Whether the endpoint has not gone.
    pub fn is_listed(&self) -> bool {
        matches!(self.lifecycle.as_str(), "up" | "draining")
    }

    /// Converts the endpoint into a member for the policies; `started` is its start time on the monotonic clock. An
    /// unknown state counts as gone: new requests are sent only to endpoints that are reported to serve.
    pub fn member(&self, names: &Names, started: Option<Micros>) -> Member {
        Member {
            id: member_id(&self.instance_id),
            role: names.role(&self.machine_type),
            zone: names.zones.get(&self.zone).copied(),
            cell: self.cell,
            weight: self.weight,
            started,
            state: match self.lifecycle.as_str() {
                "up" => MemberState::Serving,
                "draining" => MemberState::Draining,
                _ => MemberState::Gone,
            },
        }
    }
}

/// A purge of an object, of a group, or of a slice of the hash space.
#[derive(Debug, Deserialize)]
pub struct Purge {
    /// The purged object.
    #[serde(default, rename = "url")]
    pub object: Option<String>,
    /// The purged group, if no object is stated.
    #[serde(default, rename = "tag")]
    pub group: Option<u64>,
    /// When the purge was made, in Unix milliseconds; 0 if not stated.
    #[serde(default, rename = "ts")]
    pub unix_ms: u64,
    /// The purged slice of the hash space, which combines several older purges.
    #[serde(default)]
    pub slice: Option<u32>,
    /// The number of equal slices into which the hash space is divided.
    #[serde(default, rename = "of")]
    pub slices: Option<u32>,
}

/// Derives the id of a store from its name, the same at every gateway: the hexadecimal number at the end of the name,
/// or else a hash of the name.
pub fn member_id(name: &str) -> MemberId {
    let suffix = name.rsplit('-').next().unwrap_or(name);
    let add_byte = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
    let hash = || name.bytes().fold(FNV_OFFSET_BASIS, add_byte);
    MemberId(u32::from_str_radix(suffix, 16).unwrap_or_else(|_| hash()))
}

#[cfg(test)]
mod tests;
