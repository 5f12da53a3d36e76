//! Budgets hold in each window.

use super::event::{Action, LoggedEvent};
use crate::check::finding::Finding;
use crate::scenario::Shared;
use std::collections::BTreeMap;

/// The rule's name in reports.
pub(super) const RULE: &str = "budget";
const PERCENT: f64 = 100.0;

/// The most calls in any window, as a share of the amount.
pub(super) fn max_in_window(mut times: Vec<u64>, window: u64, amount: u64) -> f64 {
    times.sort_unstable();
    let (mut first, mut max) = (0, 0);
    for (last, time) in times.iter().enumerate() {
        while times[first] + window <= *time {
            first += 1;
        }
        max = max.max(last + 1 - first);
    }
    max as f64 / amount.max(1) as f64
}

/// The text of a budget that was exceeded by more than its overdraft, in percent.
pub(super) fn exceeded(what: &str, spent: f64, overdraft: u64) -> Option<String> {
    let bound = 1.0 + overdraft as f64 / PERCENT;
    let is_exceeded = spent > bound;
    is_exceeded.then(|| format!("{what}: {spent:.3} of the budget in one window, {bound:.2} is the bound"))
}

/// Checks what all gateways together logged that they spent. Returns the most of each budget.
pub(super) fn check_budgets(
    events: &[LoggedEvent],
    shared: &Shared,
    findings: &mut Vec<Finding>,
) -> BTreeMap<String, f64> {
    let mut worst = BTreeMap::new();
    for budget in &shared.budgets {
        let mut by_scope: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for event in events.iter().filter(|event| matches!(event.action, Action::Spent { .. })) {
            let scope = if budget.federated { "all" } else { event.site.as_str() };
            by_scope.entry(scope).or_default().push(event.at);
        }
        for (scope, times) in by_scope {
            let spent = max_in_window(times, budget.window.as_micros() as u64, budget.amount);
            let what = format!("{} of {scope}", budget.name);
            let text = exceeded(&what, spent, budget.overdraft);
            findings.extend(text.map(|text| Finding::without_entries(RULE, 0, text)));
            worst.insert(what, spent);
        }
    }
    worst
}
