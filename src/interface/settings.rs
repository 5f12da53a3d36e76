//! The settings of the routing policies: request classes, zones and limits.

use super::{Locality, Micros};

/// The set of caches that together drop duplicates of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// All caches.
    All,
    /// The caches of one zone.
    Zone,
    /// The caches of one cell.
    Cell,
}

impl DeduplicationGroup {
    /// Whether members at these localities drop each other's duplicates. Two zones that the settings do not name may
    /// differ.
    pub fn contains_both(self, one: Locality, other: Locality) -> bool {
        match self {
            DeduplicationGroup::All => true,
            DeduplicationGroup::Zone => one.zone.is_some() && one.zone == other.zone,
            DeduplicationGroup::Cell => one.cell == other.cell,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request has an idempotency key: the caches of a group drop duplicates for a time after the first attempt.
    Keyed {
        /// The caches that drop duplicates.
        group: DeduplicationGroup,
        /// How long after the first attempt duplicates are dropped.
        window: Micros,
    },
    /// The request must not run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether the client may safely retry a request that may have run.
    pub fn client_may_retry(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { group: DeduplicationGroup::All, .. })
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class in the settings.
    pub name: String,
    /// The latency objective without the sending time: an answer within `latency_objective + objective_stretch x
    /// sending time of the answer` counts with the full priority weight.
    pub latency_objective: Micros,
    /// Multiple of the answer's sending time that is added to the latency objective.
    pub objective_stretch: f64,
    /// Weight of an answer within the latency objective, relative to answers of other classes.
    pub priority_weight: f64,
    /// Share of the priority weight with which an answer after the latency objective counts.
    pub late_weight_share: f64,
    /// Whether requests of this class may run more than once.
    pub idempotency: Idempotency,
    /// How long a copy stays fresh; `None`: until it is purged.
    pub fresh: Option<Micros>,
    /// Whether requests of this class run at the origin and leave no cached copy.
    pub uncacheable: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
}

/// A zone: a location with caches and gateways, or a hub with parents.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Number of gateways that serve this zone.
    pub routers: u32,
}

/// The slow-start rule: how much a newly started member may be sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRule {
    /// Minimum share of its capacity that a member has when it starts.
    pub floor: f64,
    /// Longest duration of the warm-up, after which a member has its full capacity.
    pub warm_up: Micros,
    /// Multiple of its current capacity that a member can be sent without failing.
    pub multiple: f64,
    /// How long a member can be sent more than `multiple` allows without failing.
    pub window: Micros,
}

impl SlowStartRule {
    /// Minimum share of its capacity that a member has at the given time since its start.
    pub fn share(self, age: Micros) -> f64 {
        if age >= self.warm_up {
            return 1.0;
        }
        self.floor + (1.0 - self.floor) * age as f64 / self.warm_up as f64
    }
}

/// The settings of a router. They stay the same until they are replaced as a whole.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches of a deployment, not the states of one machine"
)]
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Zones, by index.
    pub zones: Vec<Zone>,
    /// This gateway's own zone, as an index into `zones`.
    pub zone: usize,
    /// Number of gateways in all zones.
    pub routers: u32,
    /// Maximum rate of one transfer to a client, in KB per second.
    pub pace_kb_per_s: f64,
    /// Whether member weights state the capacity of a member's link, in transfers at the maximum rate.
    pub weights_are_capacities: bool,
    /// Whether hedged requests are allowed: a second attempt while the first is in flight.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Longest Retry-After that clients obey; `None`: they obey none.
    pub max_backoff: Option<Micros>,
    /// Whether requests may be sent directly to a parent or the origin.
    pub direct_requests: bool,
    /// Whether caches let a request join a fill in progress.
    pub joins_fills: bool,
    /// Whether other caches of the location may be fill sources, from their cached copies only.
    pub sibling_fills: bool,
    /// The slow-start rule for caches.
    pub cache_slow_start: SlowStartRule,
    /// The slow-start rule for parents.
    pub parent_slow_start: SlowStartRule,
    /// Time after a purge by which all older copies are gone.
    pub purge_propagation: Micros,
    /// Shortest interval between two ticks.
    pub tick: Micros,
}
