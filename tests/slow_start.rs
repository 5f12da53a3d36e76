//! Slow start of stores, with fleets of gateways in virtual time: whichever kind of attempt brings work to a store that
//! is warming up, the sum over all gateways stays within the limit of the settings in every window.

mod common;
use common::{MS, SECOND, fleet, settings};
use rstest::rstest;
use sagearch::broker::{AttemptReport, Broker, NextStep, PlannedAttempt, Verdict, Waiter};
use sagearch::interface::*;
use sagearch_identity::Caller;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

const START: Micros = 100 * SECOND;
const TICK: Micros = 10 * MS;
/// Indices of classes in the settings. Writes run at the origin; stale copies of the last class are revalidated in the
/// background.
const READ_CLASS: usize = 0;
const WRITE_CLASS: usize = 1;
const REVALIDATED_CLASS: usize = 3;
/// The bit that marks the request id of a lookup.
const LOOKUP_BIT: u64 = 1 << 63;
const COLD_CACHE: u32 = 1;
const COLD_PARENT: u32 = 11;
/// The number of concurrent transfers of each store at full capacity, equal to its weight.
const CAPACITY_TRANSFERS: f64 = 8.0;

/// A workload and its faults. The probabilities of faults and kinds of requests are shares of all requests.
#[derive(Clone, Copy, Default)]
struct Scenario {
    /// The number of requests per second over all gateways.
    requests_per_second: f64,
    duration: Micros,
    seeds: u64,
    /// The share of hits, for which the cache asks no fill source.
    hits: f64,
    /// The share of attempts that the store rejects.
    rejected: f64,
    /// The share of attempts whose connection is reset.
    reset: f64,
    /// The share of attempts that get no response.
    unanswered: f64,
    /// The share of lookups: each is a health check, followed by the client's request to the same store.
    lookups: f64,
    /// The share of requests that state no size.
    unsized_requests: f64,
    /// The ratio of the largest to the smallest size; most sizes are small.
    size_ratio: f64,
    /// The maximum time from the choice of a store to the first byte written.
    max_connect_time: Micros,
    /// The time after which the cold store restarts.
    store_restart: Option<Micros>,
    /// The interval at which all gateways restart, twice.
    gateway_restart_interval: Option<Micros>,
    /// The time after its own start at which a gateway learns of the cold store.
    discovery_delay: Micros,
    hedging: bool,
    class: usize,
    /// Whether no cache is listed, so that parents serve requests directly.
    without_caches: bool,
}

/// The scenario from which the others differ: every request misses, and no fault occurs.
const MISSES: Scenario = Scenario {
    requests_per_second: 1_500.0,
    duration: 3 * SECOND,
    seeds: 1,
    hits: 0.0,
    rejected: 0.0,
    reset: 0.0,
    unanswered: 0.0,
    lookups: 0.0,
    unsized_requests: 0.0,
    size_ratio: 1.0,
    max_connect_time: 0,
    store_restart: None,
    gateway_restart_interval: None,
    discovery_delay: 0,
    hedging: false,
    class: READ_CLASS,
    without_caches: false,
};

/// The verdicts that gateways have delivered and the simulation has not yet handled.
#[derive(Clone, Default)]
struct Decisions(Rc<RefCell<Vec<Verdict>>>);

impl Waiter for Decisions {
    fn deliver(&self, verdict: Verdict) {
        self.0.borrow_mut().push(verdict);
    }

    fn withdraw(&self, _: u32) {}
}

/// A scheduled event of the simulation.
enum SimulationEvent {
    Request,
    Write(PlannedAttempt),
    Response { planned: PlannedAttempt, outcome: Outcome, detail: Detail },
}

/// Simulates the gateways of a fleet, their clients and a store that is warming up.
struct FleetSimulation {
    scenario: Scenario,
    settings: Settings,
    /// The id of the store that is warming up.
    cold_store: u32,
    mean_size_kb: f64,
    random_state: u64,
    gateways: Vec<Broker<Decisions>>,
    /// The time of each scheduled event and its index in `events`; events of the same time run in the order in which
    /// they were scheduled.
    queue: BinaryHeap<Reverse<(Micros, usize)>>,
    /// The scheduled events, each with the index of its gateway; `None` once taken or dropped.
    events: Vec<Option<(usize, SimulationEvent)>>,
    decisions: Decisions,
    request_count: u64,
    /// The last start of the cold store.
    started: Micros,
    /// The times at which work arrived at the cold store since then.
    arrivals: Vec<Micros>,
}

