//! Admission control: load shedding by priority, at overloaded caches and for slow fills.

use super::Router;
use super::learning::HIT_OVERHEAD_SECONDS;
use crate::interface::Role;
use crate::state::RequestState;

/// Pressure at a cache from which requests of the lowest priority are rejected.
pub(super) const SHEDDING_START_PRESSURE: f64 = 1.2;
/// Pressure at a cache from which all requests are rejected; the rejected share rises linearly in between.
const FULL_SHEDDING_PRESSURE: f64 = 2.5;
/// Maximum ratio of the actual load of a cache to the load computed from its weight.
const MAX_WEIGHT_ERROR_RATIO: f64 = 2.0;
/// Ratio of the actual to the ideal duration of hits from which links count as congested, whatever capacities
/// the member list states.
const CONGESTED_HIT_STRETCH_RATIO: f64 = 1.25;
/// Ratio of fill wait to request slack from which misses are shed.
const MISS_SHEDDING_START_RATIO: f64 = 0.4;
/// Ratio of fill wait to request slack at which the shed share of misses would reach 1; it rises linearly and
/// is capped at `MAX_SHED_MISS_SHARE`.
const FULL_MISS_SHEDDING_RATIO: f64 = 1.7;
/// Maximum share of misses that are shed. A shed miss yields no measurement: without admitted misses,
/// shedding would continue for too long after a short burst.
const MAX_SHED_MISS_SHARE: f64 = 0.8;
/// Weight of the expected fill wait of a request in its priority, relative to its sending time.
const FILL_WAIT_WEIGHT: f64 = 0.1;
/// Number of recent requests against whose priorities a new request is ranked.
pub(super) const MAX_RECENT_PRIORITIES: usize = 128;

/// Returns the share of misses to shed at this ratio of fill wait to request slack. Shed misses are answered
/// only from what a source has cached, or rejected if those fills are late too. Covers a congested ingress
/// link, exhausted fill slots, slow parents and a slow origin.
pub(super) fn shed_share(wait_ratio: f64) -> f64 {
    ((wait_ratio - MISS_SHEDDING_START_RATIO) / (FULL_MISS_SHEDDING_RATIO - MISS_SHEDDING_START_RATIO))
        .min(MAX_SHED_MISS_SHARE)
}

impl Router {
    /// Returns the priority weight per second that the request is expected to occupy the cache: its sending
    /// time plus the expected wait for a fill. When sources are slow, likely misses have a low priority.
    pub(super) fn priority_per_second(&self, state: &RequestState) -> f64 {
        let expected_fill_wait =
            self.learned.fill_delay * self.learned.miss_rates[usize::from(state.cache_rank)];
        self.settings.classes[state.class].priority_weight
            / (state.send_seconds + HIT_OVERHEAD_SECONDS + FILL_WAIT_WEIGHT * expected_fill_wait)
    }

    /// Returns the share of recent requests that have a lower priority.
    pub(super) fn priority_rank(&self, state: &RequestState) -> f64 {
        self.recent_priorities.share_below(self.priority_per_second(state))
    }

    /// Whether the request is rejected because of overload. The rejected share grows with the pressure at the
    /// cache, and the lowest priorities are rejected first.
    pub(super) fn is_shed(&self, state: &RequestState, load: f64) -> bool {
        let rejected_share = (self.pressure(load) - SHEDDING_START_PRESSURE)
            / (FULL_SHEDDING_PRESSURE - SHEDDING_START_PRESSURE);
        rejected_share > 0.0 && self.priority_rank(state) < rejected_share
    }

    /// Estimates by which factor a transfer is slowed down at a cache of this load. The estimate uses the
    /// share of requests that are sending rather than waiting for fills, and the pace of hits where that is
    /// slower.
    pub(super) fn pressure(&self, load: f64) -> f64 {
        let usual_load = self.learned.usual_load[Role::Cache as usize].max(0.1);
        let stretch = self.learned.hit_pace.stretch();
        let sending = usual_load
            * (self.learned.served_pace.ideal * stretch / self.learned.served_pace.actual).min(1.0);
        // Where capacities are only estimated, hits at full pace show that a cache at the usual load is not
        // full, so its pressure is at most 1.
        let usual_pressure = if self.settings.weights_are_capacities { sending } else { sending.min(1.0) };
        let pressure = load / usual_load
            * if stretch > CONGESTED_HIT_STRETCH_RATIO { sending.max(stretch) } else { usual_pressure };
        // Under light traffic the usual load is close to zero, and a single transfer must not count as
        // overload.
        if self.settings.weights_are_capacities {
            pressure.min(load * MAX_WEIGHT_ERROR_RATIO)
        } else {
            pressure
        }
    }
}
