//! A model of the event feed for `stateright`, with the real lease and watermark. It covers all orders of events in
//! small configurations: messages are lost, duplicated, delayed and reordered (a sent message stays in the network and
//! may be delivered at any time or never), processes pause (a step may never happen), and crash with the loss of all
//! state. Clock rates are within the drift.
//!
//! There are one or two relays. The first one receives the reports of the second one, and reports completion.

use sagearch_feed::lease::{Lease, age_upper_bound, expired_everywhere_after};
use sagearch_feed::message::Identity;
use sagearch_feed::relay::Settings;
use sagearch_feed::relay::report::{CompletionReason, Report};
use sagearch_feed::relay::watermark::Watermark;
use stateright::{Model, Property};
use std::collections::BTreeSet;

const LEASE_DURATION_MICROS: u64 = 2_000;
const DRIFT_PER_MILLE: u32 = 100;
/// The duration of a tick in true time.
const TICK_MICROS: u64 = 1_000;
/// The initial time on all clocks; all processes have been running for long.
const START_MICROS: u64 = 1_000_000;
/// A retention after which no subscriber is forgotten within the model.
const FORGET_AFTER_MICROS: u64 = 1_000_000_000;
/// The maximum delay of a message, which exceeds the lease duration.
const MAX_DELAY_TICKS: u64 = 2;
/// The time recorded for every poll. The actual time would only increase the number of states, as no subscriber is
/// forgotten.
const POLL_TIME_MICROS: u64 = START_MICROS;
pub const RELAYS: usize = 2;
/// The relay that reports completion.
const WATERMARK_RELAY: usize = 0;
/// The peer relay that sends its reports to [`WATERMARK_RELAY`].
const REPORTING_PEER: usize = 1;
/// The offset of the purge.
const PURGE_OFFSET: u64 = 1;

#[derive(Clone)]
pub struct Feed {
    /// The number of relays: one without a peer, or two.
    pub relays: usize,
    /// The maximum number of steps; `None` for no limit.
    pub depth: Option<usize>,
    /// Whether the purge has been published initially and is known to [`WATERMARK_RELAY`].
    pub starts_with_purge: bool,
    /// The clock rates of the relays, in thousandths of true time.
    pub relay_clock_rates: [u64; RELAYS],
    /// The clock rates of the subscribers, in thousandths of true time.
    pub subscriber_clock_rates: Vec<u64>,
    pub ticks: u64,
    pub relay_crashes: u8,
    pub subscriber_crashes: u8,
    pub budget: Budget,
}

/// The number of messages of each kind that may still be sent, and the number that may still be delivered twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// The polls of the bus by each relay.
    pub bus_polls: [u8; RELAYS],
    pub polls: u8,
    pub reports: u8,
    pub duplicates: u8,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageBody {
    /// The answer of the bus to the poll of a relay, with the state of the bus when the poll was sent.
    BusAnswer {
        relay: usize,
        incarnation: u64,
        sent: u64,
        offset: u64,
    },
    Poll {
        relay: usize,
        subscriber: usize,
        incarnation: u64,
        sent: u64,
        from: u64,
    },
    Answer {
        subscriber: usize,
        incarnation: u64,
        sent: u64,
        offset: u64,
        age: u64,
    },
    Report {
        offset: u64,
        complete: bool,
        /// The name, incarnation and offset of each subscriber.
        subscribers: Vec<(String, u64, u64)>,
    },
}

/// The tick at which a message was sent, and its content. Messages are ordered by the tick.
pub type Message = (u64, MessageBody);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayState {
    incarnation: u64,
    offset: u64,
    as_of: Option<u64>,
    watermark: Watermark,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SubscriberState {
    incarnation: u64,
    offset: u64,
    lease: Lease,
}

/// A state of the model: the processes, the messages in the network and the remaining budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    tick: u64,
    purged_at_tick: Option<u64>,
    relays: Vec<RelayState>,
    subscribers: Vec<SubscriberState>,
    network: BTreeSet<Message>,
    budget: Budget,
    relay_crashes: u8,
    subscriber_crashes: u8,
    /// Whether [`WATERMARK_RELAY`] has reported the purge complete because all subscribers have acknowledged it. That
    /// must stay true.
    acknowledged: bool,
    /// Whether [`WATERMARK_RELAY`] has reported the purge complete because of lease expiry.
    leases_expired: bool,
}