impl FleetSimulation {
    fn new(
        gateways: u32,
        cold_store: u32,
        mean_size_kb: f64,
        scenario: Scenario,
        seed: u64,
    ) -> FleetSimulation {
        let zones = vec![Zone { routers: gateways }, Zone { routers: 0 }];
        let (hedging, direct_requests) = (scenario.hedging, scenario.class != WRITE_CLASS);
        let settings = Settings { zones, routers: gateways, hedging, direct_requests, ..settings() };
        let mut simulation = FleetSimulation {
            scenario,
            settings,
            cold_store,
            mean_size_kb,
            random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            gateways: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            decisions: Decisions::default(),
            request_count: 0,
            started: START,
            arrivals: Vec::new(),
        };
        simulation.gateways = (0..gateways).map(|_| simulation.start_gateway(START)).collect();
        simulation
    }

    /// Returns a uniform random number from 0 to below 1.
    fn random_fraction(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with this probability.
    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random_fraction() < probability
    }

    /// Starts a gateway.
    fn start_gateway(&mut self, now: Micros) -> Broker<Decisions> {
        let mut broker = Broker::new(self.settings.clone(), self.random_state);
        self.random_fraction();
        let is_delayed = self.scenario.discovery_delay > 0;
        let known_members =
            self.members().into_iter().filter(|member| !is_delayed || member.id.0 != self.cold_store);
        broker.members(now, ListKind::Complete, known_members.collect());
        broker
    }

    /// Returns the member list of discovery.
    fn members(&self) -> Vec<Member> {
        let with_start = |member: Member| Member {
            started: (member.id.0 == self.cold_store).then_some(self.started),
            ..member
        };
        let is_listed = |member: &Member| !self.scenario.without_caches || member.role != Role::Cache;
        fleet().into_iter().filter(is_listed).map(with_start).collect()
    }

    /// Notifies all gateways of the state of the cold store.
    fn notify_gateways(&mut self, now: Micros) {
        let changes: Vec<Member> =
            self.members().into_iter().filter(|member| member.id.0 == self.cold_store).collect();
        for gateway in &mut self.gateways {
            gateway.members(now, ListKind::Changes, changes.clone());
        }
    }

    fn schedule(&mut self, due: Micros, gateway: usize, event: SimulationEvent) {
        self.queue.push(Reverse((due, self.events.len())));
        self.events.push(Some((gateway, event)));
    }

    /// Runs the scenario. Returns the times at which work arrived at the cold store since its last start, and the time of
    /// that start.
    fn run(mut self) -> (Vec<Micros>, Micros) {
        self.schedule(START, 0, SimulationEvent::Request);
        let restart_interval = self.scenario.gateway_restart_interval;
        let mut restarts = restart_interval
            .into_iter()
            .flat_map(|interval| [START + interval, START + 2 * interval])
            .peekable();
        let discovery_delay = self.scenario.discovery_delay;
        let mut notifications: Vec<Micros> =
            [START + discovery_delay].into_iter().filter(|_| discovery_delay > 0).collect();
        let (mut now, end) = (START, START + self.scenario.duration);
        while now < end {
            now += TICK;
            while self.queue.peek().is_some_and(|Reverse((due, _))| *due <= now) {
                let Some(Reverse((due, index))) = self.queue.pop() else { break };
                let (gateway, event) = self.events[index].take().expect("each event is queued once");
                self.handle_event(due, gateway, event);
            }
            for gateway in 0..self.gateways.len() {
                self.gateways[gateway].tick(now);
                self.apply_decisions(now, gateway);
            }
            if restarts.next_if(|due| *due <= now).is_some() {
                // Attempts in flight end with the previous processes; future requests remain.
                let is_request = |event: &Option<(usize, SimulationEvent)>| {
                    matches!(event, Some((_, SimulationEvent::Request)))
                };
                self.events
                    .iter_mut()
                    .filter(|event| event.is_some() && !is_request(event))
                    .for_each(|event| *event = None);
                self.queue.retain(|Reverse((_, index))| self.events[*index].is_some());
                self.gateways = (0..self.gateways.len()).map(|_| self.start_gateway(now)).collect();
                notifications.extend((discovery_delay > 0).then_some(now + discovery_delay));
            }
            if notifications.pop_if(|due| *due <= now).is_some() {
                self.notify_gateways(now);
            }
            if self.started == START && self.scenario.store_restart.is_some_and(|delay| START + delay <= now)
            {
                (self.started, self.arrivals) = (now, Vec::new());
                self.notify_gateways(now);
            }
        }
        (self.arrivals, self.started)
    }

