//! What several rules have in common.

use crate::check::rule::RuleContext;
use crate::participant::ParticipantId;
use crate::trace::Micros;
use std::collections::VecDeque;

/// How long an ended request is remembered, for a second answer to it.
pub(super) const REMEMBERED_FOR: Micros = 30_000_000;
const MICROS_PER_MILLI: Micros = 1_000;

/// A time in messages.
pub(super) fn milliseconds(micros: Micros) -> String {
    format!("{} ms", micros / MICROS_PER_MILLI)
}

/// By when a gateway has been notified of an event that is in the bus since `published`.
pub(super) fn notified_by(
    gateway: ParticipantId,
    published: Micros,
    now: Micros,
    grace: Micros,
    context: &RuleContext,
) -> Micros {
    let RuleContext { faults, bounds } = context;
    // Where a fault lay between it and the bus, it counts as notified all the same, but later.
    let after = if faults.on_bus_link(gateway, published, now) {
        bounds.notified_within
    } else {
        faults.bus_delay(gateway, published, now).min(bounds.notified_within)
    };
    published + after + grace + bounds.margin
}

/// Requests in the order in which they were asked, each with the time after which it can be forgotten.
#[derive(Default)]
pub(super) struct Expiries(VecDeque<(Micros, u64)>);

impl Expiries {
    /// Adds a request.
    pub(super) fn add(&mut self, until: Micros, id: u64) {
        self.0.push_back((until, id));
    }

    /// The next request whose time is over.
    pub(super) fn next_expired(&mut self, now: Micros) -> Option<u64> {
        self.0.pop_front_if(|(until, _)| *until < now).map(|(_, id)| id)
    }
}
