//! Simulation of a gateway's broker in virtual time, with seeded random events from members, clients and operators. The
//! transcript holds all decisions of the broker with their time.

use super::budget::StubRetryBudget;
use super::common::{MS, SECOND, fleet, member};
use super::encoding;
use super::scenarios::Workload;
use sagearch::broker::{AttemptReport, Broker, NextStep, PlannedAttempt, Verdict, Waiter};
use sagearch::interface::*;
use sagearch_feed::lease::Lease;
use sagearch_identity::Caller;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::rc::Rc;

const ROUND: Micros = 2 * MS;
/// 14 s: long enough for counts to be halved once, and for members that started early to finish their warm-up.
const ROUNDS: u64 = 7_000;
/// The duration of the suspension of a process, halfway through a scenario.
const SUSPENSION: Micros = 61 * SECOND;
/// Rounds without new events, in which all open requests end.
const FINAL_ROUNDS: u64 = 2_000;
const FIRST_NEW_MEMBER: u32 = 40;
const LEASE_DURATION: Micros = 1_700 * MS;
const REVALIDATIONS_PER_SECOND: u32 = 20;
/// The time that a process that shuts down allows for its open requests.
const SHUTDOWN_TIMEOUT: Micros = 600 * MS;
const OBJECTS: u64 = 40;
const GROUPS: u64 = 8;
const SLICES: u32 = 64;

/// A message from the broker to the waiter of a request, with the request's number.
enum Message {
    Verdict(u64, Verdict),
    Withdraw(u64, u32),
}

#[derive(Clone)]
struct Mailbox {
    messages: Rc<RefCell<Vec<Message>>>,
    request: u64,
}

impl Waiter for Mailbox {
    fn deliver(&self, verdict: Verdict) {
        self.messages.borrow_mut().push(Message::Verdict(self.request, verdict));
    }

    fn withdraw(&self, attempt: u32) {
        self.messages.borrow_mut().push(Message::Withdraw(self.request, attempt));
    }
}

/// An attempt in flight: it is written to its connection, after which it may end.
struct Attempt {
    planned: PlannedAttempt,
    write_at: Option<Micros>,
    end: Option<(Micros, AttemptReport)>,
}

/// A handler that generates an event around the gateway.
type EventGenerator = fn(&mut BrokerSimulation);

/// Simulates the members, clients and operators of a gateway.
pub struct BrokerSimulation {
    workload: Workload,
    settings: Settings,
    broker: Broker<Mailbox>,
    messages: Rc<RefCell<Vec<Message>>>,
    members: BTreeMap<MemberId, Member>,
    out_of_service: Vec<MemberId>,
    open_requests: BTreeMap<u64, BTreeMap<u32, Attempt>>,
    lookups: BTreeSet<u64>,
    random_state: u64,
    now: Micros,
    request_count: u64,
    next_member: u32,
    process_count: u8,
    drained: bool,
    transcript: String,
}

impl BrokerSimulation {
    pub fn new(settings: Settings, workload: Workload, seed: u64) -> BrokerSimulation {
        let members = fleet().into_iter().map(|member| (member.id, member)).collect();
        let mut simulation = BrokerSimulation {
            broker: Broker::new(settings.clone(), seed),
            settings,
            workload,
            messages: Rc::default(),
            members,
            out_of_service: Vec::new(),
            open_requests: BTreeMap::new(),
            lookups: BTreeSet::new(),
            random_state: seed,
            now: SECOND,
            request_count: 0,
            next_member: FIRST_NEW_MEMBER,
            process_count: 1,
            drained: false,
            transcript: String::new(),
        };
        simulation.start_broker();
        simulation
    }

    /// Runs to the end and returns the transcript of all decisions.
    pub fn run(mut self) -> String {
        for number in 0..ROUNDS {
            if self.workload.suspends && number == ROUNDS / 2 {
                self.now += SUSPENSION;
            }
            self.round();
            self.generate_events();
        }
        if self.workload.shuts_down {
            self.broker.end_by(self.now, self.now + SHUTDOWN_TIMEOUT);
        }
        for _ in 0..FINAL_ROUNDS {
            self.round();
        }
        assert_eq!(
            (self.open_requests.len(), self.broker.open_requests()),
            (0, 0),
            "requests still open at the end, in the simulation and in the broker"
        );
        let learned = serde_json::to_value(self.broker.learned()).unwrap();
        self.write(format_args!("learned {}", encoding::stored_value(&learned)));
        self.transcript
    }

    fn start_broker(&mut self) {
        self.broker.members(self.now, ListKind::Complete, self.members.values().cloned().collect());
        if self.workload.shared_budget {
            self.broker.set_shared_retry_budget(Box::new(StubRetryBudget::full(self.now)));
        }
    }

