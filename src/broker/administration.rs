//! Administration of a running broker: drains, members out of service, new settings and upgrades.

use super::{Broker, Waiter};
use crate::Learned;
use crate::interface::{Event, MemberId, Micros, RetryBudget, Settings};

impl<W: Waiter> Broker<W> {
    /// Takes a member out of service for an operator. It counts as draining until it is returned to service.
    pub fn take_out_of_service(&mut self, now: Micros, member: MemberId) {
        self.router.handle(now, Event::OutOfService(member), &mut Vec::new());
    }

    /// Returns a member to service for an operator. It counts as started at the time `started`.
    pub fn return_to_service(&mut self, now: Micros, member: MemberId, started: Micros) {
        self.router.handle(now, Event::ReturnedToService { member, started }, &mut Vec::new());
    }

    /// Starts or ends draining the gateway. A drain in progress keeps its start time.
    pub fn set_draining(&mut self, now: Micros, draining: bool) {
        self.draining_since = draining.then(|| self.draining_since.unwrap_or(now));
    }

    /// When draining of the gateway started; `None`: it is not being drained.
    pub fn draining_since(&self) -> Option<Micros> {
        self.draining_since
    }

    /// The learned state of the policies, for the next process in an upgrade.
    pub fn learned(&self) -> &Learned {
        &self.router.learned
    }

    /// Resumes with the learned state of the previous process.
    pub fn take_over(&mut self, learned: Learned) {
        let settings = self.router.settings.clone();
        self.router.resume(learned, settings);
    }

    /// Replaces the settings. Classes keep their indices: a changed class is appended as a new one.
    pub fn replace_settings(&mut self, now: Micros, settings: Settings) {
        self.router.handle(now, Event::SettingsReplaced(settings), &mut Vec::new());
    }

    /// Sets the budget, shared among gateways, that pays for retries at the origin.
    pub fn set_shared_retry_budget(&mut self, budget: Box<dyn RetryBudget>) {
        self.router.shared_retry_budget.set(budget);
    }

    /// Sets the number of processes that serve as this gateway and split its slow-start budgets: two during an upgrade.
    pub fn set_process_count(&mut self, process_count: u8) {
        self.router.processes = f64::from(process_count);
    }
}
