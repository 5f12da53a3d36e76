//! What each role of a fleet costs, and how that grows with the fleet's size. No I/O.

use super::observation::Traffic;
use super::scenario::Targets;
use super::usage::Usage;
use crate::fit::{self, Line};
use serde::Serialize;
use std::collections::BTreeMap;

const MICROS_PER_SECOND: f64 = 1e6;
const KB_PER_MB: f64 = 1_024.0;
const BYTES_PER_KB: f64 = 1_000.0;

/// A part of the run. Costs of gateways are of one gateway, those of the others of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The control side of a gateway, in a process with others.
    HollowGateway,
    /// A gateway in a process of its own.
    RealGateway,
    /// The event bus.
    Bus,
    /// A relay.
    Relay,
    /// A host process with no gateways, which is subtracted from the hollow gateways' cost.
    EmptyHost,
    /// The laboratory's own process.
    Laboratory,
}

impl Role {
    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Role::HollowGateway => "hollow gateway",
            Role::RealGateway => "real gateway",
            Role::Bus => "event bus",
            Role::Relay => "relay",
            Role::EmptyHost => "empty host",
            Role::Laboratory => "laboratory",
        }
    }

    /// Whether the targets of a gateway apply to it.
    pub fn is_gateway(self) -> bool {
        matches!(self, Role::HollowGateway | Role::RealGateway)
    }
}

/// Processor time, memory and wake-ups over a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Rates {
    /// A share of one core.
    pub core: f64,
    /// Resident memory.
    pub memory_mb: f64,
    /// Voluntary context switches.
    pub wake_ups_per_second: f64,
}

impl Rates {
    /// Between two readings of one process. `None`: no time lies between them.
    pub fn between(first: &Usage, last: &Usage) -> Option<Rates> {
        let micros = last.at_us.checked_sub(first.at_us).filter(|micros| *micros > 0)? as f64;
        let busy = last.processor_us.saturating_sub(first.processor_us) as f64;
        let wake_ups = last.wake_ups.saturating_sub(first.wake_ups) as f64;
        Some(Rates {
            core: busy / micros,
            memory_mb: last.resident_kb as f64 / KB_PER_MB,
            wake_ups_per_second: wake_ups * MICROS_PER_SECOND / micros,
        })
    }

    fn combine(&self, other: &Rates, with: impl Fn(f64, f64) -> f64) -> Rates {
        Rates {
            core: with(self.core, other.core),
            memory_mb: with(self.memory_mb, other.memory_mb),
            wake_ups_per_second: with(self.wake_ups_per_second, other.wake_ups_per_second),
        }
    }

    /// The sum of both.
    #[must_use]
    pub fn plus(&self, other: &Rates) -> Rates {
        self.combine(other, |one, two| one + two)
    }

    /// Less the other, as often as `times` says.
    #[must_use]
    pub fn minus(&self, other: &Rates, times: f64) -> Rates {
        self.combine(other, |one, two| one - two * times)
    }

    /// Divided by a number.
    #[must_use]
    pub fn divided(&self, by: f64) -> Rates {
        self.combine(self, |one, _| one / by)
    }
}

/// What one instance of a role costs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// The role.
    pub role: Role,
    /// How many instances the costs are the mean of.
    pub count: usize,
    /// Processor time, memory and wake-ups.
    pub rates: Rates,
    /// Both ways, with TCP and IP headers. `None`: not measured for this role.
    pub traffic_kb_per_second: Option<f64>,
    /// Requests and answers. `None`: not measured for this role.
    pub messages_per_second: Option<f64>,
}

impl Cost {
    /// A cost without traffic.
    pub fn of(role: Role, count: usize, rates: Rates) -> Cost {
        Cost { role, count, rates, traffic_kb_per_second: None, messages_per_second: None }
    }

    /// With the traffic of all instances in so many seconds.
    #[must_use]
    pub fn with_traffic(self, traffic: &Traffic, seconds: f64) -> Cost {
        let each = |sum: u64| sum as f64 / seconds / self.count.max(1) as f64;
        Cost {
            traffic_kb_per_second: Some(each(traffic.wire_bytes()) / BYTES_PER_KB),
            messages_per_second: Some(each(traffic.requests + traffic.answers)),
            ..self
        }
    }

