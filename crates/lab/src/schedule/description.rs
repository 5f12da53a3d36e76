//! The schedule as text.

use super::{FaultAction, FaultTransition, Schedule};
use crate::participant::{ParticipantId, Roster};
use std::collections::BTreeSet;

/// Participants that are named, of a longer list.
const MAX_NAMED: usize = 3;

fn names(roster: &Roster, ids: &BTreeSet<ParticipantId>) -> String {
    let named = |count| {
        let names: Vec<String> = ids.iter().take(count).map(|id| roster.get(*id).to_string()).collect();
        names.join(", ")
    };
    match ids.len() {
        0..=MAX_NAMED => named(MAX_NAMED),
        many => format!("{} and {} more", named(MAX_NAMED - 1), many + 1 - MAX_NAMED),
    }
}

impl FaultAction {
    fn describe(&self, roster: &Roster) -> String {
        let name = |id: &ParticipantId| roster.get(*id).to_string();
        match self {
            FaultAction::Link(link) => {
                let arrow = if link.both { "<->" } else { "->" };
                format!("{:?} {} {arrow} {}", link.fault, names(roster, &link.from), names(roster, &link.to))
            }
            FaultAction::Process { target, fault } => format!("{fault:?} {}", name(target)),
            FaultAction::Crash { target } => format!("Crash {}", name(target)),
            FaultAction::Drain { target } => format!("Drain {}", name(target)),
            FaultAction::LateBus { target, by } => format!("LateBus {} by {by:?}", name(target)),
            FaultAction::Purge { group } => format!("Purge group {group}"),
            FaultAction::System { target, fault } => format!("{fault:?} {}", name(target)),
            FaultAction::Suspend { target, store } => format!("Suspend {} at {}", name(store), name(target)),
        }
    }
}

impl Schedule {
    /// A transition as a line: `   2.50 s  begins: Kill gateway/east/1`.
    pub fn describe(&self, roster: &Roster, transition: FaultTransition) -> String {
        let action = self.planned[transition.number].action.describe(roster);
        let word = if transition.begins { "begins" } else { "ends" };
        format!("{:7.2} s  {word}: {action}", transition.at.as_secs_f64())
    }
}
