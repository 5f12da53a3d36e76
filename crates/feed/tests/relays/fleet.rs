//! Simulates 2,200 subscribers in ten regions, six relays and the event bus in virtual time, with the real
//! subscriptions and relays and with network latencies.

use crate::common::*;
use sagearch_feed::message::{Answer, Head, Poll, RawEvent};
use sagearch_feed::relay::report::Completion;
use sagearch_feed::relay::{DueAnswer, PollReply, Relay, Session, Settings as RelaySettings};
use sagearch_feed::subscription::{AcceptedAnswer, PollFailure, Settings, Step, Subscription};
use sagearch_feed::{MILLISECOND, Micros};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SUBSCRIBERS: usize = 2_200;
const RELAYS: usize = 6;
const REGIONS: usize = 10;
const REPORT_INTERVAL: Micros = 200 * MILLISECOND;
/// The one-way latency between a relay and the event bus.
const BUS_LATENCY: Micros = 5 * MILLISECOND;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    SubscriberStep(usize),
    RelayReceivesPoll { relay: usize, subscriber: usize, number: u64, poll: Poll },
    SubscriberReceivesAnswer { subscriber: usize, number: u64, body: Vec<u8> },
    PollFails { subscriber: usize, number: u64, failure: u8 },
    RelayStep(usize),
    RelayTick(usize),
    BusReceivesPoll { relay: usize, incarnation: u64, sent: Micros, from: u64 },
    BusHoldEnds { relay: usize, incarnation: u64, sent: Micros, from: u64 },
    RelayReceivesAnswer { relay: usize, incarnation: u64, sent: Micros, offset: u64, from: u64 },
    SendReports,
    PublishPurge(u64),
    CrashRelay(usize),
    RestartRelay(usize),
}

const CONNECTION_LOST: u8 = 0;
const UNREACHABLE: u8 = 1;
const TIMED_OUT: u8 = 2;
const REFUSED: u8 = 3;

struct SimulatedSubscriber {
    subscription: Subscription,
    region: usize,
    /// The poll in flight: its number, the relay, and when it was sent.
    poll_in_flight: Option<(u64, usize, Micros)>,
    step_at: Micros,
}

struct SimulatedRelay {
    relay: Relay,
    upstream: Subscription,
    incarnation: u64,
    is_running: bool,
    tick_at: Option<Micros>,
    /// The numbers of the pending polls, by session, which equals the subscriber's index.
    pending_polls: BTreeMap<Session, u64>,
}

struct Fleet {
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    scheduled_count: u64,
    poll_count: u64,
    subscribers: Vec<SimulatedSubscriber>,
    relays: Vec<SimulatedRelay>,
    events: Vec<RawEvent>,
    published_at: Vec<Micros>,
    bus_polls: Vec<(usize, u64, Micros, u64)>,
    /// The number of polls without a hold after a crash, by 10 ms.
    first_polls_by_10_ms: BTreeMap<Micros, usize>,
    crashed_at: Option<Micros>,
    snapshot_count: usize,
    refused_count: usize,
}

fn latency(one: usize, other: usize) -> Micros {
    match one.abs_diff(other).min(REGIONS - one.abs_diff(other)) {
        0 => MILLISECOND,
        distance => 8 * MILLISECOND * distance as u64,
    }
}

fn start_relay(relay: usize, incarnation: u64, now: Micros) -> SimulatedRelay {
    let name = |relay| format!("relay-{relay}");
    let peers = (0..RELAYS).filter(|other| *other != relay).map(name).collect();
    let upstream = Settings {
        direct_bus: true,
        hold: 100 * MILLISECOND,
        ..Settings::new(&name(relay), incarnation, vec!["bus".to_owned()])
    };
    SimulatedRelay {
        relay: Relay::new(RelaySettings::new(&name(relay), peers), now),
        upstream: Subscription::new(upstream, relay as u64, now),
        incarnation,
        is_running: true,
        tick_at: None,
        pending_polls: BTreeMap::new(),
    }
}