impl SystemState {
    fn send(&mut self, body: MessageBody) {
        self.network.insert((self.tick, body));
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Tick,
    Purge,
    /// The relay polls the bus.
    PollBus(usize),
    /// The subscriber (first field) polls the relay (second field).
    PollRelay(usize, usize),
    /// [`REPORTING_PEER`] reports to [`WATERMARK_RELAY`].
    SendReport,
    Deliver(Message),
    /// Delivers a message that stays in the network for another delivery.
    DeliverTwice(Message),
    CrashRelay(usize),
    CrashSubscriber(usize),
}

fn clock(tick: u64, rate: u64) -> u64 {
    START_MICROS + tick * TICK_MICROS * rate / 1_000
}

fn relay_name(relay: usize) -> String {
    format!("r{relay}")
}

fn watermark(relays: usize, relay: usize, now: u64) -> Watermark {
    let peers = (0..relays).filter(|other| *other != relay).map(relay_name).collect();
    let settings = Settings {
        lease: LEASE_DURATION_MICROS,
        drift_per_mille: DRIFT_PER_MILLE,
        forget_after: FORGET_AFTER_MICROS,
        ..Settings::new(&relay_name(relay), peers)
    };
    Watermark::new(&settings, now)
}

impl Feed {
    fn relay_clock(&self, system: &SystemState, relay: usize) -> u64 {
        clock(system.tick, self.relay_clock_rates[relay])
    }

    fn subscriber_clock(&self, system: &SystemState, subscriber: usize) -> u64 {
        clock(system.tick, self.subscriber_clock_rates[subscriber])
    }

    fn deliver(&self, system: &mut SystemState, body: MessageBody) -> Option<()> {
        match body {
            MessageBody::BusAnswer { relay, incarnation, sent, offset } => {
                let now = self.relay_clock(system, relay);
                let state = &mut system.relays[relay];
                (state.incarnation == incarnation).then_some(())?;
                state.offset = state.offset.max(offset);
                state.as_of = state.as_of.max(Some(sent));
                state.watermark.record_known(now, None, state.offset);
            }
            MessageBody::Poll { relay, subscriber, incarnation, sent, from } => {
                let now = self.relay_clock(system, relay);
                let state = &mut system.relays[relay];
                let age = now - state.as_of?;
                let identity = Identity { name: subscriber.to_string(), incarnation };
                state.watermark.acknowledge(POLL_TIME_MICROS, &identity, from);
                let offset = state.offset;
                system.send(MessageBody::Answer { subscriber, incarnation, sent, offset, age });
            }
            MessageBody::Answer { subscriber, incarnation, sent, offset, age } => {
                let state = &mut system.subscribers[subscriber];
                (state.incarnation == incarnation && offset >= state.offset).then_some(())?;
                state.offset = offset;
                state.lease.renew(sent - age_upper_bound(age, DRIFT_PER_MILLE));
            }
            MessageBody::Report { offset, complete, subscribers } => {
                let subscriber_report = |(name, incarnation, offset)| {
                    let (via, silent_ms) = (relay_name(REPORTING_PEER), 0);
                    sagearch_feed::relay::report::SubscriberReport {
                        name,
                        incarnation,
                        offset,
                        silent_ms,
                        via,
                    }
                };
                let subscribers = subscribers.into_iter().map(subscriber_report).collect();
                let (relay, age_ms) = (relay_name(REPORTING_PEER), None);
                let report = Report { relay, feed: None, offset, age_ms, complete, subscribers };
                system.relays[WATERMARK_RELAY].watermark.apply_peer_report(
                    POLL_TIME_MICROS,
                    &relay_name(REPORTING_PEER),
                    &report,
                );
            }
        }
        Some(())
    }

    fn send_report(&self, system: &mut SystemState) {
        let now = self.relay_clock(system, REPORTING_PEER);
        let state = &system.relays[REPORTING_PEER];
        let complete = state.as_of.is_some() && state.watermark.knows_all_subscribers(now);
        let own = state.watermark.own_subscribers(POLL_TIME_MICROS).into_iter();
        let subscribers =
            own.map(|subscriber| (subscriber.name, subscriber.incarnation, subscriber.offset)).collect();
        let offset = state.offset;
        system.send(MessageBody::Report { offset, complete, subscribers });
    }

    /// Records the completion that [`WATERMARK_RELAY`] reports now, which must stay true.
    fn record_completion(&self, system: &mut SystemState) {
        let now = self.relay_clock(system, WATERMARK_RELAY);
        match system.relays[WATERMARK_RELAY]
            .watermark
            .completion(now, PURGE_OFFSET)
            .map(|completion| completion.reason)
        {
            Some(CompletionReason::Acknowledged) => system.acknowledged = true,
            Some(CompletionReason::LeasesExpired) => system.leases_expired = true,
            None => {}
        }
    }

