//! Nothing is sent to stores that drain or have left the list.

use super::common::{milliseconds, notified_by};
use crate::check::rule::{Rule, RuleContext, Violations};
use crate::participant::ParticipantId;
use crate::trace::{BusChange, EventKind, Micros, TraceEvent};
use std::collections::HashMap;

/// A store out of service.
struct OutOfService {
    /// When its first such event was in the bus.
    since: Micros,
    removed: bool,
}

/// Nothing is sent to a store that drains or has left the list.
#[derive(Default)]
pub(super) struct Drains {
    stores: HashMap<ParticipantId, OutOfService>,
}

impl Rule for Drains {
    fn name(&self) -> &'static str {
        "drains"
    }

    fn observe(&mut self, seen: &TraceEvent, context: &RuleContext, violations: &mut Violations) {
        match &seen.what {
            EventKind::Stands { change: BusChange::Draining { store } } => {
                self.stores.insert(*store, OutOfService { since: seen.at, removed: false });
            }
            EventKind::Stands { change: BusChange::Removed { store } } => {
                let new = OutOfService { since: seen.at, removed: true };
                self.stores.entry(*store).or_insert(new).removed = true;
            }
            EventKind::Stands { change: BusChange::Up { store, .. } } => {
                self.stores.remove(store);
            }
            EventKind::Arrived { id, gateway, store, sent, .. } => {
                let Some(OutOfService { since, removed }) = self.stores.get(store) else { return };
                let by = notified_by(*gateway, *since, *sent, context.bounds.drain_grace, context);
                if *sent > by {
                    let event = if *removed { "left the list" } else { "began to drain" };
                    let after = milliseconds(sent - since);
                    violations.add_request(*id, format!("sent {after} after its store {event}"));
                }
            }
            _ => {}
        }
    }
}
