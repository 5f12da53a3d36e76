//! What each role of a fleet costs, and how that grows with the fleet's size. Pure.

use super::observation::Traffic;
use super::scenario::Need;
use super::usage::Usage;
use crate::fit::{self, Line};
use serde::Serialize;
use std::collections::BTreeMap;

const MICROS_PER_SECOND: f64 = 1e6;
const KB_PER_MB: f64 = 1_024.0;
const BYTES_PER_KB: f64 = 1_000.0;

/// Who takes part. Costs of gateways are of one gateway, those of the others of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    HollowGateway,
    RealGateway,
    Bus,
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

    /// Whether the need for a gateway is held against it.
    pub fn is_gateway(self) -> bool {
        matches!(self, Role::HollowGateway | Role::RealGateway)
    }
}

/// Processor time, memory and wake-ups over a stretch of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Rates {
    /// A share of one core.
    pub core: f64,
    pub memory_mb: f64,
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

    /// Both together.
    pub fn plus(&self, other: &Rates) -> Rates {
        self.combine(other, |one, two| one + two)
    }

    /// Without so many times the other.
    pub fn minus(&self, other: &Rates, times: f64) -> Rates {
        self.combine(other, |one, two| one - two * times)
    }

    /// A part of it.
    pub fn divided(&self, by: f64) -> Rates {
        self.combine(self, |one, _| one / by)
    }
}

/// What one of a role costs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cost {
    pub role: Role,
    /// How many the costs are the mean of.
    pub count: usize,
    pub rates: Rates,
    /// Both ways, with TCP and IP headers. `None`: not measured at this role.
    pub traffic_kb_per_second: Option<f64>,
    pub messages_per_second: Option<f64>,
}

impl Cost {
    /// A cost without traffic.
    pub fn of(role: Role, count: usize, rates: Rates) -> Cost {
        Cost { role, count, rates, traffic_kb_per_second: None, messages_per_second: None }
    }

    /// With the traffic of all of them in so many seconds.
    pub fn with_traffic(self, traffic: &Traffic, seconds: f64) -> Cost {
        let each = |sum: u64| sum as f64 / seconds / self.count.max(1) as f64;
        Cost {
            traffic_kb_per_second: Some(each(traffic.wire_bytes()) / BYTES_PER_KB),
            messages_per_second: Some(each(traffic.requests + traffic.answers)),
            ..self
        }
    }

    /// What of it is over what a gateway may cost.
    pub fn over(&self, need: &Need) -> Vec<&'static str> {
        if !self.role.is_gateway() {
            return Vec::new();
        }
        let traffic = self.traffic_kb_per_second.unwrap_or(0.0);
        let held = [
            ("core", self.rates.core > need.core),
            ("memory", self.rates.memory_mb > need.memory_mb),
            ("traffic", traffic > need.traffic_kb),
        ];
        held.iter().filter(|(_, over)| *over).map(|(name, _)| *name).collect()
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

/// What events cost hollow and real gateways, next to one another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Of a core, beyond what a gateway takes without events.
    pub hollow_core: f64,
    pub real_core: f64,
    pub hollow_kb_per_second: f64,
    pub real_kb_per_second: f64,
}

/// By how much two figures may differ and still stand for one another.
const ALIKE: f64 = 0.2;

fn alike(one: f64, other: f64) -> bool {
    (one - other).abs() <= ALIKE * other.abs()
}

impl Comparison {
    /// From costs without events and with them. `None`: one of the roles was not measured.
    pub fn between(quiet: &[Cost], busy: &[Cost]) -> Option<Comparison> {
        let of = |costs: &[Cost], role| costs.iter().find(|cost| cost.role == role).cloned();
        let events = |role| Some(of(busy, role)?.rates.core - of(quiet, role)?.rates.core);
        let traffic = |role| of(busy, role)?.traffic_kb_per_second;
        Some(Comparison {
            hollow_core: events(Role::HollowGateway)?,
            real_core: events(Role::RealGateway)?,
            hollow_kb_per_second: traffic(Role::HollowGateway)?,
            real_kb_per_second: traffic(Role::RealGateway)?,
        })
    }

    /// Whether the traffic of a hollow gateway stands for that of a real one.
    pub fn traffic_alike(&self) -> bool {
        alike(self.hollow_kb_per_second, self.real_kb_per_second)
    }

    /// The same of processor time. Hollow gateways of one process share its wake-ups, real ones share nothing.
    pub fn core_alike(&self) -> bool {
        alike(self.hollow_core, self.real_core)
    }
}

/// How one figure of a role grows with the number of gateways.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Growth {
    pub role: Role,
    pub figure: &'static str,
    pub line: Line,
}

/// Fits each figure of each role over the sizes.
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