impl Fleet {
    fn new() -> Fleet {
        let mut fleet = Fleet {
            now: START,
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            poll_count: 0,
            subscribers: Vec::new(),
            relays: (0..RELAYS).map(|relay| start_relay(relay, 1, START)).collect(),
            events: vec![endpoint_list(1, true, &[store("a", "up")])],
            published_at: vec![START],
            bus_polls: Vec::new(),
            first_polls_by_10_ms: BTreeMap::new(),
            crashed_at: None,
            snapshot_count: 0,
            refused_count: 0,
        };
        for number in 0..SUBSCRIBERS {
            let region = number % REGIONS;
            let mut by_latency: Vec<usize> = (0..RELAYS).collect();
            by_latency.sort_by_key(|relay| (latency(region, *relay), *relay));
            let relays = by_latency.iter().map(|relay| format!("relay-{relay}")).collect();
            let settings = Settings { preferred: 1, ..Settings::new(&format!("g{number}"), 1, relays) };
            let subscription = Subscription::new(settings, number as u64, START);
            fleet.subscribers.push(SimulatedSubscriber {
                subscription,
                region,
                poll_in_flight: None,
                step_at: START,
            });
            // The starts of the subscribers are spread over a second.
            fleet.schedule(number as u64 * 450, Event::SubscriberStep(number));
        }
        for relay in 0..RELAYS {
            fleet.schedule(0, Event::RelayStep(relay));
        }
        fleet.schedule(REPORT_INTERVAL, Event::SendReports);
        fleet
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.scheduled_count += 1;
        self.queue.push(Reverse((self.now + delay, self.scheduled_count, event)));
    }

