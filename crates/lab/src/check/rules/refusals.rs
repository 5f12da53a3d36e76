//! Refusals state when to retry.

use crate::check::rule::{Rule, RuleContext, Violations};
use crate::trace::{EventKind, TraceEvent};

/// A refusal has Retry-After.
pub(super) struct Refusals;

impl Rule for Refusals {
    fn name(&self) -> &'static str {
        "refusals"
    }

    fn observe(&mut self, seen: &TraceEvent, _: &RuleContext, violations: &mut Violations) {
        if let EventKind::Answered { id, status: status @ (429 | 503), retry_after: false, .. } = seen.what {
            violations.add_request(id, format!("{status} without Retry-After"));
        }
    }
}
