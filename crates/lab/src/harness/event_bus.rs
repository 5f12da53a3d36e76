//! The event bus: one list of numbered events, and a view of it for each gateway, which may be late.

use super::context::RunContext;
use super::network::Port;
use super::relay::{LinkRelay, Outgoing, RelayedConnection, accept};
use super::store_servers::{StoreServers, store_name};
use super::sync::lock;
use crate::participant::{ParticipantId, ParticipantKind, Roster};
use crate::settings::KINDS;
use crate::trace::{BusChange, EventKind, Micros};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A gateway that starts is told of purges that are no older.
const INITIAL_PURGE_AGE: Micros = 60_000_000;
/// The longest head of a poll.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// A poll waits so long at most.
const MAX_POLL_MS: u64 = 5_000;
/// How often a late view is looked at, which changes with time alone.
const LATE_VIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Whether a store takes requests, as the event bus says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

impl MemberState {
    /// As gateways read it.
    fn name(self) -> &'static str {
        match self {
            MemberState::Up => "up",
            MemberState::Draining => "draining",
            MemberState::Removed => "removed",
        }
    }
}

/// A store in the list of members.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Whether it takes requests.
    pub state: MemberState,
    /// When it was last started, if that was in this run.
    pub started: Option<Micros>,
}

#[derive(Clone, Debug)]
enum Event {
    Member(ParticipantId, Member),
    Purge(u8),
}

/// Where a gateway's numbering begins: it begins anew with each of its starts.
#[derive(Clone, Copy, Debug, Default)]
struct Subscription {
    /// How many events the gateway knew as it started.
    known: usize,
    /// The place in the list of the first one that it did not.
    next: usize,
}

/// A fault that keeps events from a gateway for a time.
#[derive(Clone, Copy, Debug)]
struct Delay {
    number: usize,
    by: Micros,
}

#[derive(Default)]
struct BusState {
    /// With the time at which each was published.
    events: Vec<(Micros, Event)>,
    members: BTreeMap<ParticipantId, Member>,
    subscriptions: HashMap<ParticipantId, Subscription>,
    delays: HashMap<ParticipantId, Vec<Delay>>,
}

/// Events for a gateway, and the number of the last one.
struct Batch {
    offset: usize,
    events: Vec<Value>,
}

/// The event bus of a run.
pub struct EventBus {
    port: Port,
    state: Mutex<BusState>,
    changed: watch::Sender<u64>,
    roster: Roster,
    stores: Arc<StoreServers>,
    context: RunContext,
    id: ParticipantId,
}