    /// Runs the simulation for `duration`, and calls `observe` about every 10 ms.
    fn run(&mut self, duration: Micros, mut observe: impl FnMut(&Fleet)) {
        let end = self.now + duration;
        let mut observe_at = self.now;
        while let Some(Reverse((event_time, ..))) = self.queue.peek()
            && *event_time <= end
        {
            let Some(Reverse((event_time, _, event))) = self.queue.pop() else { break };
            self.now = event_time;
            self.handle(event);
            if self.now >= observe_at {
                observe(self);
                observe_at = self.now + 10 * MILLISECOND;
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SubscriberStep(subscriber) => self.subscriber_step(subscriber),
            Event::RelayReceivesPoll { relay, subscriber, number, poll } => {
                self.relay_receives_poll(relay, subscriber, number, &poll);
            }
            Event::SubscriberReceivesAnswer { subscriber, number, body } => {
                self.subscriber_receives_answer(subscriber, number, &body);
            }
            Event::PollFails { subscriber, number, failure } => {
                self.poll_fails(subscriber, number, failure);
            }
            Event::RelayStep(relay) => self.relay_step(relay),
            Event::RelayTick(relay) => {
                self.relays[relay].tick_at = None;
                self.relay_tick(relay);
            }
            Event::BusReceivesPoll { relay, incarnation, sent, from } => {
                if from < self.events.len() as u64 {
                    self.send_bus_answer(relay, incarnation, sent, from);
                } else {
                    self.bus_polls.push((relay, incarnation, sent, from));
                    self.schedule(100 * MILLISECOND, Event::BusHoldEnds { relay, incarnation, sent, from });
                }
            }
            Event::BusHoldEnds { relay, incarnation, sent, from } => {
                let ended = (relay, incarnation, sent, from);
                if let Some(index) = self.bus_polls.iter().position(|poll| *poll == ended) {
                    self.bus_polls.swap_remove(index);
                    self.send_bus_answer(relay, incarnation, sent, from);
                }
            }
            Event::RelayReceivesAnswer { relay, incarnation, sent, offset, from } => {
                self.relay_receives_answer(relay, incarnation, sent, offset, from);
            }
            Event::SendReports => self.send_reports(),
            Event::PublishPurge(tag) => self.publish_purge(tag),
            Event::CrashRelay(relay) => self.crash_relay(relay),
            Event::RestartRelay(relay) => {
                let incarnation = self.relays[relay].incarnation + 1;
                self.relays[relay] = start_relay(relay, incarnation, self.now);
                self.schedule(0, Event::RelayStep(relay));
            }
        }
    }

    fn subscriber_step(&mut self, subscriber: usize) {
        let now = self.now;
        let simulated_subscriber = &mut self.subscribers[subscriber];
        if simulated_subscriber.poll_in_flight.is_some() || now < simulated_subscriber.step_at {
            return;
        }
        match simulated_subscriber.subscription.next_step(now) {
            Step::Wait { until } => {
                simulated_subscriber.step_at = until;
                self.schedule(until - now, Event::SubscriberStep(subscriber));
            }
            Step::Poll { relay: index, poll, timeout } => {
                let mut by_latency: Vec<usize> = (0..RELAYS).collect();
                by_latency.sort_by_key(|relay| (latency(simulated_subscriber.region, *relay), *relay));
                let relay = by_latency[index];
                self.poll_count += 1;
                let number = self.poll_count;
                simulated_subscriber.poll_in_flight = Some((number, relay, now));
                let delay = latency(simulated_subscriber.region, relay);
                if let Some(crashed) = self.crashed_at
                    && poll.hold_ms == 0
                {
                    *self.first_polls_by_10_ms.entry((now - crashed) / (10 * MILLISECOND)).or_default() += 1;
                }
                self.schedule(delay, Event::RelayReceivesPoll { relay, subscriber, number, poll });
                let failure = TIMED_OUT;
                self.schedule(timeout, Event::PollFails { subscriber, number, failure });
            }
        }
    }

    fn relay_receives_poll(&mut self, relay: usize, subscriber: usize, number: u64, poll: &Poll) {
        let session = Session(subscriber as u64);
        let delay = latency(self.subscribers[subscriber].region, relay);
        let simulated_relay = &mut self.relays[relay];
        if !simulated_relay.is_running {
            let failure = UNREACHABLE;
            return self.schedule(delay, Event::PollFails { subscriber, number, failure });
        }
        match simulated_relay.relay.handle_poll(self.now, session, address(0), poll) {
            PollReply::Answer(body) => {
                let body = body.to_vec();
                self.schedule(delay, Event::SubscriberReceivesAnswer { subscriber, number, body });
            }
            PollReply::Pending => {
                simulated_relay.pending_polls.insert(session, number);
                self.schedule_tick(relay);
            }
            PollReply::Busy { .. } => {
                let failure = REFUSED;
                self.schedule(delay, Event::PollFails { subscriber, number, failure });
            }
            PollReply::Invalid(cause) => panic!("{cause}"),
        }
    }

    fn schedule_tick(&mut self, relay: usize) {
        let simulated_relay = &mut self.relays[relay];
        let Some(next) = simulated_relay.relay.next_tick() else { return };
        if simulated_relay.tick_at.is_none_or(|scheduled| next < scheduled) {
            simulated_relay.tick_at = Some(next);
            let delay = next.saturating_sub(self.now);
            self.schedule(delay, Event::RelayTick(relay));
        }
    }

    fn relay_tick(&mut self, relay: usize) {
        if !self.relays[relay].is_running {
            return;
        }
        for DueAnswer { session, body } in self.relays[relay].relay.tick(self.now) {
            let Some(number) = self.relays[relay].pending_polls.remove(&session) else { continue };
            let subscriber = session.0 as usize;
            let delay = latency(self.subscribers[subscriber].region, relay);
            let body = body.to_vec();
            self.schedule(delay, Event::SubscriberReceivesAnswer { subscriber, number, body });
        }
        self.schedule_tick(relay);
    }

    fn subscriber_receives_answer(&mut self, subscriber: usize, number: u64, body: &[u8]) {
        let simulated_subscriber = &mut self.subscribers[subscriber];
        let Some((_, _, sent)) = simulated_subscriber.poll_in_flight.take_if(|poll| poll.0 == number) else {
            return;
        };
        let head: Head = serde_json::from_slice(body).unwrap();
        self.snapshot_count += usize::from(head.snapshot);
        simulated_subscriber.subscription.poll_answered(self.now, sent, &head).unwrap();
        simulated_subscriber.subscription.events_applied(self.now);
        simulated_subscriber.step_at = self.now;
        self.subscriber_step(subscriber);
    }

    fn poll_fails(&mut self, subscriber: usize, number: u64, failure: u8) {
        let simulated_subscriber = &mut self.subscribers[subscriber];
        let Some((_, relay, _)) = simulated_subscriber.poll_in_flight.take_if(|poll| poll.0 == number) else {
            return;
        };
        let failure = match failure {
            CONNECTION_LOST => PollFailure::ConnectionLost,
            UNREACHABLE => PollFailure::Unreachable,
            TIMED_OUT => PollFailure::TimedOut,
            _ => PollFailure::Refused { retry_after: Some(100 * MILLISECOND) },
        };
        self.refused_count += usize::from(matches!(failure, PollFailure::Refused { .. }));
        simulated_subscriber.subscription.poll_failed(self.now, failure);
        simulated_subscriber.step_at = self.now;
        self.relays[relay].relay.session_closed(Session(subscriber as u64));
        self.relays[relay].pending_polls.remove(&Session(subscriber as u64));
        self.subscriber_step(subscriber);
    }

    fn relay_step(&mut self, relay: usize) {
        let now = self.now;
        let simulated_relay = &mut self.relays[relay];
        let incarnation = simulated_relay.incarnation;
        match simulated_relay.upstream.next_step(now) {
            Step::Wait { until } => self.schedule(until - now, Event::RelayStep(relay)),
            Step::Poll { poll, .. } => {
                let bus_poll = Event::BusReceivesPoll { relay, incarnation, sent: now, from: poll.from };
                self.schedule(BUS_LATENCY, bus_poll);
            }
        }
    }

    fn send_bus_answer(&mut self, relay: usize, incarnation: u64, sent: Micros, from: u64) {
        let offset = self.events.len() as u64;
        self.schedule(BUS_LATENCY, Event::RelayReceivesAnswer { relay, incarnation, sent, offset, from });
    }

    fn relay_receives_answer(
        &mut self,
        relay: usize,
        incarnation: u64,
        sent: Micros,
        offset: u64,
        from: u64,
    ) {
        let now = self.now;
        let simulated_relay = &mut self.relays[relay];
        if !simulated_relay.is_running || simulated_relay.incarnation != incarnation {
            return;
        }
        let head = Head { offset, feed: feed("f"), age_ms: None, snapshot: false };
        let batch = self.events[from as usize..offset as usize].to_vec();
        let accepted = simulated_relay.upstream.poll_answered(now, sent, &head).unwrap();
        let as_of = match accepted {
            AcceptedAnswer::NoNewEvents => simulated_relay.upstream.lease().as_of(),
            _ => simulated_relay.upstream.unapplied_as_of(),
        };
        simulated_relay.relay.apply_upstream_answer(now, as_of, accepted, &Answer { head, batch }).unwrap();
        simulated_relay.upstream.events_applied(now);
        self.schedule_tick(relay);
        self.relay_step(relay);
    }

    fn send_reports(&mut self) {
        let now = self.now;
        for from in (0..RELAYS).filter(|from| self.relays[*from].is_running).collect::<Vec<_>>() {
            let report = self.relays[from].relay.report(now);
            for simulated_relay in &mut self.relays {
                simulated_relay.relay.apply_peer_report(now, &report.relay, &report);
            }
        }
        self.schedule(REPORT_INTERVAL, Event::SendReports);
    }

    fn publish_purge(&mut self, tag: u64) {
        let offset = self.events.len() as u64 + 1;
        self.events.push(purge(offset, tag, 1));
        self.published_at.push(self.now);
        for (relay, incarnation, sent, from) in std::mem::take(&mut self.bus_polls) {
            self.send_bus_answer(relay, incarnation, sent, from);
        }
    }

    fn crash_relay(&mut self, relay: usize) {
        self.crashed_at.get_or_insert(self.now);
        self.relays[relay].is_running = false;
        for (session, number) in std::mem::take(&mut self.relays[relay].pending_polls) {
            let subscriber = session.0 as usize;
            let delay = latency(self.subscribers[subscriber].region, relay);
            self.schedule(delay, Event::PollFails { subscriber, number, failure: CONNECTION_LOST });
        }
    }

    fn expired_lease_count(&self) -> usize {
        let has_expired_lease = |simulated_subscriber: &&SimulatedSubscriber| {
            simulated_subscriber.subscription.lease().is_expired(self.now)
        };
        self.subscribers.iter().filter(has_expired_lease).count()
    }

    /// Whether each subscriber has applied the events up to `offset` or has an expired lease.
    fn applied_or_expired(&self, offset: u64) -> bool {
        let applied_or_expired = |simulated_subscriber: &SimulatedSubscriber| {
            simulated_subscriber.subscription.offset() >= offset
                || simulated_subscriber.subscription.lease().is_expired(self.now)
        };
        self.subscribers.iter().all(applied_or_expired)
    }

    /// Publishes a purge every 300 ms for `duration`. Checks for each that every subscriber has applied it or has an
    /// expired lease, both within the bound and before relay 0 reports the purge complete. Returns the completions
    /// reported by relay 0, and the maximum number of leases expired at one time.
    fn publish_and_check(&mut self, duration: Micros) -> (Vec<Completion>, usize) {
        for number in 0..duration / (300 * MILLISECOND) {
            self.schedule(number * 300 * MILLISECOND, Event::PublishPurge(number));
        }
        let first_index = self.published_at.len();
        let mut completions: BTreeMap<u64, Completion> = BTreeMap::new();
        let mut max_expired = 0;
        self.run(duration + 2_500 * MILLISECOND, |fleet| {
            max_expired = max_expired.max(fleet.expired_lease_count());
            for (index, published_at) in fleet.published_at.iter().enumerate().skip(first_index) {
                let offset = index as u64 + 1;
                if completions.contains_key(&offset) {
                    continue;
                }
                let completion = fleet.relays[0].relay.completion(fleet.now, offset);
                let is_late = fleet.now - published_at >= 1_900 * MILLISECOND;
                if completion.is_some() || is_late {
                    assert!(
                        fleet.applied_or_expired(offset),
                        "event {offset}, {completion:?}, late: {is_late}"
                    );
                }
                completions.extend(completion.map(|completion| (offset, completion)));
            }
        });
        assert_eq!(completions.len(), published_since(self, first_index));
        (completions.into_values().collect(), max_expired)
    }
}

fn published_since(fleet: &Fleet, first_index: usize) -> usize {
    fleet.published_at.len() - first_index
}

#[test]
fn purges_reach_all_subscribers_within_bound_when_relay_is_lost() {
    let mut fleet = Fleet::new();
    fleet.run(4_000 * MILLISECOND, |_| ());
    assert_eq!(fleet.expired_lease_count(), 0);
    let (completions, max_expired) = fleet.publish_and_check(3_000 * MILLISECOND);
    let slowest_ms = completions.iter().map(|completion| completion.elapsed_ms).max().unwrap();
    println!(
        "without faults: slowest completion {slowest_ms} ms, at most {max_expired} expired leases, {} polls",
        fleet.poll_count
    );
    assert_eq!(max_expired, 0);
    assert!(slowest_ms < 900, "purges complete by acknowledgement, not by lease expiry: {slowest_ms} ms");

    // Relay 2 crashes, which closes all its connections, and restarts without state.
    fleet.schedule(50 * MILLISECOND, Event::CrashRelay(2));
    fleet.schedule(3_000 * MILLISECOND, Event::RestartRelay(2));
    let (completions, max_expired) = fleet.publish_and_check(5_000 * MILLISECOND);
    let slowest_ms = completions.iter().map(|completion| completion.elapsed_ms).max().unwrap();
    let max_first_polls = fleet.first_polls_by_10_ms.values().max().unwrap();
    println!(
        "one relay lost: slowest completion {slowest_ms} ms, at most {max_expired} expired leases, at most \
         {max_first_polls} first polls in 10 ms, {} snapshots, {} refused polls",
        fleet.snapshot_count, fleet.refused_count
    );
    assert!(slowest_ms <= 1_800, "{slowest_ms} ms");
    assert!(max_expired < 20, "{max_expired}");
    assert!(*max_first_polls < 100, "{:?}", fleet.first_polls_by_10_ms);
}
