//! Incoming messages of the simulator's JSON protocol. Names mirror its keys. Times are in microseconds.

use crate::interface::Micros;
use serde::Deserialize;
use serde_json::Value;

/// A batch of messages to the gateways of one process, all for the same point in time.
#[derive(Deserialize)]
pub(super) struct Batch {
    /// The time of the batch.
    #[serde(rename = "Ts")]
    pub now: Micros,
    /// The serial number, repeated in the reply.
    pub serial: u64,
    /// The messages, in order.
    #[serde(rename = "news")]
    pub messages: Vec<Message>,
}

/// A message to one gateway.
#[derive(Deserialize)]
pub(super) enum Message {
    /// Starts a gateway.
    #[serde(rename = "ATTACH")]
    Attach(Attach),
    /// Discovery reports members.
    #[serde(rename = "MEMBERS")]
    Members(Members),
    /// A client sends a request.
    #[serde(rename = "REQUEST")]
    Request(WireRequest),
    /// The response to a request has begun to stream to the client.
    #[serde(rename = "FLOWING")]
    Flowing(OneRequest),
    /// A timer has expired.
    #[serde(rename = "WAKE")]
    Wake(Wake),
    /// An attempt has ended.
    #[serde(rename = "RESPONSE")]
    Response(Response),
    /// An object or a purge group has been purged.
    #[serde(rename = "STRUCK_OUT")]
    StruckOut(StruckOut),
    /// The result of a health check; not used.
    #[serde(rename = "CHECK_RESULT")]
    CheckResult(OneGateway),
    /// A message from another gateway; not used.
    #[serde(rename = "PEER")]
    Peer(OneGateway),
    /// Stops a gateway.
    #[serde(rename = "HALT")]
    Halt(OneGateway),
    /// The client has abandoned a request.
    #[serde(rename = "EXPIRED")]
    Expired(OneRequest),
}

/// Starts a gateway with the given settings.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Attach {
    pub gateway_id: u64,
    /// The seed of the gateway's random numbers.
    #[serde(default)]
    pub entropy: Value,
    /// The settings object.
    pub env: Value,
}

/// A message without fields other than its gateway.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct OneGateway {
    pub gateway_id: u64,
}

/// A message that names one request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct OneRequest {
    pub gateway_id: u64,
    /// The id of the request, in hexadecimal.
    pub corr: String,
}

/// A timer has expired.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Wake {
    pub gateway_id: u64,
    /// The id of the timer, as set by the gateway.
    pub nonce: String,
}

/// A member list from discovery.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Members {
    pub gateway_id: u64,
    /// The kind of list: `Complete` or `Persisted` (all members), `Partial` (changes) or `Error` (none).
    pub mode: String,
    #[serde(default)]
    pub nodes_list: Vec<Node>,
}

/// A member in a list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Node {
    /// The id of the member, whatever its role.
    pub cache: u32,
    /// The name of the member's zone.
    #[serde(default)]
    pub dc: String,
    /// The number of the member's cell.
    #[serde(default)]
    pub bay: u32,
    /// The weight of the member.
    #[serde(default)]
    pub rating: f64,
    /// When the member last started; 0 if long ago.
    #[serde(default)]
    pub ready_at: Micros,
    /// The state of the member: `SERVING`, `DRAINING` or `DELETED`.
    pub readiness: String,
    /// The machine kind of the member, which determines its role.
    #[serde(default)]
    pub family_type: String,
}

/// A client's request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireRequest {
    pub gateway_id: u64,
    /// The id of the request, in hexadecimal.
    pub corr: String,
    /// The name of the request's class.
    pub class: String,
    /// The time until the client gives up; no time if negative.
    #[serde(default)]
    pub budget: i64,
    /// The size of the response.
    #[serde(default)]
    pub size_kb: f64,
    /// The number of the group with which the object can be purged.
    #[serde(default)]
    pub purge_group: Option<f64>,
    /// The number of the requested part of the object.
    #[serde(default)]
    pub piece: f64,
    /// The name of the object.
    #[serde(default)]
    pub content_id: String,
}

/// The outcome of an attempt.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Response {
    pub gateway_id: u64,
    /// The id of the request, in hexadecimal.
    pub corr: String,
    /// The id of the member that received the attempt.
    pub cache: u32,
    /// The duration of the attempt.
    #[serde(default)]
    pub time_taken: Micros,
    /// The number of the outcome's detail, such as a hit or a failed fill.
    #[serde(default)]
    pub detail: u32,
    /// Whether the request has its final response.
    #[serde(default)]
    pub over: bool,
    /// The outcome of the attempt.
    pub code: String,
    /// The number of the attempt, counted from 0 for each request.
    #[serde(default)]
    pub seq_no: u32,
    /// The load report, with values in the order of `Report.Fields` in the settings.
    #[serde(default)]
    pub stats: Option<Vec<Option<f64>>>,
}

/// A purge of an object or of a purge group.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct StruckOut {
    pub gateway_id: u64,
    /// The name of the object; absent or empty for the purge of a group.
    #[serde(default)]
    pub content_id: Option<String>,
    /// The number of the purge group.
    #[serde(default)]
    pub family_id: Option<f64>,
    /// How long ago the purge took place.
    #[serde(default)]
    pub copy_age: Micros,
}

impl Message {
    /// Returns the id of the gateway that receives the message.
    pub fn gateway(&self) -> u64 {
        match self {
            Message::Attach(Attach { gateway_id, .. })
            | Message::Members(Members { gateway_id, .. })
            | Message::Request(WireRequest { gateway_id, .. })
            | Message::Flowing(OneRequest { gateway_id, .. })
            | Message::Expired(OneRequest { gateway_id, .. })
            | Message::Wake(Wake { gateway_id, .. })
            | Message::Response(Response { gateway_id, .. })
            | Message::StruckOut(StruckOut { gateway_id, .. })
            | Message::CheckResult(OneGateway { gateway_id })
            | Message::Peer(OneGateway { gateway_id })
            | Message::Halt(OneGateway { gateway_id }) => *gateway_id,
        }
    }
}
