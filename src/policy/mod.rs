//! The decisions of a gateway, one module for each, with its constants. Events and actions are types of
//! `src/interface.rs`. Nothing here does I/O, reads a clock or starts threads.
//!
//! The ordinary path: `lifecycle` takes a request in, `popularity` counts its object, `routing` picks
//! the first cache in rendezvous order, `fill_source` the first parent, and the cache keeps the copy at a
//! rank set by the count. Everything else is an exception whose comment names the fault that it covers.

mod admission;
mod attempt_timeout;
mod copy_age;
mod endpoints;
mod fill_source;
mod fill_waits;
mod hedging;
mod learning;
mod lifecycle;
mod load;
mod origin;
mod outlier_detection;
mod popularity;
mod retry_budget;
mod routing;
mod slow_start;

use crate::average::Recent;
use crate::freshness::Freshness;
use crate::hash::{self, mix};
use crate::interface::{Action, Event, MemberId, Micros, RequestId, Settings, SharedRetryBudget, seconds};
use crate::purges::Purges;
use crate::state::{Attempt, Learned, MemberRecord, RequestState, SendingTime};
use retry_budget::MAX_RETRY_BUDGET;
use std::collections::BTreeMap;

/// Ticks between a decision and the last moment for its answer or effect.
const DEADLINE_MARGIN_TICKS: Micros = 2;

/// The decisions of one gateway.
#[derive(Default)]
pub struct Router {
    pub(crate) settings: Settings,
    /// The time of the latest event.
    now: Micros,
    random: u64,
    /// Processes that are this gateway now: during an upgrade two share its slow-start budgets.
    pub(crate) processes: f64,
    members: BTreeMap<MemberId, MemberRecord>,
    /// When the first list came. The process before this one may have sent requests until then.
    first_list_at: Option<Micros>,
    /// Members that operators took out of service, and since when.
    out_of_service: BTreeMap<MemberId, Micros>,
    /// Members that may be sent requests: the caches of the own zone, all parents, all origins.
    usable: [Vec<MemberId>; 3],
    pub(crate) learned: Learned,
    /// When each ratio of fill waits was last updated.
    fill_wait_updated_at: [Micros; 2],
    /// When request counts are halved next.
    next_halving: Option<Micros>,
    requests: BTreeMap<RequestId, RequestState>,
    /// When objects and groups were last purged.
    purges: Purges,
    pub(crate) freshness: Freshness,
    /// Retries that are saved up.
    retry_budget: f64,
    /// The same for requests that run at the origin.
    origin_retry_budget: f64,
    pub(crate) shared_retry_budget: SharedRetryBudget,
    /// Priorities of recent requests.
    recent_priorities: Recent,
}

/// Where a decision appends its actions.
type Actions<'a> = &'a mut Vec<Action>;

impl Router {
    /// A router that has learned nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let learned = Learned { miss_rates: [1.0, 0.5, 0.25, 0.1], fill_delay: 0.15, ..Learned::default() };
        let retry_budget = MAX_RETRY_BUDGET / 2.0;
        let mut router = Router { random: seed, retry_budget, processes: 1.0, ..Router::default() };
        router.resume(learned, settings);
        router.origin_retry_budget = 1.0 + router.random_unit();
        router
    }

    /// Resumes with what another process has learned, or under new settings. Classes keep their indices.
    pub fn resume(&mut self, learned: Learned, settings: Settings) {
        (self.learned, self.settings) = (learned, settings);
        self.learned.sending_times.resize(self.settings.classes.len(), SendingTime::default());
        self.refresh_usable();
    }

    /// Members of which a record is kept.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Takes in one event and appends the actions that follow.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.age_popularity();
        let id = match event {
            Event::Members { kind, members } => return self.update_members(kind, members),
            Event::Purged { object, group, ago } => {
                return self.record_purge(object.as_deref(), group, ago);
            }
            Event::SlicePurged { slice, slice_count, ago } => {
                return self.purges.enter_slice(slice, slice_count, self.now.saturating_sub(ago));
            }
            Event::Freshness { lease, revalidations_per_second } => {
                return self.freshness.renew(self.now, lease, revalidations_per_second);
            }
            Event::Streaming { .. } => return,
            Event::Request(request) => self.start_request(request, actions),
            Event::Outcome { request, attempt, outcome, detail, elapsed, finished, load, .. } => {
                let end = |it: &mut Attempt| {
                    (it.outcome, it.detail, it.duration) = (Some(outcome), detail, seconds(elapsed));
                };
                let ended = self.end_attempt(request, attempt, end);
                if let Some(attempt) = &ended {
                    self.learn_load(attempt.member, load);
                    self.learn_from_attempt(request, attempt);
                }
                if finished {
                    self.finish(request, actions);
                } else if ended.is_some() {
                    self.start_next_attempt(request, actions);
                }
                request
            }
            Event::Abandoned { request } => self.finish(request, actions),
            Event::Timer(timer) => self.handle_timer(RequestId(timer.0), actions),
            Event::Ending { deadline } => {
                return self
                    .requests
                    .values_mut()
                    .for_each(|state| state.deadline = state.deadline.min(deadline));
            }
            Event::SettingsReplaced(settings) => {
                let learned = std::mem::take(&mut self.learned);
                return self.resume(learned, settings);
            }
            Event::OutOfService(member) => {
                self.out_of_service.entry(member).or_insert(self.now);
                return self.refresh_usable();
            }
            Event::ReturnedToService { member, started } => {
                return self.return_to_service(member, started);
            }
        };
        let done = |state: &RequestState| {
            state.finished && state.attempts.iter().all(|attempt| attempt.outcome.is_some())
        };
        if self.requests.get(&id).is_some_and(done) {
            self.requests.remove(&id);
        }
    }

    /// A random number between 0 and 1.
    fn random_unit(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash::unit_interval(mix(self.random))
    }
}