    /// The targets of a gateway that it exceeds.
    pub fn exceeded(&self, targets: &Targets) -> Vec<&'static str> {
        if !self.role.is_gateway() {
            return Vec::new();
        }
        let traffic = self.traffic_kb_per_second.unwrap_or(0.0);
        let checks = [
            ("core", self.rates.core > targets.core),
            ("memory", self.rates.memory_mb > targets.memory_mb),
            ("traffic", traffic > targets.traffic_kb),
        ];
        checks.iter().filter(|(_, exceeded)| *exceeded).map(|(name, _)| *name).collect()
    }

    fn figures(&self) -> Vec<(&'static str, f64)> {
        let mut figures = vec![
            ("core", self.rates.core),
            ("memory-mb", self.rates.memory_mb),
            ("wake-ups-per-s", self.rates.wake_ups_per_second),
        ];
        figures.extend(self.traffic_kb_per_second.map(|value| ("kb-per-s", value)));
        figures.extend(self.messages_per_second.map(|value| ("messages-per-s", value)));
        figures
    }
}

/// What events cost hollow and real gateways.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The share of a core beyond that of a hollow gateway without events.
    pub hollow_core: f64,
    /// The same of a real gateway.
    pub real_core: f64,
    /// Traffic of a hollow gateway, both ways.
    pub hollow_kb_per_second: f64,
    /// Traffic of a real gateway, both ways.
    pub real_kb_per_second: f64,
}

/// The relative difference up to which two figures are similar.
const TOLERANCE: f64 = 0.2;

fn is_similar(one: f64, other: f64) -> bool {
    (one - other).abs() <= TOLERANCE * other.abs()
}

impl Comparison {
    /// From costs without events and with them. `None`: one of the roles was not measured.
    pub fn between(idle: &[Cost], busy: &[Cost]) -> Option<Comparison> {
        let of = |costs: &[Cost], role| costs.iter().find(|cost| cost.role == role).cloned();
        let events = |role| Some(of(busy, role)?.rates.core - of(idle, role)?.rates.core);
        let traffic = |role| of(busy, role)?.traffic_kb_per_second;
        Some(Comparison {
            hollow_core: events(Role::HollowGateway)?,
            real_core: events(Role::RealGateway)?,
            hollow_kb_per_second: traffic(Role::HollowGateway)?,
            real_kb_per_second: traffic(Role::RealGateway)?,
        })
    }

    /// Whether the traffic of a hollow gateway is similar to that of a real one.
    pub fn traffic_is_similar(&self) -> bool {
        is_similar(self.hollow_kb_per_second, self.real_kb_per_second)
    }

    /// Whether the processor time is. Hollow gateways of one process share its wake-ups, real ones share nothing.
    pub fn core_is_similar(&self) -> bool {
        is_similar(self.hollow_core, self.real_core)
    }
}

/// How one figure of a role grows with the number of gateways.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Growth {
    /// The role.
    pub role: Role,
    /// The figure's name.
    pub figure: &'static str,
    /// The fitted line.
    pub line: Line,
}

/// Fits a line to each figure of each role over the sizes.
pub fn growth(sizes: &[(usize, Vec<Cost>)]) -> Vec<Growth> {
    let mut points: BTreeMap<(Role, &'static str), Vec<(f64, f64)>> = BTreeMap::new();
    for (gateways, costs) in sizes {
        for cost in costs {
            for (figure, value) in cost.figures() {
                points.entry((cost.role, figure)).or_default().push((*gateways as f64, value));
            }
        }
    }
    let fitted = |((role, figure), points): ((Role, &'static str), Vec<(f64, f64)>)| {
        fit::line(&points).map(|line| Growth { role, figure, line })
    };
    points.into_iter().filter_map(fitted).collect()
}

#[cfg(test)]
mod tests;