    /// Whether the subscriber still uses a copy made just before the purge.
    fn uses_purged_copy(&self, system: &SystemState, subscriber: usize) -> bool {
        let Some(purged_at_tick) = system.purged_at_tick else { return false };
        let state = &system.subscribers[subscriber];
        let copied_at = clock(purged_at_tick, self.subscriber_clock_rates[subscriber]) - 1;
        let floor = state.lease.purge_floor(self.subscriber_clock(system, subscriber));
        state.offset < PURGE_OFFSET && floor.is_none_or(|floor| copied_at >= floor)
    }

    fn has_lease_without_purge(&self, system: &SystemState, subscriber: usize) -> bool {
        let state = &system.subscribers[subscriber];
        state.offset < PURGE_OFFSET && !state.lease.is_expired(self.subscriber_clock(system, subscriber))
    }

    fn any_subscriber(
        &self,
        system: &SystemState,
        predicate: fn(&Feed, &SystemState, usize) -> bool,
    ) -> bool {
        (0..self.subscriber_clock_rates.len()).any(|subscriber| predicate(self, system, subscriber))
    }

    /// Whether the purge becomes complete, and no subscriber uses a purged copy, if there are no faults from
    /// now on.
    fn completes_without_faults(&self, system: &SystemState) -> bool {
        let mut system = system.clone();
        system.network.clear();
        // Long enough for the reports of restarted relays to be complete.
        system.tick +=
            2 * expired_everywhere_after(LEASE_DURATION_MICROS, DRIFT_PER_MILLE).div_ceil(TICK_MICROS);
        system.purged_at_tick = system.purged_at_tick.or(Some(system.tick));
        system.budget = Budget { bus_polls: [1; RELAYS], polls: u8::MAX, reports: 1, duplicates: 0 };
        let mut steps: Vec<Action> = (0..self.relays).map(Action::PollBus).collect();
        let polls = (0..self.subscriber_clock_rates.len()).map(|subscriber| Action::PollRelay(subscriber, 0));
        // The second poll acknowledges the events in the answer to the first one.
        steps.extend(polls.clone().chain(polls));
        steps.extend((1..self.relays).map(|_| Action::SendReport));
        for step in steps {
            self.apply_action(&mut system, step);
            while let Some((_, body)) = system.network.pop_first() {
                self.deliver(&mut system, body);
            }
        }
        let now = self.relay_clock(&system, WATERMARK_RELAY);
        system.relays[WATERMARK_RELAY].watermark.completion(now, PURGE_OFFSET).is_some()
            && !self.any_subscriber(&system, Feed::uses_purged_copy)
    }

    fn apply_action(&self, system: &mut SystemState, action: Action) -> Option<()> {
        match action {
            Action::Tick => {
                system.tick += 1;
                let tick = system.tick;
                system.network.retain(|(sent, _)| tick - sent <= MAX_DELAY_TICKS);
            }
            Action::Purge => system.purged_at_tick = Some(system.tick),
            Action::PollBus(relay) => {
                system.budget.bus_polls[relay] -= 1;
                let sent = self.relay_clock(system, relay);
                let incarnation = system.relays[relay].incarnation;
                let offset = if system.purged_at_tick.is_some() { PURGE_OFFSET } else { 0 };
                system.send(MessageBody::BusAnswer { relay, incarnation, sent, offset });
            }
            Action::PollRelay(subscriber, relay) => {
                system.budget.polls -= 1;
                let sent = self.subscriber_clock(system, subscriber);
                let SubscriberState { incarnation, offset: from, .. } = system.subscribers[subscriber];
                system.send(MessageBody::Poll { relay, subscriber, incarnation, sent, from });
            }
            Action::SendReport => {
                system.budget.reports -= 1;
                self.send_report(system);
            }
            Action::Deliver(message) => {
                system.network.remove(&message);
                // A message that its receiver ignores is lost.
                let _ = self.deliver(system, message.1);
            }
            Action::DeliverTwice((_, body)) => {
                system.budget.duplicates -= 1;
                self.deliver(system, body)?;
            }
            Action::CrashRelay(relay) => {
                let now = self.relay_clock(system, relay);
                let incarnation = system.relays[relay].incarnation + 1;
                let watermark = watermark(self.relays, relay, now);
                system.relays[relay] = RelayState { incarnation, offset: 0, as_of: None, watermark };
                system.relay_crashes -= 1;
            }
            Action::CrashSubscriber(subscriber) => {
                let now = self.subscriber_clock(system, subscriber);
                let incarnation = system.subscribers[subscriber].incarnation + 1;
                let lease = Lease::new(LEASE_DURATION_MICROS, DRIFT_PER_MILLE, now);
                system.subscribers[subscriber] = SubscriberState { incarnation, offset: 0, lease };
                system.subscriber_crashes -= 1;
            }
        }
        Some(())
    }
}

impl Model for Feed {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        let process_start =
            START_MICROS - 2 * expired_everywhere_after(LEASE_DURATION_MICROS, DRIFT_PER_MILLE);
        let relay = |relay| RelayState {
            incarnation: 1,
            offset: 0,
            as_of: Some(START_MICROS),
            watermark: watermark(self.relays, relay, process_start),
        };
        let subscriber = |_: &u64| SubscriberState {
            incarnation: 1,
            offset: 0,
            lease: Lease::new(LEASE_DURATION_MICROS, DRIFT_PER_MILLE, process_start),
        };
        let mut system = SystemState {
            tick: 0,
            purged_at_tick: None,
            relays: (0..self.relays).map(relay).collect(),
            subscribers: self.subscriber_clock_rates.iter().map(subscriber).collect(),
            network: BTreeSet::new(),
            budget: self.budget,
            relay_crashes: self.relay_crashes,
            subscriber_crashes: self.subscriber_crashes,
            acknowledged: false,
            leases_expired: false,
        };
        if self.starts_with_purge {
            system.purged_at_tick = Some(0);
            system.relays[WATERMARK_RELAY].offset = PURGE_OFFSET;
            system.relays[WATERMARK_RELAY].watermark.record_known(START_MICROS, None, PURGE_OFFSET);
        }
        vec![system]
    }

