//! A gateway's broker in virtual time, with members, clients and operators drawn by a seed. Everything that the broker
//! decides is written down with its time.

use super::budget::Budget;
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
/// 14 s: counts are halved once, and members that started early are warm.
const ROUNDS: u64 = 7_000;
/// How long a process is stopped, half-way through a scenario.
const PAUSE: Micros = 61 * SECOND;
/// The rounds in which all that is open comes to its end.
const LAST_ROUNDS: u64 = 2_000;
const FIRST_NEW_MEMBER: u32 = 40;
const LEASE: Micros = 1_700 * MS;
const REVALIDATIONS_PER_SECOND: u32 = 20;
/// The time that an ending process leaves its requests.
const ENDS_WITHIN: Micros = 600 * MS;
const OBJECTS: u64 = 40;
const GROUPS: u64 = 8;
const SLICES: u32 = 64;

enum Message {
    Verdict(u64, Verdict),
    GiveUp(u64, u32),
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
        self.messages.borrow_mut().push(Message::GiveUp(self.request, attempt));
    }
}

/// An attempt that is out: it is written to its connection, and then it may end.
struct Attempt {
    planned: PlannedAttempt,
    written: Option<Micros>,
    end: Option<(Micros, AttemptReport)>,
}

/// Something that happens around the gateway.
type Happening = fn(&mut BrokerWorld);

pub struct BrokerWorld {
    workload: Workload,
    settings: Settings,
    broker: Broker<Mailbox>,
    messages: Rc<RefCell<Vec<Message>>>,
    members: BTreeMap<MemberId, Member>,
    taken_out: Vec<MemberId>,
    open: BTreeMap<u64, BTreeMap<u32, Attempt>>,
    lookups: BTreeSet<u64>,
    random: u64,
    now: Micros,
    requests: u64,
    next_member: u32,
    processes: u8,
    drained: bool,
    text: String,
}

impl BrokerWorld {
    pub fn new(settings: Settings, workload: Workload, seed: u64) -> BrokerWorld {
        let members = fleet().into_iter().map(|member| (member.id, member)).collect();
        let mut world = BrokerWorld {
            broker: Broker::new(settings.clone(), seed),
            settings,
            workload,
            messages: Rc::default(),
            members,
            taken_out: Vec::new(),
            open: BTreeMap::new(),
            lookups: BTreeSet::new(),
            random: seed,
            now: SECOND,
            requests: 0,
            next_member: FIRST_NEW_MEMBER,
            processes: 1,
            drained: false,
            text: String::new(),
        };
        world.start_broker();
        world
    }

    /// Plays to the end. The text of all decisions.
    pub fn play(mut self) -> String {
        for number in 0..ROUNDS {
            if self.workload.pauses && number == ROUNDS / 2 {
                self.now += PAUSE;
            }
            self.round();
            self.happenings();
        }
        if self.workload.ends {
            self.broker.end_by(self.now, self.now + ENDS_WITHIN);
        }
        for _ in 0..LAST_ROUNDS {
            self.round();
        }
        assert_eq!((self.open.len(), self.broker.open_requests()), (0, 0), "requests that never ended");
        let learned = serde_json::to_value(self.broker.learned()).unwrap();
        self.write(format_args!("learned {}", encoding::stored(&learned)));
        self.text
    }

    fn start_broker(&mut self) {
        self.broker.members(self.now, ListKind::Complete, self.members.values().cloned().collect());
        if self.workload.shared_budget {
            self.broker.set_shared_retry_budget(Box::new(Budget::full(self.now)));
        }
    }

    fn write(&mut self, line: std::fmt::Arguments) {
        writeln!(self.text, "{} {line}", self.now).unwrap();
    }

