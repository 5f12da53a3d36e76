//! What a rule is, and what it is given besides the trace.

use super::faults::Faults;
use crate::participant::ParticipantId;
use crate::trace::{Micros, TraceEvent};

/// What a violation is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// A request, by its id.
    Request(u64),
    /// A process of the fleet.
    Participant(ParticipantId),
}

/// What violates a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What it is about.
    pub subject: Subject,
    /// What is wrong.
    pub text: String,
}

/// Collects violations of a rule.
#[derive(Debug, Default)]
pub struct Violations(Vec<Violation>);

impl Violations {
    /// Adds one that is about a request.
    pub fn add_request(&mut self, id: u64, text: impl Into<String>) {
        self.0.push(Violation { subject: Subject::Request(id), text: text.into() });
    }

    /// Adds one that is about a process.
    pub fn add_participant(&mut self, participant: ParticipantId, text: impl Into<String>) {
        self.0.push(Violation { subject: Subject::Participant(participant), text: text.into() });
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes all of them out.
    pub fn take(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.0)
    }
}

/// What rules are given besides the trace.
pub struct RuleContext {
    /// All faults that were planned: no rule holds a gateway to what a fault kept it from.
    pub faults: Faults,
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// The figures of the rules, from the settings.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Each time limit is longer by this.
    pub margin: Micros,
    /// Attempts of a request.
    pub max_attempts: u32,
    /// Whether a second attempt may be out beside the first one.
    pub hedging: bool,
    /// From when a drain is in the event bus until nothing more is sent there.
    pub drain_grace: Micros,
    /// From when a purge is in the event bus until no older copy is served.
    pub purge_grace: Micros,
    /// A gateway counts as notified of an event after this long, whatever fault lies between it and the bus.
    pub notified_within: Micros,
    /// What may be sent to a cold cache.
    pub cold: ColdCacheLimits,
}

/// What may be sent to a cache that has just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdCacheLimits {
    /// What a warm one can take.
    pub requests_per_second: f64,
    /// The share of it that a cache can take at its start.
    pub initial_share: f64,
    /// From the start until the cache is warm.
    pub warm_up: Micros,
    /// By which factor a cache may be sent more than it can take.
    pub overload_factor: f64,
    /// For how long it may be sent more than that.
    pub sustained_for: Micros,
}

/// A rule observes the whole trace in its order.
pub trait Rule {
    /// Its name in reports.
    fn name(&self) -> &'static str;

    /// Takes in the next entry of the trace.
    fn observe(&mut self, seen: &TraceEvent, context: &RuleContext, violations: &mut Violations);

    /// The run has ended.
    fn finish(&mut self, _at: Micros, _context: &RuleContext, _violations: &mut Violations) {}
}