impl EventBus {
    /// The bus `id` of a roster, with all stores up.
    ///
    /// # Errors
    ///
    /// Where its port can't be had.
    pub fn start(
        id: ParticipantId,
        roster: &Roster,
        stores: Arc<StoreServers>,
        context: &RunContext,
    ) -> io::Result<Arc<EventBus>> {
        let member = |id| (id, Member { state: MemberState::Up, started: None });
        let kinds = [ParticipantKind::Store, ParticipantKind::Parent, ParticipantKind::Origin];
        let members = kinds.iter().flat_map(|kind| roster.of(*kind)).map(member).collect();
        let bus = Arc::new(EventBus {
            port: Port::take()?,
            state: Mutex::new(BusState { members, ..BusState::default() }),
            changed: watch::channel(0).0,
            roster: roster.clone(),
            stores,
            context: context.clone(),
            id,
        });
        tokio::spawn(bus.clone().listen(bus.port.listen()?));
        Ok(bus)
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, opener)) = accept(&listener, &self.context.network).await else { continue };
            let bus = self.clone();
            tokio::spawn(async move {
                let relay = bus.context.relay.clone();
                if let Some(connection) = LinkRelay::accept_local(relay, stream, opener, bus.id).await {
                    bus.serve(connection).await;
                }
            });
        }
    }

    /// Where a gateway calls it.
    pub fn address(&self, gateway: ParticipantId) -> String {
        format!("{}:{}", self.context.network.ip(gateway), self.port.number())
    }

    /// The entry of a store, with the address by which that gateway reaches it.
    fn member_json(&self, gateway: ParticipantId, store: ParticipantId, member: &Member) -> Value {
        let participant = self.roster.get(store);
        let kind = match participant.kind {
            ParticipantKind::Origin => KINDS[2],
            ParticipantKind::Parent => KINDS[1],
            _ => KINDS[0],
        };
        let port = self.stores.port(store).unwrap_or(0);
        json!({
            "instanceId": store_name(store),
            "hostPort": format!("{}:{port}", self.context.network.ip(gateway)),
            "zone": participant.site,
            "machineType": kind,
            "cell": 0,
            "lifecycle": member.state.name(),
            "weight": 8.0,
            "startedAtMs": member.started.map_or(0, |at| (self.context.epoch + at) / 1_000),
        })
    }

    fn event_json(&self, gateway: ParticipantId, offset: usize, at: Micros, event: &Event) -> Value {
        match event {
            Event::Member(store, member) => json!({"offset": offset, "topology": {"generation": offset,
                "reset": false, "instances": [self.member_json(gateway, *store, member)]}}),
            Event::Purge(group) => {
                json!({"offset": offset, "ban": {"tag": group, "ts": (self.context.epoch + at) / 1_000}})
            }
        }
    }

    /// What a gateway is told as it starts; the numbering begins anew with it.
    pub fn initial_batch(&self, gateway: ParticipantId) -> Value {
        let now = self.context.relay.now();
        let mut state = lock(&self.state);
        let listed = state.members.iter().filter(|(_, member)| member.state != MemberState::Removed);
        let instances: Vec<Value> =
            listed.map(|(id, member)| self.member_json(gateway, *id, member)).collect();
        let mut batch =
            vec![json!({"offset": 1, "topology": {"generation": 1, "reset": true, "instances": instances}})];
        for (at, event) in &state.events {
            if matches!(event, Event::Purge(_)) && at + INITIAL_PURGE_AGE > now {
                batch.push(self.event_json(gateway, batch.len() + 1, *at, event));
            }
        }
        let subscription = Subscription { known: batch.len(), next: state.events.len() };
        state.subscriptions.insert(gateway, subscription);
        json!({"offset": batch.len(), "batch": batch})
    }

    fn publish(&self, event: Event, change: BusChange) {
        let mut state = lock(&self.state);
        let now = self.context.relay.now();
        state.events.push((now, event));
        self.context.recorder.record_at(now, EventKind::Stands { change });
        drop(state);
        self.notify();
    }

    /// Has polls that wait look again.
    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Publishes the state of a store.
    pub fn set_member(&self, store: ParticipantId, state: MemberState, started: Option<Micros>) {
        let member = Member { state, started };
        lock(&self.state).members.insert(store, member);
        let change = match state {
            MemberState::Up => BusChange::Up { store, started },
            MemberState::Draining => BusChange::Draining { store },
            MemberState::Removed => BusChange::Removed { store },
        };
        self.publish(Event::Member(store, member), change);
    }

    /// The entry of a store.
    pub fn member(&self, store: ParticipantId) -> Option<Member> {
        lock(&self.state).members.get(&store).copied()
    }

    /// Publishes that copies of a group of objects are void.
    pub fn purge(&self, group: u8) {
        self.publish(Event::Purge(group), BusChange::Purge { group });
    }

    /// Keeps events from a gateway for a time, by a fault's number in the schedule.
    pub fn begin_delay(&self, number: usize, gateway: ParticipantId, by: Micros) {
        lock(&self.state).delays.entry(gateway).or_default().push(Delay { number, by });
    }

    /// Ends such a fault.
    pub fn end_delay(&self, number: usize) {
        for delays in lock(&self.state).delays.values_mut() {
            delays.retain(|delay| delay.number != number);
        }
        self.notify();
    }

    /// What a gateway is answered that has seen events up to a number. `None`: its view has nothing new.
    fn new_events(&self, gateway: ParticipantId, from: usize) -> Option<Batch> {
        let state = lock(&self.state);
        let Subscription { known, next } = state.subscriptions.get(&gateway).copied().unwrap_or_default();
        let delays = state.delays.get(&gateway).into_iter().flatten();
        let delay = delays.map(|delay| delay.by).max().unwrap_or(0);
        let now = self.context.relay.now();
        let later = state.events.iter().skip(next + from.saturating_sub(known));
        let visible = later.take_while(|(at, _)| at + delay <= now);
        let first = from.max(known) + 1;
        let events: Vec<Value> = visible
            .enumerate()
            .map(|(place, (at, event))| self.event_json(gateway, first + place, *at, event))
            .collect();
        (!events.is_empty()).then(|| Batch { offset: from.max(known) + events.len(), events })
    }

    /// Answers the polls of one connection.
    async fn serve(&self, connection: RelayedConnection) {
        let RelayedConnection { from: gateway, mut incoming, outgoing } = connection;
        let mut bytes = Vec::new();
        while let Some(chunk) = incoming.recv().await {
            bytes.extend_from_slice(&chunk.bytes);
            let Some(end) = bytes.windows(4).position(|end| end == b"\r\n\r\n") else {
                if bytes.len() > MAX_HEAD_BYTES {
                    return;
                }
                continue;
            };
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..end + 4);
            let (Some(from), Some(wait)) = (parameter(&head, "from"), parameter(&head, "hold")) else {
                return;
            };
            let Batch { offset, events } = self.poll(gateway, from as usize, wait.min(MAX_POLL_MS)).await;
            let body = json!({"offset": offset, "batch": events}).to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if outgoing.send(Outgoing::Bytes(answer.into_bytes())).await.is_err() {
                return;
            }
        }
    }

    /// Waits for something new, for so many milliseconds at most.
    async fn poll(&self, gateway: ParticipantId, from: usize, wait_ms: u64) -> Batch {
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(batch) = self.new_events(gateway, from) {
                return batch;
            }
            let is_late = lock(&self.state).delays.get(&gateway).is_some_and(|delays| !delays.is_empty());
            let look =
                if is_late { until.min(tokio::time::Instant::now() + LATE_VIEW_INTERVAL) } else { until };
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(look) => {
                    if look == until {
                        return Batch { offset: from, events: Vec::new() };
                    }
                }
            }
        }
    }
}

/// A number in the query of a request's head.
fn parameter(head: &str, name: &str) -> Option<u64> {
    let rest = head.split_once(&format!("{name}="))?.1;
    rest.split(['&', ' ']).next()?.parse().ok()
}
