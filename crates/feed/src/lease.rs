//! The freshness lease: how long a subscriber may use its copies without receiving further events.
//!
//! An answer proves that the subscriber has applied all events that existed at the time its poll was sent, minus the
//! answer's age. The lease lasts for a configured duration from that time, during which the subscriber may use its
//! copies without restriction. After lease expiry there may be purges of which the subscriber has not been notified.

use crate::{Micros, PerMille};

/// The [`PerMille`] value of one. A drift of this or more means that a clock may stand still.
const PER_MILLE: PerMille = 1_000;

/// The freshness lease of a subscriber, on the subscriber's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    as_of: Option<Micros>,
    duration: Micros,
    drift_per_mille: PerMille,
    process_started_at: Micros,
}

impl Lease {
    /// Creates a lease that counts as expired until the first [`Lease::renew`].
    ///
    /// `duration` is in true time; the clock may run fast or slow by up to `drift_per_mille`.
    pub fn new(duration: Micros, drift_per_mille: PerMille, process_started_at: Micros) -> Lease {
        Lease { as_of: None, duration, drift_per_mille, process_started_at }
    }

    /// Renews the lease: all events that existed at `as_of` have been applied. An earlier time than the known one has
    /// no effect.
    pub fn renew(&mut self, as_of: Micros) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Whether the lease has expired, so that events older than its duration may be missing. True before the first
    /// answer.
    pub fn is_expired(&self, now: Micros) -> bool {
        self.expires_at().is_none_or(|expires_at| now >= expires_at)
    }

    /// The time at which the lease expires unless it is renewed; `None` before the first answer.
    pub fn expires_at(&self) -> Option<Micros> {
        self.as_of.map(|as_of| as_of.saturating_add(self.guaranteed_duration()))
    }

    /// The time up to which all events have been applied; `None` before the first answer.
    pub fn as_of(&self) -> Option<Micros> {
        self.as_of
    }

    /// The purge floor after lease expiry: copies made before it count as purged. `None` while the lease is valid.
    ///
    /// The floor advances with time, because a copy made after lease expiry may have been purged in the meantime. It is
    /// never before the start of the process: purges acknowledged by an earlier process count as applied, although this
    /// process does not know them.
    pub fn purge_floor(&self, now: Micros) -> Option<Micros> {
        self.is_expired(now)
            .then(|| now.saturating_sub(self.guaranteed_duration()).max(self.process_started_at))
    }

    /// The lease duration on a clock that may be slow by the drift, which never exceeds the duration in true time.
    fn guaranteed_duration(&self) -> Micros {
        scale(self.duration, PER_MILLE.saturating_sub(self.drift_per_mille))
    }
}

/// The time after which a lease of this duration has expired at every subscriber, on a clock that may be fast by the
/// drift.
pub fn expired_everywhere_after(duration: Micros, drift_per_mille: PerMille) -> Micros {
    scale(duration, PER_MILLE.saturating_add(drift_per_mille)).saturating_add(1)
}

/// The upper bound on the local clock of an age that was measured on another clock, slow by up to the drift.
pub fn age_upper_bound(age: Micros, drift_per_mille: PerMille) -> Micros {
    scale(age, PER_MILLE.saturating_add(drift_per_mille)).saturating_add(1)
}

fn scale(duration: Micros, per_mille: PerMille) -> Micros {
    let scaled = u128::from(duration) * u128::from(per_mille) / u128::from(PER_MILLE);
    Micros::try_from(scaled).unwrap_or(Micros::MAX)
}
