//! The condition of a link at a moment: all faults in force on it, taken together.
//!
//! Faults overlap and end in any order. So a link's condition is never changed step by step; it is worked out
//! anew from those that are in force.

use crate::participant::ParticipantId;
use std::collections::BTreeSet;
use std::time::Duration;

/// What may be wrong with the bytes that go from one participant to another.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkFault {
    /// Nothing passes. What is sent is held, as TCP sends it again, and comes once the fault has ended; new
    /// connections come up only then.
    Cut,
    /// Connections that are open stay open, and what is sent on them is lost for good: the machine behind has
    /// vanished. New ones do not come up before the end.
    Silence,
    /// Open connections are reset as it begins, and new ones as they come.
    Reset,
    /// Nobody takes connections in: they come up, and nothing answers on them.
    Stall,
    /// Bytes come later.
    Delay {
        /// By how much.
        by: Duration,
        /// Up to this much more, evenly drawn.
        jitter: Duration,
    },
    /// Bytes a second.
    Rate(f64),
    /// The share of chunks of which one bit is flipped.
    Corrupt(f64),
    /// The share of datagrams that are lost.
    Loss(f64),
    /// The share of datagrams that come twice.
    Duplicate(f64),
    /// The share of datagrams that others overtake.
    Reorder(f64),
}

/// All that is wrong with one direction of a link.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(clippy::struct_excessive_bools, reason = "faults of any kinds can be in force at once")]
pub struct LinkCondition {
    /// Nothing passes; what is sent is held.
    pub cut: bool,
    /// What is sent is lost.
    pub silent: bool,
    /// Connections are reset.
    pub reset: bool,
    /// Connections come up, and nothing answers on them.
    pub stalled: bool,
    /// By how much bytes come later.
    pub delay: Duration,
    /// Up to this much more, evenly drawn.
    pub jitter: Duration,
    /// Bytes a second. None: as fast as it goes.
    pub rate: Option<f64>,
    /// The share of chunks of which one bit is flipped.
    pub corrupt: f64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that come twice.
    pub duplicate: f64,
    /// The share of datagrams that others overtake.
    pub reorder: f64,
}

/// Either of two independent chances.
fn either(one: f64, other: f64) -> f64 {
    1.0 - (1.0 - one) * (1.0 - other)
}

impl LinkCondition {
    fn add(&mut self, fault: &LinkFault) {
        match fault {
            LinkFault::Cut => self.cut = true,
            LinkFault::Silence => self.silent = true,
            LinkFault::Reset => self.reset = true,
            LinkFault::Stall => self.stalled = true,
            LinkFault::Delay { by, jitter } => {
                self.delay += *by;
                self.jitter += *jitter;
            }
            LinkFault::Rate(rate) => self.rate = Some(self.rate.map_or(*rate, |held| held.min(*rate))),
            LinkFault::Corrupt(share) => self.corrupt = either(self.corrupt, *share),
            LinkFault::Loss(share) => self.loss = either(self.loss, *share),
            LinkFault::Duplicate(share) => self.duplicate = either(self.duplicate, *share),
            LinkFault::Reorder(share) => self.reorder = either(self.reorder, *share),
        }
    }

    /// Whether a connection can come up now.
    pub fn accepts_connections(&self) -> bool {
        !self.cut && !self.silent
    }
}

/// A fault on the links from some participants to others.
#[derive(Clone, Debug, PartialEq)]
pub struct ScopedLinkFault {
    /// Whose bytes.
    pub from: BTreeSet<ParticipantId>,
    /// Where they go.
    pub to: BTreeSet<ParticipantId>,
    /// On what goes back, too.
    pub both: bool,
    /// What happens to them.
    pub fault: LinkFault,
}

impl ScopedLinkFault {
    /// Whether it is on this direction of a link.
    pub fn applies_to(&self, from: ParticipantId, to: ParticipantId) -> bool {
        let forth = self.from.contains(&from) && self.to.contains(&to);
        forth || (self.both && self.from.contains(&to) && self.to.contains(&from))
    }
}

/// What has happened to the connections of a link that were open at the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disruption {
    /// What is sent on them is lost.
    Silenced,
    /// They were reset.
    Reset,
}

/// The faults in force, each by the number of its entry in the schedule.
#[derive(Clone, Debug, Default)]
pub struct ActiveLinkFaults {
    active: Vec<(usize, ScopedLinkFault)>,
    /// Silences and resets that have begun, also those that are over: a connection that was open then does not
    /// come back. As many as the schedule holds.
    disruptive: Vec<ScopedLinkFault>,
}

impl ActiveLinkFaults {
    /// Puts a fault in force.
    pub fn begin(&mut self, number: usize, on: ScopedLinkFault) {
        if matches!(on.fault, LinkFault::Silence | LinkFault::Reset) {
            self.disruptive.push(on.clone());
        }
        self.active.push((number, on));
    }

    /// Ends a fault.
    pub fn end(&mut self, number: usize) {
        self.active.retain(|(held, _)| *held != number);
    }

    /// What one direction of a link is like.
    pub fn condition(&self, from: ParticipantId, to: ParticipantId) -> LinkCondition {
        let mut condition = LinkCondition::default();
        for (_, on) in self.active.iter().filter(|(_, on)| on.applies_to(from, to)) {
            condition.add(&on.fault);
        }
        condition
    }

    /// How many disruptions there have been, for a connection that comes up now.
    pub fn disruptions(&self) -> usize {
        self.disruptive.len()
    }

    /// The worst disruption of one direction since there were so many.
    pub fn disruption_since(
        &self,
        count: usize,
        from: ParticipantId,
        to: ParticipantId,
    ) -> Option<Disruption> {
        let since = self.disruptive.iter().skip(count).filter(|on| on.applies_to(from, to));
        let disruption = |on: &ScopedLinkFault| match on.fault {
            LinkFault::Reset => Disruption::Reset,
            _ => Disruption::Silenced,
        };
        since.map(disruption).max()
    }
}

#[cfg(test)]
mod tests;
