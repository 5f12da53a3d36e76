//! Checks the state that gateways share: leases, fencing, budgets. From what each gateway logs as it does it (with the Unix
//! time at which it decided), and, for budgets, from what arrived at the origin.

mod budgets;
mod event;
mod fencing;
mod origin_budget;
mod single_holder;
#[cfg(test)]
mod tests;

pub use event::{Action, Claim, LoggedEvent, read_event};
pub use origin_budget::OriginBudget;

use super::finding::Finding;
use crate::scenario::Shared;
use budgets::check_budgets;
use fencing::check_fencing;
use serde::Serialize;
use single_holder::check_single_holder;
use std::collections::BTreeMap;

const MICROS_PER_MILLI: i64 = 1_000;

/// What a run has shown of the state that gateways share.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SharedStateSummary {
    /// Leases that gateways gained.
    #[serde(rename = "homes_gained")]
    pub leases_gained: usize,
    /// Grants out of budgets.
    pub grants: usize,
    /// Attempts that were paid for.
    pub spends: usize,
    /// Claims of regions.
    pub claims: usize,
    /// Split brains that gateways noticed.
    pub splits: usize,
    /// Claims that were fenced.
    pub fenced: usize,
    /// From the end of the last cut between regions to the first gateway that knew of the split brain.
    pub detected_ms: Option<i64>,
    /// From the end of the last cut between regions to the last fencing.
    pub fenced_ms: Option<i64>,
    /// The most that all gateways together spent in a window, as a share of the amount, by budget.
    pub worst_spent: BTreeMap<String, f64>,
    /// Actions under claims that are fenced at some time, which were all checked.
    pub after_fence: usize,
}

fn is_split_or_fenced(action: &Action) -> bool {
    matches!(action, Action::SplitBrain { .. } | Action::Fenced { .. })
}

fn is_fenced(action: &Action) -> bool {
    matches!(action, Action::Fenced { .. })
}

/// Times of events after the last cut, in milliseconds from its end.
fn after_cut(
    events: &[LoggedEvent],
    healed: Option<u64>,
    is_meant: fn(&Action) -> bool,
) -> impl Iterator<Item = i64> {
    let meant = events.iter().filter(move |event| is_meant(&event.action));
    let elapsed = move |event: &LoggedEvent| event.at.checked_sub(healed?).map(u64::cast_signed);
    meant.filter_map(elapsed).map(|micros| micros / MICROS_PER_MILLI)
}

/// Checks all of a run. `epoch`: the run's begin in Unix microseconds. `healed`: when the last cut between sites was over,
/// in Unix microseconds.
pub fn check(
    events: &mut [LoggedEvent],
    shared: &Shared,
    epoch: u64,
    healed: Option<u64>,
) -> (SharedStateSummary, Vec<Finding>) {
    events.sort_by_key(|event| event.at);
    let mut findings = Vec::new();
    check_single_holder(events, epoch, &mut findings);
    let after_fence = check_fencing(events, shared, epoch, &mut findings);
    let worst_spent = check_budgets(events, shared, &mut findings);
    let count = |is_meant: fn(&Action) -> bool| events.iter().filter(|event| is_meant(&event.action)).count();
    let summary = SharedStateSummary {
        leases_gained: count(|action| matches!(action, Action::Gained { .. })),
        grants: count(|action| matches!(action, Action::Granted { .. })),
        spends: count(|action| matches!(action, Action::Spent { .. })),
        claims: count(|action| matches!(action, Action::Claimed { .. })),
        splits: count(|action| matches!(action, Action::SplitBrain { .. })),
        fenced: count(is_fenced),
        detected_ms: after_cut(events, healed, is_split_or_fenced).min(),
        fenced_ms: after_cut(events, healed, is_fenced).max(),
        worst_spent,
        after_fence,
    };
    (summary, findings)
}