    fn handle_event(&mut self, now: Micros, gateway: usize, event: SimulationEvent) {
        match event {
            SimulationEvent::Request => {
                let next = now
                    + (-(1.0 - self.random_fraction()).ln() / self.scenario.requests_per_second * 1e6)
                        as Micros
                    + 1;
                self.schedule(next, 0, SimulationEvent::Request);
                // The distribution is skewed: the first gateways receive several times the mean.
                let gateway =
                    (self.random_fraction() * self.random_fraction() * self.gateways.len() as f64) as usize;
                self.send_request(now, gateway);
            }
            SimulationEvent::Write(planned) if self.gateways[gateway].may_send(now, &planned) => {
                self.write_attempt(now, gateway, planned);
            }
            SimulationEvent::Write(planned) => {
                self.report_outcome(now, gateway, &planned, Outcome::NotSent, Detail::Unspecified);
            }
            SimulationEvent::Response { planned, outcome, detail } => {
                self.report_outcome(now, gateway, &planned, outcome, detail);
            }
        }
    }

    fn send_request(&mut self, now: Micros, gateway: usize) {
        self.request_count += 1;
        let is_lookup = self.chance(self.scenario.lookups);
        let states_size = !is_lookup && !self.chance(self.scenario.unsized_requests);
        let request = Request {
            id: RequestId(if is_lookup { LOOKUP_BIT | self.request_count } else { self.request_count }),
            class: Some(self.scenario.class),
            timeout: SECOND,
            size_kb: if states_size { self.random_size_kb() } else { 0.0 },
            object: format!("o{}", self.request_count),
            is_lookup,
            ..Request::default()
        };
        let decisions = self.decisions.clone();
        let verdict = self.gateways[gateway].pick(now, request, Caller::anonymous(), decisions);
        self.handle_verdict(now, gateway, verdict);
        self.apply_decisions(now, gateway);
    }

    /// Returns a random size with a log-uniform distribution around the scenario's mean.
    fn random_size_kb(&mut self) -> f64 {
        let size_ratio = self.scenario.size_ratio;
        if size_ratio <= 1.0 {
            return self.mean_size_kb;
        }
        let mean = (size_ratio - 1.0) / size_ratio.ln();
        self.mean_size_kb * size_ratio.powf(self.random_fraction()) / mean
    }

    fn apply_decisions(&mut self, now: Micros, gateway: usize) {
        let verdicts = std::mem::take(&mut *self.decisions.0.borrow_mut());
        for verdict in verdicts {
            self.handle_verdict(now, gateway, Some(verdict));
        }
    }

    fn handle_verdict(&mut self, now: Micros, gateway: usize, verdict: Option<Verdict>) {
        if let Some(Verdict::Attempt(planned)) = verdict {
            let connect_time = (self.random_fraction() * self.scenario.max_connect_time as f64) as Micros;
            self.schedule(now + connect_time, gateway, SimulationEvent::Write(planned));
        }
    }

    fn report_outcome(
        &mut self,
        now: Micros,
        gateway: usize,
        planned: &PlannedAttempt,
        outcome: Outcome,
        detail: Detail,
    ) {
        let report = AttemptReport { outcome, detail, load: Load::default() };
        let next = self.gateways[gateway].report(now, planned.request, planned.attempt, report);
        if let NextStep::Verdict(verdict) = next {
            self.handle_verdict(now, gateway, Some(verdict));
        }
        self.apply_decisions(now, gateway);
    }

    /// Records that work arrives at a store, if it is the cold one.
    fn record_arrival(&mut self, now: Micros, store: Option<MemberId>) {
        if store == Some(MemberId(self.cold_store)) {
            self.arrivals.push(now);
        }
    }

    /// Writes an attempt to the store, and schedules its response.
    fn write_attempt(&mut self, now: Micros, gateway: usize, planned: PlannedAttempt) {
        self.record_arrival(now, Some(planned.member));
        let source = planned.fill.and_then(|fill| fill.source).filter(|source| *source != planned.member);
        let response_time = 30 * MS + (self.random_fraction() * 40.0) as Micros * MS;
        let (outcome, detail) = if self.chance(self.scenario.unanswered) {
            return;
        } else if self.chance(self.scenario.rejected) {
            (Outcome::Rejected, Detail::Unspecified)
        } else if self.chance(self.scenario.reset) {
            (Outcome::Reset, Detail::Unspecified)
        } else if planned.request.0 & LOOKUP_BIT != 0 {
            // The client sends its request to the same store.
            self.record_arrival(now, Some(planned.member));
            (Outcome::Checked, Detail::Unspecified)
        } else if self.chance(self.scenario.hits) {
            if self.scenario.class == REVALIDATED_CLASS {
                self.record_arrival(now, source);
            }
            (Outcome::Served, Detail::Hit)
        } else {
            self.record_arrival(now, source);
            (Outcome::Served, Detail::Filled)
        };
        self.schedule(now + response_time, gateway, SimulationEvent::Response { planned, outcome, detail });
    }
}