    fn actions(&self, system: &SystemState, actions: &mut Vec<Action>) {
        let subscribers = 0..self.subscriber_clock_rates.len();
        if system.tick < self.ticks {
            actions.push(Action::Tick);
        }
        // Late enough for an earlier lease to be granted, early enough for it to expire.
        if system.purged_at_tick.is_none() && system.tick == 1 {
            actions.push(Action::Purge);
        }
        let bus_polls = |relay: &usize| system.budget.bus_polls[*relay] > 0;
        actions.extend((0..self.relays).filter(bus_polls).map(Action::PollBus));
        if self.relays > 1 && system.budget.reports > 0 {
            actions.push(Action::SendReport);
        }
        for relay in (0..self.relays).filter(|_| system.budget.polls > 0) {
            actions.extend(subscribers.clone().map(|subscriber| Action::PollRelay(subscriber, relay)));
        }
        actions.extend(system.network.iter().cloned().map(Action::Deliver));
        if system.budget.duplicates > 0 {
            actions.extend(system.network.iter().cloned().map(Action::DeliverTwice));
        }
        if system.relay_crashes > 0 {
            actions.extend((0..self.relays).map(Action::CrashRelay));
        }
        if system.subscriber_crashes > 0 {
            actions.extend(subscribers.map(Action::CrashSubscriber));
        }
    }

    fn next_state(&self, last: &SystemState, action: Action) -> Option<SystemState> {
        let mut system = last.clone();
        self.apply_action(&mut system, action)?;
        self.record_completion(&mut system);
        (system != *last).then_some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no purged copy is used after the lease duration",
                |model: &Feed, system: &SystemState| {
                    let is_over_bound = system.purged_at_tick.is_some_and(|purged_at_tick| {
                        (system.tick - purged_at_tick) * TICK_MICROS >= LEASE_DURATION_MICROS
                    });
                    !is_over_bound || !model.any_subscriber(system, Feed::uses_purged_copy)
                },
            ),
            Property::always(
                "the purge is complete only without leases that lack it",
                |model: &Feed, system: &SystemState| {
                    !(system.acknowledged || system.leases_expired)
                        || !model.any_subscriber(system, Feed::has_lease_without_purge)
                },
            ),
            Property::always(
                "no purged copy is used after completion by lease expiry",
                |model: &Feed, system: &SystemState| {
                    !system.leases_expired || !model.any_subscriber(system, Feed::uses_purged_copy)
                },
            ),
            Property::always(
                "the purge completes without further faults",
                |model: &Feed, system: &SystemState| model.completes_without_faults(system),
            ),
            Property::sometimes("the purge completes by acknowledgement", |_, system: &SystemState| {
                system.acknowledged
            }),
            Property::sometimes("the purge completes by lease expiry", |_, system: &SystemState| {
                system.leases_expired
            }),
            Property::sometimes("a renewed lease expires", |model: &Feed, system: &SystemState| {
                let now = model.subscriber_clock(system, 0);
                let lease = &system.subscribers[0].lease;
                lease.as_of().is_some() && lease.is_expired(now)
            }),
        ]
    }
}