    /// A number below the bound (splitmix64).
    fn below(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1_000) < per_mille
    }

    /// One round of virtual time: what has come due in the broker, and at the members.
    fn round(&mut self) {
        self.now += ROUND;
        self.broker.tick(self.now);
        self.take_messages();
        self.write_attempts();
        self.end_attempts();
    }

    fn take_messages(&mut self) {
        loop {
            let messages: Vec<Message> = self.messages.borrow_mut().drain(..).collect();
            if messages.is_empty() {
                return;
            }
            for message in messages {
                match message {
                    Message::Verdict(request, verdict) => self.follow(request, verdict),
                    Message::GiveUp(request, attempt) => self.give_up(request, attempt),
                }
            }
        }
    }

    fn give_up(&mut self, request: u64, attempt: u32) {
        self.write(format_args!("give-up request={request} number={attempt}"));
        self.open.get_mut(&request).into_iter().for_each(|attempts| drop(attempts.remove(&attempt)));
    }

    /// Attempts whose connection is up are asked about once more, and written.
    fn write_attempts(&mut self) {
        let now = self.now;
        let due = self.attempts(|attempt| attempt.written.is_some_and(|at| at <= now));
        for (request, number) in due {
            let Some(attempt) = self.open.get_mut(&request).and_then(|open| open.get_mut(&number)) else {
                continue;
            };
            attempt.written = None;
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
        let due = self.attempts(|attempt| attempt.end.is_some_and(|(at, _)| at <= now));
        for (request, number) in due {
            let attempt = self.open.get(&request).and_then(|open| open.get(&number));
            let Some((_, how)) = attempt.and_then(|attempt| attempt.end) else { continue };
            self.report(request, number, how);
        }
    }

    fn attempts(&self, wanted: impl Fn(&Attempt) -> bool) -> Vec<(u64, u32)> {
        let all = self.open.iter().flat_map(|(request, attempts)| {
            attempts.iter().map(move |(number, attempt)| (*request, *number, attempt))
        });
        all.filter(|(.., attempt)| wanted(attempt)).map(|(request, number, _)| (request, number)).collect()
    }

    fn report(&mut self, request: u64, number: u32, how: AttemptReport) {
        let attempt = self.open.get_mut(&request).and_then(|open| open.remove(&number));
        let Some(attempt) = attempt else { return };
        let next = match how.outcome {
            Outcome::Checked => self.broker.report_health_check_passed(self.now, &attempt.planned),
            _ => self.broker.report(self.now, RequestId(request), number, how),
        };
        self.write(format_args!("ended request={request} number={number} next=({})", encoding::next(&next)));
        match next {
            NextStep::Done => drop(self.open.remove(&request)),
            NextStep::Verdict(verdict) => self.follow(request, verdict),
            NextStep::Wait => {}
        }
    }

    fn follow(&mut self, request: u64, verdict: Verdict) {
        self.write(format_args!("verdict request={request} {}", encoding::verdict(&verdict)));
        match verdict {
            Verdict::Attempt(planned) => self.send(planned),
            Verdict::Refused { .. } | Verdict::Failed => drop(self.open.remove(&request)),
        }
    }

    fn send(&mut self, planned: PlannedAttempt) {
        let written = self.now + self.below(15) * ROUND;
        let end = self.draw_end(&planned).map(|how| {
            let took = 5 * MS + self.below(self.workload.slowest);
            (written + took, how)
        });
        let attempts = self.open.get_mut(&planned.request.0).expect("an attempt of an open request");
        attempts.insert(planned.attempt, Attempt { planned, written: Some(written), end });
    }

    /// How an attempt ends; `None`: it gets no answer.
    fn draw_end(&mut self, planned: &PlannedAttempt) -> Option<AttemptReport> {
        if self.chance(self.workload.silences) {
            return None;
        }
        let (outcome, detail) = if self.chance(self.workload.failures) {
            self.draw_failure()
        } else {
            self.draw_success(planned)
        };
        let load = Load {
            inflight: self.chance(700).then(|| self.below(12) as f64),
            busy: self.chance(300).then(|| self.below(100) as f64 / 100.0),
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
        failures[self.below(failures.len() as u64) as usize]
    }

    fn draw_success(&mut self, planned: &PlannedAttempt) -> (Outcome, Detail) {
        if self.lookups.contains(&planned.request.0) {
            return (Outcome::Checked, Detail::Unspecified);
        }
        let only_looked = planned.fill.is_some_and(|fill| fill.cached_only || fill.source.is_none());
        if only_looked && self.chance(500) {
            return (Outcome::Miss, Detail::Unspecified);
        }
        let details =
            [Detail::Hit, Detail::Hit, Detail::Filled, Detail::FilledByOrigin, Detail::Joined, Detail::Stale];
        (Outcome::Served, details[self.below(details.len() as u64) as usize])
    }

    /// What happens around the gateway between two rounds.
    fn happenings(&mut self) {
        let workload = self.workload;
        let kinds: [(u64, Happening); 14] = [
            (workload.requests, |world| world.ask(false)),
            (workload.name_lookups, |world| world.ask(true)),
            (workload.abandons, BrokerWorld::abandon),
            (workload.member_changes, BrokerWorld::change_member),
            (workload.new_members, BrokerWorld::add_member),
            (workload.complete_lists, BrokerWorld::list_all),
            (workload.object_purges, BrokerWorld::purge_object),
            (workload.group_purges, BrokerWorld::purge_group),
            (workload.slice_purges, BrokerWorld::purge_slice),
            (workload.operator_changes, BrokerWorld::operate),
            (workload.settings_changes, BrokerWorld::change_settings),
            (workload.lease_renewals, BrokerWorld::renew_lease),
            (workload.process_changes, BrokerWorld::change_processes),
            (workload.takeovers, BrokerWorld::take_over),
        ];
        for (per_mille, happens) in kinds {
            if self.chance(per_mille) {
                happens(self);
                self.take_messages();
            }
        }
    }

    fn ask(&mut self, is_lookup: bool) {
        self.requests += 1;
        let id = self.requests;
        let class = if is_lookup { 0 } else { self.below(4) as usize };
        let request = Request {
            id: RequestId(id),
            class: (!self.chance(5)).then_some(class),
            timeout: 100 * MS + self.below(2_900) * MS,
            size_kb: if is_lookup { 0.0 } else { 5.0 + self.below(400) as f64 },
            object: self.object(),
            part: self.below(3) as u32,
            purge_group: self.chance(800).then(|| self.below(GROUPS)),
            is_lookup,
        };
        self.open.insert(id, BTreeMap::new());
        if is_lookup {
            self.lookups.insert(id);
        }
        let waiter = Mailbox { messages: self.messages.clone(), request: id };
        match self.broker.pick(self.now, request, Caller::anonymous(), waiter) {
            Some(verdict) => self.follow(id, verdict),
            None => self.write(format_args!("waits request={id}")),
        }
    }

    fn object(&mut self) -> String {
        // Two draws: some objects are asked for much more often than others.
        let bound = 1 + self.below(OBJECTS);
        format!("o{}", self.below(bound))
    }

    fn abandon(&mut self) {
        let Some(id) = self.pick_open() else { return };
        self.broker.abandon(self.now, RequestId(id));
        self.open.remove(&id);
        self.write(format_args!("abandoned request={id} open={}", self.broker.open_requests()));
    }

    fn pick_open(&mut self) -> Option<u64> {
        let place = self.below(self.open.len().max(1) as u64) as usize;
        self.open.keys().nth(place).copied()
    }

    fn pick_member(&mut self) -> MemberId {
        let place = self.below(self.members.len() as u64) as usize;
        *self.members.keys().nth(place).expect("there are members")
    }

    /// A member goes on to its next state: draining, gone, and serving anew, mostly as a new process.
    fn change_member(&mut self) {
        let id = self.pick_member();
        let restarted = self.chance(700);
        let now = self.now;
        let member = self.members.get_mut(&id).expect("listed");
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
        let weight = 2.0 + self.below(14) as f64;
        let added = Member { started, weight, ..member(self.next_member, role) };
        self.next_member += 1;
        self.members.insert(added.id, added.clone());
        self.broker.members(self.now, ListKind::Changes, vec![added]);
    }

    fn list_all(&mut self) {
        let left_out = self.chance(250).then(|| self.pick_member());
        let listed = self.members.values().filter(|member| Some(member.id) != left_out).cloned().collect();
        self.broker.members(self.now, ListKind::Complete, listed);
    }

    fn purge_object(&mut self) {
        let (object, ago) = (self.object(), self.below(300) * MS);
        self.broker.purged(self.now, Some(object), None, ago);
    }

    fn purge_group(&mut self) {
        let (group, ago) = (self.below(GROUPS), self.below(300) * MS);
        self.broker.purged(self.now, None, Some(group), ago);
    }

    fn purge_slice(&mut self) {
        let (slice, ago) = (self.below(u64::from(SLICES)) as u32, self.below(300) * MS);
        self.broker.slice_purged(self.now, slice, SLICES, ago);
    }

    fn operate(&mut self) {
        if self.chance(200) {
            self.drained = !self.drained;
            self.broker.set_draining(self.now, self.drained);
            let drained = self.broker.draining_since();
            return self.write(format_args!("drained={}", drained.unwrap_or(0)));
        }
        let id = self.pick_member();
        match self.taken_out.iter().position(|out| *out == id) {
            Some(place) => {
                self.taken_out.remove(place);
                self.broker.return_to_service(self.now, id, self.now);
            }
            None => {
                self.taken_out.push(id);
                self.broker.take_out_of_service(self.now, id);
            }
        }
        let serving = self.broker.is_serving(id);
        self.write(format_args!("serving={serving} member={}", id.0));
    }

    /// One setting changes; classes keep their places.
    fn change_settings(&mut self) {
        let now = self.now;
        match self.below(6) {
            0 => self.settings.hedging = !self.settings.hedging,
            1 => self.settings.sibling_fills = !self.settings.sibling_fills,
            2 => self.settings.routers = 1 + self.below(30) as u32,
            3 => self.settings.max_backoff = self.chance(500).then_some(SECOND),
            4 => self.settings.cache_slow_start.multiple = 1.5 + self.below(4) as f64,
            _ => self.settings.direct_requests = !self.settings.direct_requests,
        }
        self.broker.replace_settings(now, self.settings.clone());
    }

    fn renew_lease(&mut self) {
        let mut lease = Lease::new(LEASE, 10, SECOND);
        if self.chance(800) {
            lease.renew(self.now.saturating_sub(self.below(500) * MS));
        }
        self.broker.renew_freshness(self.now, lease, REVALIDATIONS_PER_SECOND);
        let report = encoding::freshness(self.broker.freshness(self.now));
        self.write(format_args!("freshness {report}"));
    }

    fn change_processes(&mut self) {
        self.processes = 3 - self.processes;
        self.broker.set_process_count(self.processes);
    }

    /// A new process goes on from what this one has learned, as it is handed over: as stored. What was open goes with
    /// the old process.
    fn take_over(&mut self) {
        self.open.clear();
        let stored = serde_json::to_string(&self.broker.learned()).unwrap();
        let seed = self.below(u64::MAX);
        self.broker = Broker::new(self.settings.clone(), seed);
        self.start_broker();
        self.broker.take_over(serde_json::from_str(&stored).unwrap());
        self.write(format_args!("taken over"));
    }
}
