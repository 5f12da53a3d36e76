//! The settings object as JSON. Field names mirror its keys. Times are in microseconds.

use crate::interface::Micros;
use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SettingsDocument {
    pub classes: Vec<ClassEntry>,
    #[serde(default)]
    pub family_info: FamilyInfo,
    /// The number of gateways.
    pub instances: u32,
    /// Names of the machine kinds; `FamilyInfo` states by index which kinds are parents and origins.
    #[serde(default)]
    pub kinds: Vec<String>,
    pub limits: Limits,
    /// The slow start rule of caches, whose window (`Fall`) also applies to parents.
    pub obligations: Obligations,
    /// The layout of the stores' load reports.
    #[serde(default)]
    pub report: Report,
    /// The shortest time between two rounds of events; 0 for the default.
    #[serde(default)]
    pub tick: Micros,
    /// What member weights state: nothing about capacity if `silent`, otherwise a capacity in transfers.
    #[serde(default)]
    pub weight_kind: String,
    /// The zone of this gateway.
    pub zone: String,
    pub zones: Vec<String>,
}

/// A request class. Its position in the list is its index.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct ClassEntry {
    pub name: String,
    /// The longest time that a client waits.
    pub deadline: Micros,
    /// The latency objective without the time to send the response.
    pub aim: Micros,
    /// How much of a response's own sending time the latency objective grants on top.
    #[serde(default)]
    pub aim_stretch: f64,
    /// The priority weight.
    #[serde(default)]
    pub credit: f64,
    /// The idempotency: `free` (idempotent), `guarded` (idempotency key) or `single_shot` (not idempotent).
    pub effect: String,
    /// The scope in which stores deduplicate requests with an idempotency key: `zone`, `cell`, or all stores.
    #[serde(default)]
    pub group: String,
    /// The share of the priority weight that a response earns after the latency objective.
    #[serde(default)]
    pub late_value: f64,
    /// The deduplication window of an idempotency key.
    #[serde(default)]
    pub memory_span: Micros,
}

/// Settings of the cache hierarchy: caches, parents and an origin.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct FamilyInfo {
    /// The freshness lifetime by class; 0: fresh until purged.
    pub class_fresh: Vec<Micros>,
    /// Whether caches let a request join a fill in progress.
    pub collapses: bool,
    /// The index of the parents' machine kind.
    pub mid_kind: Option<i64>,
    /// The maximum rate of one transfer to a client, in KB per second.
    pub pace_kb_per_s: f64,
    /// The warm-up time of parents.
    pub parent_cold: Micros,
    /// The multiple of its present capacity that a cold parent can handle.
    pub parent_limit_factor: f64,
    /// Whether requests are uncacheable and run at the origin, by class.
    pub pass_on: Vec<bool>,
    /// The time within which a purge reaches all stores.
    pub purge_takes: Micros,
    /// Which other caches may be fill sources: those of the `location`, or `any`.
    pub sideways: String,
    /// The index of the origins' machine kind.
    pub source_kind: Option<i64>,
    /// Whether requests may go directly to a parent or the origin.
    pub straight: bool,
    /// The share of its capacity with which a parent starts.
    pub upper_cold_from: f64,
    /// The number of gateways by zone.
    pub zone_balancers: Vec<u32>,
}

/// Limits and permissions that apply to all gateways.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the fields mirror independent switches of the outer document"
)]
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Limits {
    /// The time limit for opening a connection; 0 for the default.
    pub connect_timeout: Micros,
    /// The idle time after which stores close a connection; 0 for the default.
    pub keepalive: Micros,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// The longest backoff that clients honor.
    pub max_retry_after: Micros,
    /// Whether the gateway may send health checks to stores.
    pub probes: bool,
    /// Whether clients honor a backoff stated with a rejection.
    pub retry_after: bool,
    /// Whether hedged requests are allowed.
    pub second_copies: bool,
    /// The maximum number of attempts of a request.
    pub send_cap: u32,
    /// The maximum number of attempts in flight on one connection; 0 for the default.
    pub streams_per_conn: usize,
}

/// The slow start rule of caches, whose window (`Fall`) also applies to parents.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Obligations {
    /// How long a cold store can be over its limit without failing.
    pub fall: Micros,
    /// The multiple of its present capacity that a cold cache can handle.
    pub fall_multiple: f64,
    /// The share of its capacity with which a cache starts.
    pub start_capacity: f64,
    /// The warm-up time of caches.
    pub warm_up: Micros,
}

/// The layout of load reports.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Report {
    /// Names of the values of a load report, in order.
    pub fields: Vec<String>,
}
