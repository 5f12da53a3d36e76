//! What became of one purge in one process of a gateway.

use super::timeline::{Micros, ProcessLifetime, Purge, TimeSpan};

/// What became of one purge in one process of a gateway.
pub(super) enum Outcome {
    /// The process is not held to this purge: it had it from its start, or ended before the purge was issued.
    NotApplicable,
    /// Reported as applied this long before it was issued.
    Early(u64),
    /// Applied.
    Applied {
        /// How long after it was issued.
        after: u64,
        /// Later than the bound, but the gateway knew that it was stale.
        stale: bool,
    },
    /// Not applied while the process ran.
    Missing {
        /// How long it ran after the purge was issued.
        after: u64,
        /// Longer than the bound, but the gateway knew that it was stale.
        stale: bool,
    },
}

/// The last moment of a span at which the gateway was not stale. `None`: it was stale all the time.
fn last_fresh_moment(span: TimeSpan, stale: &[TimeSpan]) -> Option<Micros> {
    let mut last = span.until;
    for stale_span in stale.iter().rev() {
        if stale_span.from < last && last <= stale_span.until {
            last = stale_span.from;
        }
    }
    (last > span.from).then_some(last)
}

/// What became of a purge in one process. `bound`: microseconds after its issue by which it must be applied.
pub(super) fn purge_outcome(process: &ProcessLifetime, purge: Purge, bound: u64) -> Outcome {
    let index = process.applied.partition_point(|applied| applied.offset < purge.offset);
    let applied_at = process.applied.get(index).map(|applied| applied.at);
    if let Some(at) = applied_at.filter(|at| *at < purge.issued) {
        return Outcome::Early(purge.issued - at);
    }
    let from = purge.issued.max(process.serving.from);
    let until = applied_at.unwrap_or(process.serving.until);
    if until <= from {
        return Outcome::NotApplicable;
    }
    let after = until - purge.issued;
    let last_fresh = last_fresh_moment(TimeSpan { from, until }, &process.stale);
    if last_fresh.is_none() && process.serving.from > purge.issued {
        // A new process that caught up with earlier purges before its freshness lease began.
        return Outcome::NotApplicable;
    }
    let fresh_for = last_fresh.map_or(0, |last| last - purge.issued);
    let stale = after > bound && fresh_for <= bound;
    match applied_at {
        Some(_) => Outcome::Applied { after, stale },
        None => Outcome::Missing { after, stale },
    }
}
