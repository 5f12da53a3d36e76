//! What a rule has found in a run.

use crate::trace::{Micros, TraceEvent};
use serde::Serialize;

/// A violation of a rule, with what was observed around it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule's name.
    pub rule: &'static str,
    /// When it was found, from the run's begin.
    pub at: Micros,
    /// What is wrong.
    pub text: String,
    /// What was observed of the request or store that it is about.
    pub around: Vec<TraceEvent>,
}

impl Finding {
    /// A finding that is not about entries of the trace.
    pub(super) fn without_entries(rule: &'static str, at: Micros, text: String) -> Finding {
        Finding { rule, at, text, around: Vec::new() }
    }
}
