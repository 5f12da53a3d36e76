//! Processes end only by faults.

use crate::check::rule::{Rule, RuleContext, Violations};
use crate::trace::{EventKind, ProcessEvent, TraceEvent};

/// No process ends unless a fault ends it.
pub(super) struct ProcessExits;

impl Rule for ProcessExits {
    fn name(&self) -> &'static str {
        "lives"
    }

    fn observe(&mut self, seen: &TraceEvent, _: &RuleContext, violations: &mut Violations) {
        if let EventKind::Process { whom, life: ProcessEvent::Died } = &seen.what {
            violations.add_participant(*whom, "the process has ended, and no fault had asked for that");
        }
    }
}
