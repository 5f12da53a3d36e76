//! The schedule of a run: every fault with its begin, end and targets, drawn from a scenario by a seed
//! before anything starts.

mod description;

use crate::link_condition::{LinkFault, ScopedLinkFault};
use crate::participant::ParticipantId;
use crate::scenario::{FaultKind, FaultSpec, LinkFaultKind, ProcessFault, Scenario, SystemFaultKind};
use crate::system_faults::SystemFault;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

/// What is done, with nothing left to chance but single chunks and datagrams.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Something happens to the bytes of links.
    Link(ScopedLinkFault),
    /// A process gets a signal.
    Process {
        /// Whose process.
        target: ParticipantId,
        /// Which signal.
        fault: ProcessFault,
    },
    /// A cache or parent dies.
    Crash {
        /// Which one.
        target: ParticipantId,
    },
    /// A cache or parent drains.
    Drain {
        /// Which one.
        target: ParticipantId,
    },
    /// A gateway hears later of what is published on the event bus.
    LateBus {
        /// Which one.
        target: ParticipantId,
        /// By how much.
        by: Duration,
    },
    /// Copies of a group of objects are void.
    Purge {
        /// Which group.
        group: u8,
    },
    /// System calls of a gateway fail, or its wall clock is stepped.
    System {
        /// Which one.
        target: ParticipantId,
        /// What fails.
        fault: SystemFault,
    },
    /// An operator suspends a store at a gateway.
    Suspend {
        /// At which gateway.
        target: ParticipantId,
        /// Which store.
        store: ParticipantId,
    },
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Its place in the schedule; begins and ends are told by it.
    pub number: usize,
    /// The place of its phase.
    pub phase: usize,
    /// From the run's begin.
    pub begins: Duration,
    /// Never before the begin.
    pub ends: Duration,
    /// What is done.
    pub action: FaultAction,
}

/// A moment at which something begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTransition {
    /// From the load's begin.
    pub at: Duration,
    /// The fault's place in the schedule.
    pub number: usize,
    /// Whether it begins.
    pub begins: bool,
}

/// All faults of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// In the order of the scenario.
    pub planned: Vec<ScheduledFault>,
}

fn pick_some(
    candidates: &BTreeSet<ParticipantId>,
    pick: Option<usize>,
    random: &mut impl Rng,
) -> BTreeSet<ParticipantId> {
    let all: Vec<ParticipantId> = candidates.iter().copied().collect();
    match pick {
        Some(pick) => all.choose_multiple(random, pick).copied().collect(),
        None => all.into_iter().collect(),
    }
}

fn link_fault(kind: &LinkFaultKind, random: &mut impl Rng) -> LinkFault {
    match kind {
        LinkFaultKind::Cut => LinkFault::Cut,
        LinkFaultKind::Silence => LinkFault::Silence,
        LinkFaultKind::Reset => LinkFault::Reset,
        LinkFaultKind::Stall => LinkFault::Stall,
        LinkFaultKind::Delay { by, jitter } => {
            LinkFault::Delay { by: by.draw(random), jitter: jitter.draw(random) }
        }
        LinkFaultKind::Rate(range) => LinkFault::Rate(range.draw(random)),
        LinkFaultKind::Corrupt(range) => LinkFault::Corrupt(range.draw(random)),
        LinkFaultKind::Loss(range) => LinkFault::Loss(range.draw(random)),
        LinkFaultKind::Duplicate(range) => LinkFault::Duplicate(range.draw(random)),
        LinkFaultKind::Reorder(range) => LinkFault::Reorder(range.draw(random)),
    }
}

fn system_fault(kind: &SystemFaultKind, random: &mut impl Rng) -> SystemFault {
    match kind {
        SystemFaultKind::ClockStep { by, back } => {
            let micros = by.draw(random).as_micros() as i64;
            SystemFault::ClockStep(if *back { -micros } else { micros })
        }
        SystemFaultKind::CallErrors(rate) => SystemFault::CallErrors(rate.draw(random)),
        SystemFaultKind::DiskErrors(rate) => SystemFault::DiskErrors(rate.draw(random)),
    }
}

