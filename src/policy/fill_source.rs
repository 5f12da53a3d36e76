//! Selection of the source of a fill, and the conditions that are sent with the fill.

use super::routing::OUTLIER_RATIO;
use super::{Actions, Router};
use crate::average::lower_median;
use crate::interface::{Fill, MemberId, Micros, Outcome, RequestId, Role};
use crate::state::RequestState;

/// Load below which another cache of the location may be the source of a fill, as a ratio to capacity.
const SIBLING_MAX_LOAD: f64 = 3.0;
/// A parent is slow if its fills wait longer than `OUTLIER_RATIO` times the median of the parents plus this
/// margin.
const SLOW_PARENT_MARGIN_SECONDS: f64 = 0.3;

/// How much younger than the last purge a copy must be.
const PURGE_AGE_MARGIN: Micros = 1_000;

impl Router {
    /// Sends an attempt with the conditions of its fill: its source, and the maximum age of a copy. With
    /// `cached_only` the source answers only from its cache.
    pub(super) fn send_with_fill(
        &mut self,
        id: RequestId,
        target: MemberId,
        source: Option<MemberId>,
        cached_only: bool,
        actions: Actions,
    ) {
        let state = &self.requests[&id];
        let known_purge = self.recent_purge(state);
        // Without a valid lease, copies made before the floor may have been purged without notice.
        let assumed_purge = self.freshness.purge_floor(self.now).filter(|floor| known_purge < Some(*floor));
        let purge = known_purge.max(assumed_purge);
        let fresh = self.settings.classes[state.class].fresh;
        // Neither the cache nor the source may serve a copy older than the purge, and a fill in progress may
        // have begun before it, so it is not joined. A limit of 0 would allow any age and is never sent.
        let limit = purge.map(|purged_at| (self.now - purged_at).saturating_sub(PURGE_AGE_MARGIN).max(1));
        let max_age = limit.filter(|limit| fresh.is_none_or(|fresh| *limit < fresh));
        // A budget bounds the revalidations caused by an expired lease, so that they do not overload the
        // origin.
        let revalidates = assumed_purge.is_some() && max_age.is_some() && source.is_some() && !cached_only;
        if revalidates && !self.freshness.spend(self.now) {
            return self.reject(id, actions);
        }
        let join = self.settings.joins_fills && purge.is_none();
        // Aging copies are revalidated in the background, so that a slow origin does not turn popular hits
        // into misses.
        let background_refresh = fresh.is_some() && !cached_only;
        let fill =
            Fill { source, cache_rank: state.cache_rank, max_age, join, cached_only, background_refresh };
        self.send_attempt(id, target, Some(fill), actions);
        let sent_attempt = self.requests.get_mut(&id).and_then(|state| state.attempts.last_mut());
        if let Some(attempt) = sent_attempt {
            attempt.revalidates = revalidates;
        }
    }

    /// Returns another cache of the location that is likely to hold the object: the cache that the request
    /// overflowed from, or the one that served the object before `cache` started. A fill from there saves
    /// ingress bandwidth of the location, which is scarce when a release empties caches.
    pub(super) fn pick_sibling(&self, state: &RequestState, cache: MemberId) -> Option<MemberId> {
        let order = self.rendezvous_order(Role::Cache, state.routing_key);
        let started = self.members[&cache].member.started;
        let is_new =
            started.is_some_and(|started| self.now < started + 2 * self.settings.cache_slow_start.warm_up);
        let may_use_sibling = self.settings.sibling_fills && (is_new || order.first() != Some(&cache));
        let is_warm_sibling = |id: &MemberId| *id != cache && self.capacity_share(&self.members[id]) >= 1.0;
        let sibling = order.into_iter().find(is_warm_sibling).filter(|_| may_use_sibling)?;
        (self.is_healthy(sibling) && self.load(sibling) < SIBLING_MAX_LOAD).then_some(sibling)
    }

    /// Returns the source of a fill: the first usable parent in rendezvous order, or the origin if there is
    /// none.
    pub(super) fn pick_source(&mut self, id: RequestId) -> Option<MemberId> {
        self.pick_upstream(id, |_, _| true)
    }

    /// Returns the member that serves the request itself where no cache does: chosen like a source, among
    /// the members that may run the request.
    pub(super) fn pick_upstream_target(&mut self, id: RequestId) -> Option<MemberId> {
        self.pick_upstream(id, |router, member| router.in_idempotency_group(&router.requests[&id], member))
    }

    /// Returns the first usable and permitted parent in rendezvous order, or else the first permitted origin.
    fn pick_upstream(
        &mut self,
        id: RequestId,
        is_permitted: impl Fn(&Router, MemberId) -> bool,
    ) -> Option<MemberId> {
        let state = &self.requests[&id];
        let (key, work, failed_sources) =
            (state.routing_key, self.slow_start_work(state), state.failed_sources.clone());
        let mut parents = self.without_ejected(self.rendezvous_order(Role::Parent, key));
        parents.retain(|id| !failed_sources.contains(id) && is_permitted(self, *id));
        // Slow parents are ordered after the others. Their learned waits decay, so that they are tried again.
        let wait = |id: &MemberId| self.fill_wait(*id).max(self.longest_overdue(*id));
        let median_wait = lower_median(parents.iter().map(wait));
        let attempts = &self.requests[&id].attempts;
        let timed_out = |id| {
            attempts.iter().any(|attempt| attempt.source == id && attempt.outcome == Some(Outcome::TimedOut))
        };
        parents.sort_by_key(|id| {
            timed_out(Some(*id)) || wait(id) > median_wait * OUTLIER_RATIO + SLOW_PARENT_MARGIN_SECONDS
        });
        let parent = parents.into_iter().find(|id| self.charge_slow_start(*id, work));
        let mut origins = self.rendezvous_order(Role::Origin, key).into_iter();
        parent.or_else(|| origins.find(|id| is_permitted(self, *id)))
    }
}
