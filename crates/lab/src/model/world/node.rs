//! The state of a store: its slots, link, copies and fills.

use super::types::{Spec, TaskId};
use crate::model::Micros;
use crate::model::cold::{Arrival, OverloadDetector};
use crate::model::copies::{Copies, Key};
use crate::model::shared_link::SharedLink;
use crate::model::station::Station;
use std::collections::BTreeMap;

/// Requests that a rate admits at once, at least.
const MIN_BURST: f64 = 8.0;
/// The time whose requests a rate admits at once, as a share of a second.
const BURST_SHARE: f64 = 0.01;
const MICROS_PER_SECOND: f64 = 1e6;

/// A copy that a store fetches from its source.
#[derive(Clone, Debug)]
pub struct Fill {
    /// The part.
    pub key: Key,
    /// When it began.
    pub began: Micros,
    /// The request that it began for, then those that joined.
    pub waiting: Vec<TaskId>,
    /// The rank of the copy. `None`: it is not kept.
    pub cache_rank: Option<u8>,
    /// Whether the source is the origin.
    pub from_origin: bool,
}

/// A token bucket: the requests that a rate admits at once.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    requests: f64,
    updated: Micros,
}

impl TokenBucket {
    /// Takes one request out, if there is one.
    fn take(&mut self, now: Micros, rate: f64) -> bool {
        let earned = now.saturating_sub(self.updated) as f64 * rate / MICROS_PER_SECOND;
        self.requests = (self.requests + earned).min(MIN_BURST.max(rate * BURST_SHARE));
        self.updated = now;
        if self.requests < 1.0 {
            return false;
        }
        self.requests -= 1.0;
        true
    }
}

/// A store.
pub struct Node {
    /// What it is like.
    pub spec: Spec,
    /// Its slots.
    pub station: Station<TaskId>,
    /// Its outgoing link.
    pub link: SharedLink,
    /// Its cache.
    pub copies: Copies,
    /// When it started, where that was after the run's begin.
    pub started: Option<Micros>,
    /// Whether it runs.
    pub alive: bool,
    /// Counts its starts: what an earlier incarnation began is ignored.
    pub incarnation: u64,
    /// Detects that it dies of overload.
    pub overload: OverloadDetector,
    tokens: TokenBucket,
    /// Its fills by number.
    pub fills: BTreeMap<u64, Fill>,
}

impl Node {
    /// A store that runs from the run's begin.
    pub fn new(spec: Spec) -> Node {
        Node {
            station: Station::new(spec.slots, spec.queue_limit),
            link: SharedLink::new(spec.link),
            copies: Copies::new(spec.copies),
            started: None,
            alive: true,
            incarnation: 0,
            overload: OverloadDetector::default(),
            tokens: TokenBucket { requests: MIN_BURST, updated: 0 },
            fills: BTreeMap::new(),
            spec,
        }
    }

    fn capacity_share(&self, now: Micros) -> f64 {
        self.started.map_or(1.0, |at| self.spec.cold.capacity_share(now.saturating_sub(at)))
    }

    /// Slots that it has now: a cold store has fewer.
    pub fn slots(&self, now: Micros) -> usize {
        ((self.spec.slots as f64 * self.capacity_share(now)).ceil() as usize).max(1)
    }

    /// Whether its rate admits one more request.
    pub fn admits(&mut self, now: Micros) -> bool {
        self.tokens.take(now, self.spec.rate)
    }

    /// Adds a request to its load. Returns whether it dies of overload.
    pub fn is_overloaded_by_request(&mut self, now: Micros) -> bool {
        let Some(started) = self.started else { return false };
        let age = now.saturating_sub(started);
        let arrival = Arrival { now, age, work: self.spec.service, slots: self.spec.slots };
        self.overload.add(arrival, &self.spec.cold)
    }

    /// It dies: its requests end, and its copies are lost.
    pub fn die(&mut self) {
        self.alive = false;
        self.incarnation += 1;
        self.station.clear();
        self.link.clear();
        self.copies.clear();
        self.fills.clear();
    }
}
