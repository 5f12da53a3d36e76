//! Nothing is done under a claim that has lost.

use super::event::{Action, Claim, LoggedEvent};
use crate::check::finding::Finding;
use crate::participant::ParticipantId;
use crate::scenario::Shared;
use std::collections::HashMap;

const RULE: &str = "fenced";
/// Drift of a clock is in thousandths.
const THOUSANDTHS: u64 = 1_000;
/// A quota lease lasts as long as it takes to grant half the overdraft, which is in percent.
const HALF_OVERDRAFT: u64 = 500;

/// When each gateway fenced a claim, by slice and claim.
type Fences = HashMap<(u64, Claim), Vec<(ParticipantId, u64)>>;

fn fences(events: &[LoggedEvent]) -> Fences {
    let mut fences = Fences::new();
    for event in events {
        if let Action::Fenced { lost, .. } = event.action {
            fences.entry((event.slice, lost)).or_default().push((event.gateway, event.at));
        }
    }
    fences
}

/// How long a quota lease lasts at most, by the clocks of both gateways.
fn longest_quota_lease(shared: &Shared) -> u64 {
    let drift = THOUSANDTHS + shared.drift;
    let leases = shared.budgets.iter().map(|budget| {
        let window = budget.window.as_micros() as u64;
        window * budget.overdraft / HALF_OVERDRAFT * drift * drift / (THOUSANDTHS * THOUSANDTHS)
    });
    leases.max().unwrap_or(0)
}

/// Checks that a gateway which knows that a claim has lost does nothing under it, and the other gateways of its region
/// nothing once the longest quota lease is over: what was granted has expired by then, also where they know of nothing.
/// Returns how many actions were under claims that are fenced at some time.
pub(super) fn check_fencing(
    events: &[LoggedEvent],
    shared: &Shared,
    run_epoch: u64,
    findings: &mut Vec<Finding>,
) -> usize {
    let longest_lease = longest_quota_lease(shared);
    let fences = fences(events);
    let mut checked = 0;
    for event in events {
        let (claim, grace, what) = match event.action {
            Action::Granted { claim: Some(claim), .. } => (claim, 0, "handed out"),
            Action::Spent { claim: Some(claim) } => (claim, longest_lease, "spent"),
            _ => continue,
        };
        let Some(fences) = fences.get(&(event.slice, claim)) else { continue };
        checked += 1;
        let own = fences.iter().filter(|(gateway, _)| *gateway == event.gateway).map(|(_, at)| *at).min();
        let any = fences.iter().map(|(_, at)| *at + grace).min();
        if own.is_some_and(|at| event.at > at) || any.is_some_and(|at| event.at > at) {
            let text = format!(
                "{:?} {what} of slice {} under term {} after its fence",
                event.gateway, event.slice, claim.term
            );
            findings.push(Finding::without_entries(RULE, event.at.saturating_sub(run_epoch), text));
        }
    }
    checked
}
