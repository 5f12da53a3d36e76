//! A scenario: who takes part, what clients ask for, and what goes wrong in which phase. Read by the operators'
//! language, whole or not at all, with the place of each fault.

mod fault;
mod fault_reader;
mod reader;
mod shared;
#[cfg(test)]
mod tests;

use crate::participant::{ParticipantKind, Roster};
pub use fault::{FaultKind, FaultSpec, LinkFaultKind, ProcessFault, SystemFaultKind};
pub use reader::read;
pub use shared::{Shared, SharedBudget};
use std::time::Duration;

/// The site of parents, the origin and the event bus.
pub const HUB: &str = "hub";

/// A site with gateways and caches.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// How many gateways it has.
    pub gateways: usize,
    /// How many caches it has.
    pub stores: usize,
    /// There and back to what stands at the hub.
    pub distance: Duration,
}

/// What caches, parents and the origin are like.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Requests that a cache works on at a time.
    pub slots: usize,
    /// Requests that wait at a cache for a slot.
    pub room: usize,
    /// The mean work of a request at a cache.
    pub service: Duration,
    /// KB a second of a cache's link.
    pub link: f64,
    /// Parts of objects that a cache keeps.
    pub copies: usize,
    /// Requests that a parent works on at a time.
    pub parent_slots: usize,
    /// Requests that the origin works on at a time.
    pub origin_slots: usize,
    /// The mean work of a request at the origin.
    pub origin_service: Duration,
    /// Requests a second that the origin takes.
    pub origin_rate: f64,
    /// How long a cache warms up once it has started.
    pub warm_up: Duration,
    /// The share of its capacity that a cache has as it starts.
    pub cold_from: f64,
}

/// What clients ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Requests a second, all sites together.
    pub rate: f64,
    /// Objects that are asked for again.
    pub objects: usize,
    /// The exponent of Zipf's law, by which objects are wanted.
    pub skew: f64,
    /// The share of requests for objects that nobody asks for again.
    pub once: f64,
    /// Parts of an object.
    pub parts: usize,
    /// How long the most wanted objects stay the same.
    pub drift: Duration,
    /// The share of requests that carry an idempotency key.
    pub writes: f64,
    /// The share of requests that must not run twice.
    pub payments: f64,
    /// Bytes of a part.
    pub size: usize,
    /// How long a client waits.
    pub patience: Duration,
    /// Tries of a client, the first included.
    pub tries: usize,
}

/// What must hold of the requests that come in a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expect {
    /// The share that is served, at least.
    pub served: Option<f64>,
    /// The share that fails, at most.
    pub failed: Option<f64>,
    /// When 99 of 100 answers are there.
    pub within: Option<Duration>,
}

/// A part of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// How long it lasts.
    pub lasts: Duration,
    /// What goes wrong in it.
    pub faults: Vec<FaultSpec>,
    /// What must hold all the same.
    pub expect: Expect,
}

/// A scenario, as it was read.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What the gateways share, if anything.
    pub shared: Option<Shared>,
    /// All sites but the hub.
    pub sites: Vec<Site>,
    /// How many parents stand at the hub.
    pub parents: usize,
    /// All participants.
    pub roster: Roster,
    /// What stores are like.
    pub model: Model,
    /// What clients ask for.
    pub load: Load,
    /// One after the other.
    pub phases: Vec<Phase>,
}

impl Scenario {
    /// How long all phases take.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(|phase| phase.lasts).sum()
    }

    /// How many gateways take part.
    pub fn gateways(&self) -> usize {
        self.roster.of(ParticipantKind::Gateway).count()
    }

    fn has_fault(&self, matches: impl Fn(&FaultKind) -> bool) -> bool {
        self.phases.iter().flat_map(|phase| &phase.faults).any(|fault| matches(&fault.what))
    }

    /// Whether gateways run under the fault shim.
    pub fn has_system_faults(&self) -> bool {
        self.has_fault(|what| matches!(what, FaultKind::System { .. }))
    }

    /// Whether an operator calls gateways.
    pub fn has_operator(&self) -> bool {
        self.has_fault(|what| matches!(what, FaultKind::Suspend { .. }))
    }
}
