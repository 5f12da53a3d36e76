//! The faults that were planned between two participants at a time, for rules that hold a gateway only to what it could
//! know.

use crate::link_condition::LinkFault;
use crate::participant::ParticipantId;
use crate::scenario::ProcessFault;
use crate::schedule::{FaultAction, Schedule, ScheduledFault};
use crate::trace::Micros;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Bytes that a link has lost or held come this much later, as TCP sends them again.
const RETRANSMISSION: Duration = Duration::from_millis(500);

/// All faults that were planned for a run.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    planned: Vec<ScheduledFault>,
    bus: Option<ParticipantId>,
    /// The schedule's begin on the trace's clock; no fault is in force before it is set.
    begins: Arc<OnceLock<Duration>>,
}

impl Faults {
    /// The faults of a schedule. `begins`: set to the schedule's begin on the trace's clock.
    pub fn new(schedule: &Schedule, bus: ParticipantId, begins: Arc<OnceLock<Duration>>) -> Faults {
        Faults { planned: schedule.planned.clone(), bus: Some(bus), begins }
    }

    fn between(&self, from: Micros, to: Micros) -> impl Iterator<Item = &ScheduledFault> {
        let (from, to) = (Duration::from_micros(from), Duration::from_micros(to));
        let begins = self.begins.get().copied();
        let planned = begins.map_or(&[][..], |_| &self.planned[..]).iter();
        let begins = begins.unwrap_or_default();
        planned.filter(move |plan| begins + plan.begins <= to && begins + plan.ends + RETRANSMISSION >= from)
    }

    fn link(
        &self,
        one: ParticipantId,
        other: ParticipantId,
        from: Micros,
        to: Micros,
    ) -> impl Iterator<Item = &LinkFault> {
        self.between(from, to).filter_map(move |plan| match &plan.action {
            FaultAction::Link(on) if on.applies_to(one, other) || on.applies_to(other, one) => {
                Some(&on.fault)
            }
            _ => None,
        })
    }

    /// Whether a fault was on the link between two participants in this time.
    pub fn on_link(&self, one: ParticipantId, other: ParticipantId, from: Micros, to: Micros) -> bool {
        self.link(one, other, from, to).next().is_some()
    }

    /// Whether what passed there may have been changed.
    pub fn corrupted(&self, one: ParticipantId, other: ParticipantId, from: Micros, to: Micros) -> bool {
        self.link(one, other, from, to).any(|fault| matches!(fault, LinkFault::Corrupt(_)))
    }

    /// Whether a process was killed or stopped in this time. SIGHUP excuses nothing.
    pub fn on_process(&self, process: ParticipantId, from: Micros, to: Micros) -> bool {
        self.between(from, to).any(|plan| match plan.action {
            FaultAction::Process { target, fault } => target == process && fault != ProcessFault::Hup,
            _ => false,
        })
    }

    /// Whether a fault was on the link between a gateway and the event bus.
    pub fn on_bus_link(&self, gateway: ParticipantId, from: Micros, to: Micros) -> bool {
        self.bus.is_some_and(|bus| self.on_link(gateway, bus, from, to))
    }

    /// By how much later a gateway is notified of events, where a fault delays its bus.
    pub fn bus_delay(&self, gateway: ParticipantId, from: Micros, to: Micros) -> Micros {
        let delay = |plan: &ScheduledFault| match plan.action {
            FaultAction::LateBus { target, by } if target == gateway => Some(by.as_micros() as Micros),
            _ => None,
        };
        self.between(from, to).filter_map(delay).max().unwrap_or(0)
    }
}