    fn write(&mut self, line: std::fmt::Arguments) {
        writeln!(self.transcript, "{} {line}", self.now).unwrap();
    }

    /// Returns a random number below the bound (splitmix64).
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Returns true with this probability.
    fn chance(&mut self, per_mille: u64) -> bool {
        self.random_below(1_000) < per_mille
    }

    /// Advances virtual time by one round, and handles what is due in the broker and at the members.
    fn round(&mut self) {
        self.now += ROUND;
        self.broker.tick(self.now);
        self.deliver_messages();
        self.write_attempts();
        self.end_attempts();
    }

    fn deliver_messages(&mut self) {
        loop {
            let messages: Vec<Message> = self.messages.borrow_mut().drain(..).collect();
            if messages.is_empty() {
                return;
            }
            for message in messages {
                match message {
                    Message::Verdict(request, verdict) => self.apply_verdict(request, verdict),
                    Message::Withdraw(request, attempt) => self.withdraw(request, attempt),
                }
            }
        }
    }

    fn withdraw(&mut self, request: u64, attempt: u32) {
        self.write(format_args!("give-up request={request} number={attempt}"));
        self.open_requests.get_mut(&request).into_iter().for_each(|attempts| drop(attempts.remove(&attempt)));
    }

    /// Writes the attempts whose connection is established. The broker is asked first whether each may still be sent.
    fn write_attempts(&mut self) {
        let now = self.now;
        let due = self.select_attempts(|attempt| attempt.write_at.is_some_and(|due| due <= now));
        for (request, number) in due {
            let Some(attempt) = self.open_requests.get_mut(&request).and_then(|open| open.get_mut(&number))
            else {
                continue;
            };
            attempt.write_at = None;
            let planned = attempt.planned.clone();
            let allowed = self.broker.may_send(now, &planned);
            self.write(format_args!("written={allowed} request={request} number={number}"));
            if !allowed {
                self.report(request, number, Outcome::NotSent.into());
            }
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let due = self.select_attempts(|attempt| attempt.end.is_some_and(|(due, _)| due <= now));
        for (request, number) in due {
            let attempt = self.open_requests.get(&request).and_then(|open| open.get(&number));
            let Some((_, report)) = attempt.and_then(|attempt| attempt.end) else { continue };
            self.report(request, number, report);
        }
    }

    fn select_attempts(&self, predicate: impl Fn(&Attempt) -> bool) -> Vec<(u64, u32)> {
        let all = self.open_requests.iter().flat_map(|(request, attempts)| {
            attempts.iter().map(move |(number, attempt)| (*request, *number, attempt))
        });
        all.filter(|(.., attempt)| predicate(attempt)).map(|(request, number, _)| (request, number)).collect()
    }

    fn report(&mut self, request: u64, number: u32, report: AttemptReport) {
        let attempt = self.open_requests.get_mut(&request).and_then(|open| open.remove(&number));
        let Some(attempt) = attempt else { return };
        let next = match report.outcome {
            Outcome::Checked => self.broker.report_health_check_passed(self.now, &attempt.planned),
            _ => self.broker.report(self.now, RequestId(request), number, report),
        };
        self.write(format_args!(
            "ended request={request} number={number} next=({})",
            encoding::next_step(&next)
        ));
        match next {
            NextStep::Done => drop(self.open_requests.remove(&request)),
            NextStep::Verdict(verdict) => self.apply_verdict(request, verdict),
            NextStep::Wait => {}
        }
    }

    fn apply_verdict(&mut self, request: u64, verdict: Verdict) {
        self.write(format_args!("verdict request={request} {}", encoding::verdict(&verdict)));
        match verdict {
            Verdict::Attempt(planned) => self.start_attempt(planned),
            Verdict::Refused { .. } | Verdict::Failed => drop(self.open_requests.remove(&request)),
        }
    }

    fn start_attempt(&mut self, planned: PlannedAttempt) {
        let write_at = self.now + self.random_below(15) * ROUND;
        let end = self.draw_outcome(&planned).map(|report| {
            let response_time = 5 * MS + self.random_below(self.workload.max_response_time);
            (write_at + response_time, report)
        });
        let attempts =
            self.open_requests.get_mut(&planned.request.0).expect("the attempt belongs to an open request");
        attempts.insert(planned.attempt, Attempt { planned, write_at: Some(write_at), end });
    }

    /// Draws the outcome of an attempt. `None` if it gets no response.
    fn draw_outcome(&mut self, planned: &PlannedAttempt) -> Option<AttemptReport> {
        if self.chance(self.workload.unanswered) {
            return None;
        }
        let (outcome, detail) = if self.chance(self.workload.failures) {
            self.draw_failure()
        } else {
            self.draw_success(planned)
        };
        let load = Load {
            inflight: self.chance(700).then(|| self.random_below(12) as f64),
            busy: self.chance(300).then(|| self.random_below(100) as f64 / 100.0),
        };
        Some(AttemptReport { outcome, detail, load })
    }

    fn draw_failure(&mut self) -> (Outcome, Detail) {
        let failures = [
            (Outcome::Rejected, Detail::Unspecified),
            (Outcome::Rejected, Detail::SourceRefused),
            (Outcome::Rejected, Detail::OriginFailed),
            (Outcome::Rejected, Detail::NoFillPlace),
            (Outcome::Failed, Detail::Unspecified),
            (Outcome::Failed, Detail::SourceLost),
            (Outcome::Reset, Detail::Unspecified),
            (Outcome::Unreachable, Detail::Unspecified),
            (Outcome::NotSent, Detail::Unspecified),
            (Outcome::Miss, Detail::SourceLacks),
            (Outcome::Unknown, Detail::Unspecified),
        ];
        failures[self.random_below(failures.len() as u64) as usize]
    }

    fn draw_success(&mut self, planned: &PlannedAttempt) -> (Outcome, Detail) {
        if self.lookups.contains(&planned.request.0) {
            return (Outcome::Checked, Detail::Unspecified);
        }
        let answers_from_cache_only =
            planned.fill.is_some_and(|fill| fill.cached_only || fill.source.is_none());
        if answers_from_cache_only && self.chance(500) {
            return (Outcome::Miss, Detail::Unspecified);
        }
        let details =
            [Detail::Hit, Detail::Hit, Detail::Filled, Detail::FilledByOrigin, Detail::Joined, Detail::Stale];
        (Outcome::Served, details[self.random_below(details.len() as u64) as usize])
    }

    /// Generates the random events between two rounds.
    fn generate_events(&mut self) {
        let workload = self.workload;
        let generators: [(u64, EventGenerator); 14] = [
            (workload.requests, |simulation| simulation.send_request(false)),
            (workload.lookups, |simulation| simulation.send_request(true)),
            (workload.abandons, BrokerSimulation::abandon),
            (workload.member_changes, BrokerSimulation::change_member),
            (workload.new_members, BrokerSimulation::add_member),
            (workload.complete_lists, BrokerSimulation::send_complete_list),
            (workload.object_purges, BrokerSimulation::purge_object),
            (workload.group_purges, BrokerSimulation::purge_group),
            (workload.slice_purges, BrokerSimulation::purge_slice),
            (workload.operator_changes, BrokerSimulation::apply_operator_change),
            (workload.settings_changes, BrokerSimulation::change_settings),
            (workload.lease_renewals, BrokerSimulation::renew_lease),
            (workload.process_changes, BrokerSimulation::change_process_count),
            (workload.upgrades, BrokerSimulation::upgrade),
        ];
        for (per_mille, generate) in generators {
            if self.chance(per_mille) {
                generate(self);
                self.deliver_messages();
            }
        }
    }

    fn send_request(&mut self, is_lookup: bool) {
        self.request_count += 1;
        let id = self.request_count;
        let class = if is_lookup { 0 } else { self.random_below(4) as usize };
        let request = Request {
            id: RequestId(id),
            class: (!self.chance(5)).then_some(class),
            timeout: 100 * MS + self.random_below(2_900) * MS,
            size_kb: if is_lookup { 0.0 } else { 5.0 + self.random_below(400) as f64 },
            object: self.object(),
            part: self.random_below(3) as u32,
            purge_group: self.chance(800).then(|| self.random_below(GROUPS)),
            is_lookup,
        };
        self.open_requests.insert(id, BTreeMap::new());
        if is_lookup {
            self.lookups.insert(id);
        }
        let waiter = Mailbox { messages: self.messages.clone(), request: id };
        match self.broker.pick(self.now, request, Caller::anonymous(), waiter) {
            Some(verdict) => self.apply_verdict(id, verdict),
            None => self.write(format_args!("waits request={id}")),
        }
    }

    fn object(&mut self) -> String {
        // Two draws make some objects much more popular than others.
        let bound = 1 + self.random_below(OBJECTS);
        format!("o{}", self.random_below(bound))
    }

    fn abandon(&mut self) {
        let Some(id) = self.pick_open() else { return };
        self.broker.abandon(self.now, RequestId(id));
        self.open_requests.remove(&id);
        self.write(format_args!("abandoned request={id} open={}", self.broker.open_requests()));
    }

    fn pick_open(&mut self) -> Option<u64> {
        let index = self.random_below(self.open_requests.len().max(1) as u64) as usize;
        self.open_requests.keys().nth(index).copied()
    }

    fn pick_member(&mut self) -> MemberId {
        let index = self.random_below(self.members.len() as u64) as usize;
        *self.members.keys().nth(index).expect("the member list is not empty")
    }

    /// Changes a member to its next state: draining, gone, or serving again, mostly as a new process.
    fn change_member(&mut self) {
        let id = self.pick_member();
        let restarted = self.chance(700);
        let now = self.now;
        let member = self.members.get_mut(&id).expect("the member is listed");
        if member.role == Role::Origin {
            return;
        }
        match member.state {
            MemberState::Serving => member.state = MemberState::Draining,
            MemberState::Draining => member.state = MemberState::Gone,
            MemberState::Gone => {
                member.state = MemberState::Serving;
                member.started = if restarted { Some(now) } else { member.started };
            }
        }
        let changed = member.clone();
        self.broker.members(now, ListKind::Changes, vec![changed]);
    }

    fn add_member(&mut self) {
        let role = if self.chance(700) { Role::Cache } else { Role::Parent };
        let started = self.chance(700).then_some(self.now);
        let weight = 2.0 + self.random_below(14) as f64;
        let added = Member { started, weight, ..member(self.next_member, role) };
        self.next_member += 1;
        self.members.insert(added.id, added.clone());
        self.broker.members(self.now, ListKind::Changes, vec![added]);
    }

    fn send_complete_list(&mut self) {
        let omitted = self.chance(250).then(|| self.pick_member());
        let listed = self.members.values().filter(|member| Some(member.id) != omitted).cloned().collect();
        self.broker.members(self.now, ListKind::Complete, listed);
    }

    fn purge_object(&mut self) {
        let (object, ago) = (self.object(), self.random_below(300) * MS);
        self.broker.purged(self.now, Some(object), None, ago);
    }

    fn purge_group(&mut self) {
        let (group, ago) = (self.random_below(GROUPS), self.random_below(300) * MS);
        self.broker.purged(self.now, None, Some(group), ago);
    }

    fn purge_slice(&mut self) {
        let (slice, ago) = (self.random_below(u64::from(SLICES)) as u32, self.random_below(300) * MS);
        self.broker.slice_purged(self.now, slice, SLICES, ago);
    }

    fn apply_operator_change(&mut self) {
        if self.chance(200) {
            self.drained = !self.drained;
            self.broker.set_draining(self.now, self.drained);
            let drained = self.broker.draining_since();
            return self.write(format_args!("drained={}", drained.unwrap_or(0)));
        }
        let id = self.pick_member();
        match self.out_of_service.iter().position(|member| *member == id) {
            Some(index) => {
                self.out_of_service.remove(index);
                self.broker.return_to_service(self.now, id, self.now);
            }
            None => {
                self.out_of_service.push(id);
                self.broker.take_out_of_service(self.now, id);
            }
        }
        let serving = self.broker.is_serving(id);
        self.write(format_args!("serving={serving} member={}", id.0));
    }

    /// Changes one setting. Classes keep their indices.
    fn change_settings(&mut self) {
        let now = self.now;
        match self.random_below(6) {
            0 => self.settings.hedging = !self.settings.hedging,
            1 => self.settings.sibling_fills = !self.settings.sibling_fills,
            2 => self.settings.routers = 1 + self.random_below(30) as u32,
            3 => self.settings.max_backoff = self.chance(500).then_some(SECOND),
            4 => self.settings.cache_slow_start.multiple = 1.5 + self.random_below(4) as f64,
            _ => self.settings.direct_requests = !self.settings.direct_requests,
        }
        self.broker.replace_settings(now, self.settings.clone());
    }

    fn renew_lease(&mut self) {
        let mut lease = Lease::new(LEASE_DURATION, 10, SECOND);
        if self.chance(800) {
            lease.renew(self.now.saturating_sub(self.random_below(500) * MS));
        }
        self.broker.renew_freshness(self.now, lease, REVALIDATIONS_PER_SECOND);
        let report = encoding::freshness(self.broker.freshness(self.now));
        self.write(format_args!("freshness {report}"));
    }

    fn change_process_count(&mut self) {
        self.process_count = 3 - self.process_count;
        self.broker.set_process_count(self.process_count);
    }

    /// Starts a new process with the learned state of the previous one, in its stored form. Open requests end with the
    /// previous process.
    fn upgrade(&mut self) {
        self.open_requests.clear();
        let stored = serde_json::to_string(&self.broker.learned()).unwrap();
        let seed = self.random_below(u64::MAX);
        self.broker = Broker::new(self.settings.clone(), seed);
        self.start_broker();
        self.broker.take_over(serde_json::from_str(&stored).unwrap());
        self.write(format_args!("taken over"));
    }
}
