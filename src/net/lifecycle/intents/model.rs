//! The stored form of the operators' intents, and the time since an endpoint was put back.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the time at which an endpoint was put back is stored: longer than any slow start.
pub(super) const BACK_RETENTION: Duration = Duration::from_mins(10);

/// The operators' intents that have not been withdrawn.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Intents {
    /// The names of endpoints that are out of service.
    pub(super) out: BTreeSet<String>,
    /// When endpoints were put back, in Unix milliseconds: their slow start begins then.
    pub(super) back: BTreeMap<String, u64>,
    /// The times of `back` on the monotonic clock, which is not stepped. Earlier versions drop this key when they write the
    /// file, so these times never belong to an older `back`.
    #[serde(skip_serializing_if = "Option::is_none")]
    back_since_boot: Option<BackSinceBoot>,
    /// Whether the gateway is draining.
    pub(super) drained: bool,
}

/// When endpoints were put back, in microseconds of the machine's monotonic clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct BackSinceBoot {
    /// The boot id of the machine; the clock counts from that boot.
    boot: String,
    micros: BTreeMap<String, u64>,
}

/// A moment on the wall clock and, where the machine's boot id is known, on the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Moment {
    pub(super) unix_ms: u64,
    pub(super) since_boot: Option<SinceBoot>,
}

/// A moment on the monotonic clock, which counts from a boot of the machine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SinceBoot {
    pub(super) boot: String,
    pub(super) micros: u64,
}

/// An intent that an operator states by a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Intent {
    /// Take the endpoint of this name out of service.
    TakeOut(String),
    /// Return the endpoint of this name to service.
    PutBack(String),
    /// Drain the gateway, or end its drain.
    Drain(bool),
}

impl Intents {
    /// Whether an endpoint is out of service, or was put back a short time ago.
    pub fn names(&self, store: &str) -> bool {
        self.out.contains(store) || self.back.contains_key(store)
    }

    /// Adds an intent. Intents are idempotent: after two that take an endpoint out, one puts it back.
    pub(super) fn amend(&mut self, intent: &Intent, now: &Moment) {
        self.refresh_times(now);
        match intent {
            Intent::TakeOut(store) => {
                self.out.insert(store.clone());
            }
            Intent::PutBack(store) => {
                if self.out.remove(store) {
                    self.set_back(store, now);
                }
            }
            Intent::Drain(drained) => self.drained = *drained,
        }
    }

    fn set_back(&mut self, store: &str, now: &Moment) {
        self.back.insert(store.to_string(), now.unix_ms);
        if let Some(SinceBoot { boot, micros }) = &now.since_boot {
            let times = self.back_since_boot.get_or_insert_with(|| BackSinceBoot::of(boot));
            times.micros.insert(store.to_string(), *micros);
        }
    }

    /// Removes endpoints that were put back longer than [`BACK_RETENTION`] ago, and restates the other times by the current
    /// clocks: the wall clock may have been stepped since they were stored, and the machine may have been rebooted.
    fn refresh_times(&mut self, now: &Moment) {
        let ages: BTreeMap<String, Duration> =
            self.back.keys().map(|store| (store.clone(), self.age(store, now))).collect();
        self.back.clear();
        self.back_since_boot = None;
        for (store, age) in ages {
            if age < BACK_RETENTION {
                self.set_back(&store, &now.before(age));
            }
        }
    }

    /// The time since an endpoint was put back: by the monotonic clock where the time was stored during this boot, else by
    /// the wall clock, where a time in the future counts as now. At most [`BACK_RETENTION`].
    pub(super) fn age(&self, store: &str, now: &Moment) -> Duration {
        let by_wall_clock = || {
            let back_ms = self.back.get(store).copied().unwrap_or_default();
            Duration::from_millis(now.unix_ms.saturating_sub(back_ms))
        };
        self.age_since_boot(store, now).unwrap_or_else(by_wall_clock).min(BACK_RETENTION)
    }

    fn age_since_boot(&self, store: &str, now: &Moment) -> Option<Duration> {
        let now = now.since_boot.as_ref()?;
        let times = self.back_since_boot.as_ref().filter(|times| times.boot == now.boot)?;
        let elapsed = now.micros.checked_sub(*times.micros.get(store)?)?;
        Some(Duration::from_micros(elapsed))
    }
}

impl BackSinceBoot {
    fn of(boot: &str) -> BackSinceBoot {
        BackSinceBoot { boot: boot.to_string(), micros: BTreeMap::new() }
    }
}

impl Moment {
    /// The moment that lies `age` before this one.
    fn before(&self, age: Duration) -> Moment {
        let micros = age.as_micros() as u64;
        let earlier = |moment: &SinceBoot| SinceBoot {
            boot: moment.boot.clone(),
            micros: moment.micros.saturating_sub(micros),
        };
        Moment {
            unix_ms: self.unix_ms.saturating_sub(age.as_millis() as u64),
            since_boot: self.since_boot.as_ref().map(earlier),
        }
    }
}