/// What one entry does, once its targets have been drawn.
fn actions(spec: &FaultSpec, random: &mut impl Rng) -> Vec<FaultAction> {
    let each = |who: &BTreeSet<ParticipantId>,
                random: &mut Pcg64Mcg,
                action: &dyn Fn(ParticipantId) -> FaultAction| {
        pick_some(who, spec.pick, random).into_iter().map(action).collect()
    };
    // A generator of its own, so that one more draw in one entry moves no other.
    let mut own = Pcg64Mcg::seed_from_u64(random.random());
    match &spec.what {
        FaultKind::Link { from, to, both, kind } => {
            let from = pick_some(from, spec.pick, &mut own);
            let fault = link_fault(kind, &mut own);
            vec![FaultAction::Link(ScopedLinkFault { from, to: to.clone(), both: *both, fault })]
        }
        FaultKind::Process { who, fault } => {
            each(who, &mut own, &|target| FaultAction::Process { target, fault: *fault })
        }
        FaultKind::Crash { who } => each(who, &mut own, &|target| FaultAction::Crash { target }),
        FaultKind::Drain { who } => each(who, &mut own, &|target| FaultAction::Drain { target }),
        FaultKind::LateBus { who, by } => {
            let by = by.draw(&mut own);
            each(who, &mut own, &|target| FaultAction::LateBus { target, by })
        }
        FaultKind::System { who, kind } => {
            let fault = system_fault(kind, &mut own);
            each(who, &mut own, &|target| FaultAction::System { target, fault })
        }
        FaultKind::Suspend { who, stores } => {
            let gateways = pick_some(who, spec.pick, &mut own);
            let suspend =
                |target| stores.iter().map(move |store| FaultAction::Suspend { target, store: *store });
            gateways.into_iter().flat_map(suspend).collect()
        }
        FaultKind::Purge { group } => {
            vec![FaultAction::Purge { group: group.unwrap_or_else(|| own.random()) }]
        }
    }
}

impl Schedule {
    /// Draws all that a scenario leaves open.
    pub fn draw(scenario: &Scenario, seed: u64) -> Schedule {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut planned, mut phase_begins) = (Vec::new(), Duration::ZERO);
        for (place, phase) in scenario.phases.iter().enumerate() {
            let phase_ends = phase_begins + phase.lasts;
            for spec in &phase.faults {
                for _ in 0..spec.times {
                    let mut own = Pcg64Mcg::seed_from_u64(random.random());
                    let begins = phase_begins + spec.at.draw(&mut own);
                    let lasts = spec.lasts.map(|lasts| lasts.draw(&mut own));
                    let ends = lasts.map_or(phase_ends, |lasts| begins + lasts).max(begins);
                    for action in actions(spec, &mut own) {
                        planned.push(ScheduledFault {
                            number: planned.len(),
                            phase: place,
                            begins,
                            ends,
                            action,
                        });
                    }
                }
            }
            phase_begins = phase_ends;
        }
        Schedule { planned }
    }

    /// All begins and ends in order; what ends goes before what begins at the same moment.
    pub fn transitions(&self) -> Vec<FaultTransition> {
        let both = |plan: &ScheduledFault| {
            let transition = |at, begins| FaultTransition { at, number: plan.number, begins };
            let lasts = !matches!(
                plan.action,
                FaultAction::Purge { .. } | FaultAction::Process { fault: ProcessFault::Hup, .. }
            );
            [Some(transition(plan.begins, true)), lasts.then(|| transition(plan.ends, false))]
        };
        let mut transitions: Vec<FaultTransition> = self.planned.iter().flat_map(both).flatten().collect();
        // An end goes before other begins of its moment, but never before its own begin.
        let empty = |transition: &FaultTransition| {
            self.planned[transition.number].begins == self.planned[transition.number].ends
        };
        transitions.sort_by_key(|transition| {
            (transition.at, !transition.begins && empty(transition), transition.begins, transition.number)
        });
        transitions
    }
}

#[cfg(test)]
mod tests;
