//! The budget at the origin, whatever gateways log.

use super::budgets::{RULE, exceeded, max_in_window};
use crate::check::rule::{Rule, RuleContext, Violations};
use crate::participant::ParticipantId;
use crate::scenario::Shared;
use crate::trace::{EventKind, Micros, TraceEvent};
use std::collections::HashSet;

/// The budget that bounds further attempts at the origin.
const BUDGET: &str = "origin";

/// Further attempts that arrive at the origin: no more in any window than the budget allows.
pub struct OriginBudget {
    origin: ParticipantId,
    amount: u64,
    window: Micros,
    overdraft: u64,
    /// Requests of which an attempt has arrived.
    requests: HashSet<u64>,
    /// When further attempts were sent.
    sent: Vec<Micros>,
}

impl OriginBudget {
    /// Over all sites together. `None`: there is no such budget.
    pub fn new(shared: &Shared, origin: ParticipantId, sites: u64) -> Option<OriginBudget> {
        let budget = shared.budgets.iter().find(|budget| budget.name == BUDGET)?;
        let budgets = if budget.federated { 1 } else { sites };
        Some(OriginBudget {
            origin,
            amount: budget.amount * budgets,
            window: budget.window.as_micros() as Micros,
            overdraft: budget.overdraft,
            requests: HashSet::new(),
            sent: Vec::new(),
        })
    }
}

impl Rule for OriginBudget {
    fn name(&self) -> &'static str {
        RULE
    }

    fn observe(&mut self, seen: &TraceEvent, _: &RuleContext, _: &mut Violations) {
        if let EventKind::Arrived { id, store, sent, .. } = &seen.what
            && *store == self.origin
            && !self.requests.insert(*id)
        {
            self.sent.push(*sent);
        }
    }

    fn finish(&mut self, _: Micros, _: &RuleContext, violations: &mut Violations) {
        let spent = max_in_window(std::mem::take(&mut self.sent), self.window, self.amount);
        if let Some(text) = exceeded("further attempts at the origin", spent, self.overdraft) {
            violations.add_participant(self.origin, text);
        }
    }
}
