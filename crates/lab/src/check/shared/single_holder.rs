//! A slice has one lease holder at a time.

use super::event::{Action, LoggedEvent};
use crate::check::finding::Finding;
use crate::participant::ParticipantId;
use std::collections::BTreeMap;

const RULE: &str = "one home";

/// The time in which a gateway acted under one epoch.
struct Tenure {
    gateway: ParticipantId,
    epoch: u64,
    first: u64,
    last: u64,
}

/// Tenures of a slice by epoch and gateway.
type Tenures = BTreeMap<(u64, ParticipantId), Tenure>;

/// All tenures by site and slice.
fn tenures(events: &[LoggedEvent]) -> BTreeMap<(&str, u64), Tenures> {
    let mut tenures: BTreeMap<(&str, u64), Tenures> = BTreeMap::new();
    for event in events {
        let (Action::Gained { epoch } | Action::Granted { epoch, .. }) = event.action else { continue };
        let of_slice = tenures.entry((&event.site, event.slice)).or_default();
        let new = Tenure { gateway: event.gateway, epoch, first: event.at, last: event.at };
        let tenure = of_slice.entry((epoch, event.gateway)).or_insert(new);
        tenure.first = tenure.first.min(event.at);
        tenure.last = tenure.last.max(event.at);
    }
    tenures
}

/// Checks that a slice never has two lease holders in a region: a later one begins after all that the one before did, and
/// under a later epoch.
pub(super) fn check_single_holder(events: &[LoggedEvent], run_epoch: u64, findings: &mut Vec<Finding>) {
    for ((site, slice), of_slice) in tenures(events) {
        let mut in_order: Vec<Tenure> = of_slice.into_values().collect();
        in_order.sort_by_key(|tenure| tenure.first);
        for pair in in_order.windows(2) {
            let [before, after] = pair else { continue };
            if after.gateway == before.gateway {
                continue;
            }
            if after.epoch <= before.epoch {
                let text = format!("slice {slice} of {site}: epoch {} after {}", after.epoch, before.epoch);
                findings.push(Finding::without_entries(RULE, after.first.saturating_sub(run_epoch), text));
            }
            if after.first < before.last {
                let overlap = before.last - after.first;
                let text = format!("slice {slice} of {site} had two homes for {overlap} us");
                findings.push(Finding::without_entries(RULE, after.first.saturating_sub(run_epoch), text));
            }
        }
    }
}
