//! A store as the world keeps it: its slots, link, copies and fills.

use super::types::{Spec, TaskId};
use crate::model::Micros;
use crate::model::cold::Heat;
use crate::model::copies::{Copies, Key};
use crate::model::pipe::Pipe;
use crate::model::station::Station;
use std::collections::BTreeMap;

/// Requests that come at once under a rate.
const BURST: f64 = 8.0;

#[derive(Clone, Debug)]
pub struct Fill {
    pub key: Key,
    pub began: Micros,
    /// First who asked for it, then those that joined.
    pub waiting: Vec<TaskId>,
    pub keep: Option<u8>,
    pub from_origin: bool,
}

/// What a rate lets come at once, and as of when.
#[derive(Clone, Copy, Debug)]
struct Credit {
    requests: f64,
    at: Micros,
}

impl Credit {
    /// Takes one request out of what a rate lets come.
    fn take(&mut self, now: Micros, rate: f64) -> bool {
        let earned = now.saturating_sub(self.at) as f64 * rate / 1e6;
        self.requests = (self.requests + earned).min(BURST.max(rate / 100.0));
        self.at = now;
        if self.requests < 1.0 {
            return false;
        }
        self.requests -= 1.0;
        true
    }
}

pub struct Node {
    pub spec: Spec,
    pub station: Station<TaskId>,
    pub out: Pipe,
    pub copies: Copies,
    /// When it started, where that was after the run's begin.
    pub started: Option<Micros>,
    pub alive: bool,
    /// Counts its lives: what an earlier one began is void.
    pub life: u64,
    pub heat: Heat,
    credit: Credit,
    pub fills: BTreeMap<u64, Fill>,
}

impl Node {
    pub fn new(spec: Spec) -> Node {
        Node {
            station: Station::new(spec.slots, spec.room),
            out: Pipe::new(spec.link),
            copies: Copies::new(spec.copies),
            started: None,
            alive: true,
            life: 0,
            heat: Heat::default(),
            credit: Credit { requests: BURST, at: 0 },
            fills: BTreeMap::new(),
            spec,
        }
    }

    fn warmth(&self, now: Micros) -> f64 {
        self.started.map_or(1.0, |at| self.spec.cold.warmth(now.saturating_sub(at)))
    }

    /// Slots that work now: a cold store has fewer.
    pub fn slots(&self, now: Micros) -> usize {
        ((self.spec.slots as f64 * self.warmth(now)).ceil() as usize).max(1)
    }

    /// Whether its rate lets one more request come.
    pub fn admits(&mut self, now: Micros) -> bool {
        self.credit.take(now, self.spec.rate)
    }

    /// Whether one more request is too much for it, so soon after its start.
    pub fn falls(&mut self, now: Micros) -> bool {
        let Some(started) = self.started else { return false };
        let (rule, age) = (self.spec.cold, now.saturating_sub(started));
        self.heat.comes(now, age, self.spec.service, self.spec.slots, &rule)
    }

    /// It dies: all that is open at it ends, and what it kept is lost.
    pub fn die(&mut self) {
        self.alive = false;
        self.life += 1;
        self.station.clear();
        self.out.clear();
        self.copies.clear();
        self.fills.clear();
    }
}
