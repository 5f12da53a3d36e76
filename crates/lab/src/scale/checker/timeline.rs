//! The input of the checker: purges, processes of gateways, and the phases of a run.

use std::collections::BTreeSet;

/// Unix time in microseconds.
pub type Micros = u64;

/// The name of the phase without faults.
pub const CALM: &str = "calm";

/// A purge, as the event bus has numbered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Its number among the events of the bus.
    pub offset: u64,
    /// When the bus issued it.
    pub issued: Micros,
}

/// All events up to `offset` were applied at `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedOffset {
    /// The last event that was applied.
    pub offset: u64,
    /// When it was applied.
    pub at: Micros,
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan {
    /// Its begin.
    pub from: Micros,
    /// Its end.
    pub until: Micros,
}

/// One process of a gateway, while it serves.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLifetime {
    /// The gateway's number in the fleet; its later processes have the same one.
    pub gateway: usize,
    /// From when it serves until it no longer does.
    pub serving: TimeSpan,
    /// What it applied, in increasing order of both fields.
    pub applied: Vec<AppliedOffset>,
    /// When its freshness lease had expired.
    pub stale: Vec<TimeSpan>,
}

/// A part of the run that is checked by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Phase {
    /// [`CALM`] or the fault's name.
    pub name: String,
    /// Purges that were issued in this span belong to the phase.
    pub issued: TimeSpan,
    /// Gateways that the phase's fault affects.
    pub affected: BTreeSet<usize>,
}

/// A fault that was injected into the run.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// Its name in the scenario.
    pub name: String,
    /// When it began.
    pub from: Micros,
    /// Gateways that it affects.
    pub gateways: BTreeSet<usize>,
}

/// The phases of a run: a calm one, and one for each fault up to the next one, in their order. A purge that was issued
/// within the bound before a fault may still be on its way as the fault begins, and so belongs to the fault's phase.
pub fn phases(calm_from: Micros, faults: &[InjectedFault], until: Micros, bound: u64) -> Vec<Phase> {
    let begins: Vec<Micros> = faults.iter().map(|fault| fault.from.saturating_sub(bound)).collect();
    let begin_of = |index: usize| begins.get(index).copied().unwrap_or(until);
    let calm = Phase {
        name: CALM.into(),
        issued: TimeSpan { from: calm_from, until: begin_of(0) },
        affected: BTreeSet::new(),
    };
    let of_fault = |(index, fault): (usize, &InjectedFault)| Phase {
        name: fault.name.clone(),
        issued: TimeSpan { from: begin_of(index), until: begin_of(index + 1) },
        affected: fault.gateways.clone(),
    };
    std::iter::once(calm).chain(faults.iter().enumerate().map(of_fault)).collect()
}