/// Returns the number of requests of the mean size that the settings allow in a window that begins at this age.
fn allowed_requests(rule: SlowStartRule, age: Micros, size_kb: f64) -> f64 {
    CAPACITY_TRANSFERS * rule.share(age) * rule.multiple * seconds(rule.window) / (size_kb / 1_000.0)
}

/// Adds the operators' tolerance for random variation to a number of requests.
fn with_tolerance(requests: f64) -> f64 {
    if requests < 30.0 {
        requests + 3.0 * requests.sqrt() + 3.0
    } else {
        requests + 2.0 * requests.sqrt() + 2.0
    }
}

#[rstest]
#[case::misses(MISSES)]
#[case::hits_and_misses(Scenario { hits: 0.5, ..MISSES })]
#[case::mostly_hits(Scenario { hits: 0.9, ..MISSES })]
#[case::background_revalidation(Scenario { hits: 0.7, class: REVALIDATED_CLASS, ..MISSES })]
#[case::writes_through_caches(Scenario { rejected: 0.2, class: WRITE_CLASS, ..MISSES })]
#[case::direct_requests_to_parents(Scenario { without_caches: true, ..MISSES })]
#[case::retries(Scenario { rejected: 0.4, reset: 0.2, ..MISSES })]
#[case::hedged_requests(Scenario { unanswered: 0.1, hedging: true, ..MISSES })]
#[case::lookups(Scenario { lookups: 0.5, ..MISSES })]
#[case::lookups_only(Scenario { lookups: 1.0, ..MISSES })]
#[case::sizes_mostly_unstated(Scenario { unsized_requests: 0.9, ..MISSES })]
#[case::mixed_sizes(
    Scenario { size_ratio: 3_000.0, requests_per_second: 12_000.0, duration: SECOND, seeds: 4, ..MISSES }
)]
#[case::slow_connects(Scenario { max_connect_time: 400 * MS, ..MISSES })]
#[case::attempts_in_flight_at_store_restart(
    Scenario { max_connect_time: 400 * MS, store_restart: Some(1_500 * MS), ..MISSES }
)]
#[case::gateway_restarts(Scenario { gateway_restart_interval: Some(600 * MS), ..MISSES })]
#[case::gateway_restarts_with_late_discovery(
    Scenario { gateway_restart_interval: Some(600 * MS), discovery_delay: 200 * MS, ..MISSES }
)]
#[case::combined(Scenario {
    hits: 0.5, rejected: 0.2, reset: 0.1, unanswered: 0.05, size_ratio: 30.0, max_connect_time: 100 * MS,
    hedging: true, ..MISSES
})]
fn cold_store_receives_no_more_than_the_settings_allow(
    #[case] scenario: Scenario,
    #[values(1, 2, 5, 30, 300)] gateways: u32,
    #[values(COLD_CACHE, COLD_PARENT)] cold_store: u32,
    #[values(100.0, 1_000.0)] size_kb: f64,
) {
    let rule =
        if cold_store == COLD_CACHE { settings().cache_slow_start } else { settings().parent_slow_start };
    let mut worst: (f64, String) = (0.0, String::new());
    for seed in 1..=scenario.seeds {
        let (arrivals, started) = FleetSimulation::new(gateways, cold_store, size_kb, scenario, seed).run();
        let mut end = 0;
        for (first, window_start) in arrivals.iter().enumerate() {
            while arrivals.get(end).is_some_and(|arrival| *arrival < window_start + rule.window) {
                end += 1;
            }
            let age = window_start.saturating_sub(started);
            let (count, limit) = ((end - first) as f64, with_tolerance(allowed_requests(rule, age, size_kb)));
            if count / limit > worst.0 {
                worst = (
                    count / limit,
                    format!(
                        "seed {seed}: {count} requests in the window from an age of {} ms, limit {limit:.1}",
                        age / MS
                    ),
                );
            }
        }
    }
    println!(
        "{} gateways, store {cold_store}, {size_kb} KB: {:.2} of the limit ({})",
        gateways, worst.0, worst.1
    );
    assert!(worst.0 <= 1.0, "{}", worst.1);
}
