//! Carries out what the schedule says.

use super::micros;
use crate::harness::context::RunContext;
use crate::harness::event_bus::{EventBus, Member, MemberState};
use crate::harness::fleet::Fleet;
use crate::harness::operator::{Operator, Order};
use crate::harness::store_servers::StoreServers;
use crate::participant::ParticipantId;
use crate::process_state::ActiveProcessFaults;
use crate::schedule::{FaultAction, FaultTransition, Schedule};
use crate::system_faults::{ActiveSystemFaults, SystemFault};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// The event bus tells of a store's death after this, as what watches over stores needs some time.
const DEATH_NOTICE_DELAY: Duration = Duration::from_millis(700);
/// A store that failed under its load starts again after this.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// The faults in force on each participant, by their numbers in the schedule.
#[derive(Default)]
struct ActiveFaults {
    by_target: HashMap<ParticipantId, BTreeSet<usize>>,
}

impl ActiveFaults {
    fn begin(&mut self, number: usize, target: ParticipantId) {
        self.by_target.entry(target).or_default().insert(number);
    }

    /// Says whether no other one is left on the target.
    fn end(&mut self, number: usize, target: ParticipantId) -> bool {
        let active = self.by_target.entry(target).or_default();
        active.remove(&number);
        active.is_empty()
    }

    fn has(&self, target: ParticipantId) -> bool {
        self.by_target.get(&target).is_some_and(|active| !active.is_empty())
    }
}

/// Carries out what the schedule says.
pub(super) struct FaultInjector {
    pub(super) fleet: Fleet,
    /// Why plans of system faults could not be put in service.
    pub(super) failures: Vec<String>,
    context: RunContext,
    stores: Arc<StoreServers>,
    bus: Arc<EventBus>,
    operator: Operator,
    process_faults: HashMap<ParticipantId, ActiveProcessFaults>,
    system_faults: HashMap<ParticipantId, ActiveSystemFaults>,
    crashes: ActiveFaults,
    drains: ActiveFaults,
}

impl FaultInjector {
    pub(super) fn new(
        stores: Arc<StoreServers>,
        bus: Arc<EventBus>,
        fleet: Fleet,
        context: RunContext,
    ) -> FaultInjector {
        FaultInjector {
            fleet,
            failures: Vec::new(),
            operator: Operator::new(context.clone()),
            context,
            stores,
            bus,
            process_faults: HashMap::new(),
            system_faults: HashMap::new(),
            crashes: ActiveFaults::default(),
            drains: ActiveFaults::default(),
        }
    }

    /// Begins or ends a fault.
    pub(super) fn apply(&mut self, schedule: &Schedule, transition: FaultTransition) {
        let FaultTransition { number, begins, .. } = transition;
        match &schedule.planned[number].action {
            FaultAction::Link(fault) if begins => self.context.relay.begin_fault(number, fault.clone()),
            FaultAction::Link(_) => self.context.relay.end_fault(number),
            FaultAction::Process { target, fault } => {
                let faults = self.process_faults.entry(*target).or_default();
                let actions = if begins { faults.begin(number, *fault) } else { faults.end(number) };
                self.fleet.act(*target, actions);
            }
            FaultAction::Crash { target } if begins => self.begin_crash(number, *target),
            FaultAction::Crash { target } => self.end_crash(number, *target),
            FaultAction::Drain { target } if begins => self.begin_drain(number, *target),
            FaultAction::Drain { target } => self.end_drain(number, *target),
            FaultAction::LateBus { target, by } if begins => {
                self.bus.begin_delay(number, *target, micros(*by));
            }
            FaultAction::LateBus { .. } => self.bus.end_delay(number),
            FaultAction::System { target, fault } => self.system_fault(number, *target, *fault, begins),
            FaultAction::Suspend { target, store } => {
                let order = if begins { Order::Suspend } else { Order::Resume };
                self.operator.order(*target, *store, order);
            }
            FaultAction::Purge { group } => {
                self.stores.purge(*group);
                self.bus.purge(*group);
            }
        }
    }

    fn begin_crash(&mut self, number: usize, store: ParticipantId) {
        self.crashes.begin(number, store);
        self.stores.crash(store);
        self.announce_death(store);
    }

    fn end_crash(&mut self, number: usize, store: ParticipantId) {
        if self.crashes.end(number, store) {
            restart(&self.stores, &self.bus, &self.context, store);
        }
    }

    fn begin_drain(&mut self, number: usize, store: ParticipantId) {
        self.drains.begin(number, store);
        let started = self.bus.member(store).and_then(|member| member.started);
        self.bus.set_member(store, MemberState::Draining, started);
    }

    fn end_drain(&mut self, number: usize, store: ParticipantId) {
        if self.drains.end(number, store)
            && let Some(Member { state: MemberState::Draining, started }) = self.bus.member(store)
        {
            self.bus.set_member(store, MemberState::Up, started);
        }
    }

    fn system_fault(&mut self, number: usize, gateway: ParticipantId, fault: SystemFault, begins: bool) {
        let faults = self.system_faults.entry(gateway).or_default();
        if begins {
            faults.begin(number, fault);
        } else {
            faults.end(number);
        }
        if let Err(e) = self.fleet.set_system_faults(gateway, faults) {
            self.failures.push(e.to_string());
        }
    }

    /// Has the event bus tell of a store's death a little later, unless it is there again by then.
    fn announce_death(&self, store: ParticipantId) {
        let (bus, stores) = (self.bus.clone(), self.stores.clone());
        tokio::spawn(async move {
            tokio::time::sleep(DEATH_NOTICE_DELAY).await;
            if !stores.is_alive(store) {
                bus.set_member(store, MemberState::Removed, None);
            }
        });
    }

    /// A store failed under its load: it is told as any that dies, and starts again where no fault keeps it down.
    pub(super) fn store_failed(&self, store: ParticipantId) {
        self.announce_death(store);
        if self.crashes.has(store) {
            return;
        }
        let (bus, stores, context) = (self.bus.clone(), self.stores.clone(), self.context.clone());
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_DELAY).await;
            restart(&stores, &bus, &context, store);
        });
    }
}

/// Starts a store that is dead, and has the event bus tell of it.
fn restart(stores: &StoreServers, bus: &EventBus, context: &RunContext, store: ParticipantId) {
    if stores.restart(store) {
        bus.set_member(store, MemberState::Up, Some(context.relay.now()));
    }
}
