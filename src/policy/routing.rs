//! Routing of cacheable requests to a cache or, when no cache is usable, to a parent.

use super::admission::shed_share;
use super::{Actions, Router};
use crate::interface::{MemberId, Outcome, RequestId, Role};
use crate::state::Attempt;

/// Load from which requests for a hot object are sent to the next cache, as a ratio to capacity.
const HOT_OBJECT_MAX_LOAD: f64 = 1.5;
/// Ratio to the value of its peers from which a member is avoided; applies to its load and to its fill waits.
pub(super) const OUTLIER_RATIO: f64 = 2.0;

impl Router {
    /// Sends an attempt of a request of a cacheable class, or sheds the request.
    pub(super) fn serve_cacheable(&mut self, id: RequestId, actions: Actions) {
        let picked_cache = self.pick_cache(id);
        let source =
            if picked_cache.is_some() { self.pick_source(id) } else { self.pick_upstream_target(id) };
        let state = &self.requests[&id];
        // The wait for fills that the source had cached is capped by the wait for all fills, so that a stale
        // average does not outlast a fault.
        let [learned_wait, cached_fill_wait] = self.learned.fill_wait_ratios;
        let fill_wait = learned_wait.max(self.current_fill_wait());
        let (fetch_shed_share, fill_shed_share) =
            (shed_share(fill_wait), shed_share(fill_wait.min(cached_fill_wait)));
        let (sheds_fetches, priority) = (fetch_shed_share > 0.0, self.priority_rank(state));
        let Some(cache) = picked_cache else {
            // No cache is usable: a parent serves the request directly, if that is allowed. The origin is
            // named as source because a parent that is its own source fetches nothing. The answer uses the
            // ingress link of the location, like a miss.
            let is_admitted =
                |parent: &MemberId| priority >= fetch_shed_share && !self.is_shed(state, self.load(*parent));
            let origin = self.rendezvous_order(Role::Origin, state.routing_key).first().copied();
            return match source.filter(|_| self.settings.direct_requests).filter(is_admitted) {
                Some(parent) => self.send_with_fill(id, parent, origin.or(Some(parent)), false, actions),
                None => self.reject(id, actions),
            };
        };
        if self.is_shed(state, self.load(cache)) {
            return self.reject(id, actions);
        }
        if state.attempts.is_empty() && sheds_fetches {
            // A sibling cache may hold a copy. It is asked only while links are congested; otherwise caches
            // are the scarce resource.
            let sibling = self.pick_sibling(state, cache);
            return self.send_with_fill(id, cache, sibling, sibling.is_some(), actions);
        }
        let missed = sheds_fetches && state.attempts.last().is_some_and(Attempt::missed_lookup);
        if missed && priority < fill_shed_share {
            return self.reject(id, actions);
        }
        let source_is_parent = source.is_some_and(|source| self.role(source) == Role::Parent);
        self.send_with_fill(
            id,
            cache,
            source,
            missed && source_is_parent && priority < fetch_shed_share,
            actions,
        );
    }

    /// Returns the first cache in rendezvous order that may run the request, is healthy, within its budget of
    /// the slow start and not far more loaded than its peers. Requests for a hot object overflow at a lower
    /// load, so that hot objects are cached at several nodes.
    pub(super) fn pick_cache(&mut self, id: RequestId) -> Option<MemberId> {
        let state = &self.requests[&id];
        let (rank, work) = (state.cache_rank, self.slow_start_work(state));
        // A cache that has answered other requests since an attempt without an answer was sent there is
        // healthy: the answer was lost or the fill is slow, and a retry finds the copy or joins the fill.
        let answered_others = |attempt: &Attempt| {
            let no_answer = matches!(attempt.outcome, None | Some(Outcome::TimedOut));
            no_answer && self.members[&attempt.member].last_success > Some(attempt.sent_at)
        };
        // An answer that broke off has left its copy at the cache, and an unsent attempt shows no fault: one
        // retry there is allowed.
        let may_repeat =
            |attempt: &Attempt| matches!(attempt.outcome, Some(Outcome::Reset | Outcome::NotSent));
        let is_unusable = |id: &MemberId| {
            let earlier = state.attempts.iter().filter(|attempt| attempt.member == *id);
            earlier
                .clone()
                .any(|attempt| !attempt.missed_lookup() && !answered_others(attempt) && !may_repeat(attempt))
                || earlier.filter(|attempt| may_repeat(attempt)).count() > 1
        };
        let mut caches = self.without_ejected(self.rendezvous_order(Role::Cache, state.routing_key));
        caches.retain(|id| !is_unusable(id) && self.in_idempotency_group(state, *id));
        let outlier_load = self.learned.usual_load[Role::Cache as usize] * OUTLIER_RATIO;
        let max_load = if rank == 3 { HOT_OBJECT_MAX_LOAD } else { HOT_OBJECT_MAX_LOAD.max(outlier_load) };
        caches.sort_by_key(|id| self.load(*id) >= max_load);
        caches.into_iter().find(|id| self.charge_slow_start(*id, work))
    }
}
