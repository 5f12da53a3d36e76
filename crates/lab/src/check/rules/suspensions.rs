//! A store that an operator has suspended stays suspended until it is resumed, also over a gateway's restart.

use super::common::milliseconds;
use crate::check::rule::{Rule, RuleContext, Violations};
use crate::participant::ParticipantId;
use crate::trace::{EventKind, Micros, TraceEvent};
use std::collections::HashMap;

/// Requests may be on their way to the store as the answer to the operator is written.
const GRACE: Micros = 100_000;

/// A store that was suspended at a gateway gets nothing from it.
#[derive(Default)]
pub(super) struct Suspensions {
    /// By gateway and store: since when the gateway has acknowledged it.
    since: HashMap<(ParticipantId, ParticipantId), Micros>,
}

impl Rule for Suspensions {
    fn name(&self) -> &'static str {
        "suspensions"
    }

    fn observe(&mut self, seen: &TraceEvent, _: &RuleContext, violations: &mut Violations) {
        match &seen.what {
            EventKind::Suspended { gateway, store } => {
                self.since.entry((*gateway, *store)).or_insert(seen.at);
            }
            EventKind::ResumeAsked { gateway, store } => {
                self.since.remove(&(*gateway, *store));
            }
            EventKind::Arrived { id, gateway, store, sent, .. } => {
                let Some(since) = self.since.get(&(*gateway, *store)) else { return };
                if *sent > since + GRACE {
                    let after = milliseconds(sent - since);
                    violations
                        .add_request(*id, format!("sent {after} after an operator had its store suspended"));
                }
            }
            _ => {}
        }
    }
}
