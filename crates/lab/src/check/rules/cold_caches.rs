//! Caches that have just started are not sent too much.

use super::common::milliseconds;
use crate::check::rule::{ColdCacheLimits, Rule, RuleContext, Violations};
use crate::participant::ParticipantId;
use crate::trace::{BusChange, EventKind, Micros, TraceEvent};
use std::collections::{HashMap, VecDeque};

/// The window over which arrivals are counted.
const WINDOW: Micros = 250_000;
const MICROS_PER_SECOND: f64 = 1e6;

struct ColdCache {
    started: Micros,
    /// Arrivals within the last window.
    arrivals: VecDeque<Micros>,
    overloaded_since: Option<Micros>,
    reported: bool,
}

impl ColdCache {
    fn started_at(started: Micros) -> ColdCache {
        ColdCache { started, arrivals: VecDeque::new(), overloaded_since: None, reported: false }
    }

    /// Counts an arrival. Returns a text once the cache has been overloaded for too long.
    fn arrived(&mut self, at: Micros, limits: &ColdCacheLimits) -> Option<String> {
        let age = at.saturating_sub(self.started);
        self.arrivals.push_back(at);
        while self.arrivals.pop_front_if(|arrival| *arrival + WINDOW < at).is_some() {}
        let (arrivals, max) = (self.arrivals.len() as f64, limits.max_arrivals(age));
        if arrivals <= max {
            self.overloaded_since = None;
            return None;
        }
        let since = *self.overloaded_since.get_or_insert(at);
        if at < since + limits.sustained_for || std::mem::replace(&mut self.reported, true) {
            return None;
        }
        let per_second = MICROS_PER_SECOND / WINDOW as f64;
        Some(format!(
            "{:.0} requests a second at a cache {} after its start, over {:.0} for {}",
            arrivals * per_second,
            milliseconds(age),
            max * per_second,
            milliseconds(limits.sustained_for)
        ))
    }
}

impl ColdCacheLimits {
    /// Arrivals in a window above which a cache of that age is overloaded.
    fn max_arrivals(&self, age: Micros) -> f64 {
        let warmed = (age as f64 / self.warm_up as f64).min(1.0);
        let share = self.initial_share + (1.0 - self.initial_share) * warmed;
        self.overload_factor * share * self.requests_per_second * WINDOW as f64 / MICROS_PER_SECOND
    }
}

/// All gateways together do not overload a cold cache.
#[derive(Default)]
pub(super) struct ColdCaches {
    caches: HashMap<ParticipantId, ColdCache>,
}

impl Rule for ColdCaches {
    fn name(&self) -> &'static str {
        "cold caches"
    }

    fn observe(&mut self, seen: &TraceEvent, context: &RuleContext, violations: &mut Violations) {
        let limits = &context.bounds.cold;
        match &seen.what {
            EventKind::Stands { change: BusChange::Up { store, started: Some(at) } } => {
                self.caches.insert(*store, ColdCache::started_at(*at));
            }
            EventKind::Stands { change: BusChange::Removed { store } } => drop(self.caches.remove(store)),
            EventKind::Arrived { store, .. } => {
                let Some(cache) = self.caches.get_mut(store) else { return };
                if seen.at.saturating_sub(cache.started) > limits.warm_up {
                    self.caches.remove(store);
                    return;
                }
                if let Some(text) = cache.arrived(seen.at, limits) {
                    violations.add_participant(*store, text);
                }
            }
            EventKind::Fell { store } => {
                let reported = self.caches.remove(store).is_some_and(|cache| cache.reported);
                if !reported {
                    violations.add_participant(*store, "a cold cache was pushed over");
                }
            }
            _ => {}
        }
    }
}
