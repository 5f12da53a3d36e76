//! What all coroutines of a gateway share: the broker, the connections of clients and to stores, and the state of the
//! process. `request` drives one request, `shutdown` ends the process.

mod connection_counts;
mod outstanding;
mod request;
mod shutdown;

pub(super) use connection_counts::ConnectionCounts;

use crate::broker::{Broker, PlannedAttempt};
use crate::events::{Batch, Instance};
use crate::interface::{Member, MemberId, MemberState, Micros, Request};
use crate::net::clock::Clock;
use crate::net::configuration::identity::Guard;
use crate::net::discovery::event_sink::{BrokerEvents, EventSink, StoreTable};
use crate::net::frontend::clients::Clients;
use crate::net::mailbox::Mailbox;
use crate::net::service::{Client, ConnectionDraining, RequestEnd, Service, Work};
use crate::net::snapshot::Snapshot;
use crate::net::upstream::store::{Limits, Stores};
use crate::net::{Permit, lock};
use crate::settings::{ConnectionLimits, Deployment};
use outstanding::OutstandingAttempts;
use request::RequestRun;
use sagearch_feed::lease::Lease;
use sagearch_identity::Caller;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// One connection to a store for each so many descriptors. Clients have two fifths of the descriptors; the rest is for
/// the event bus, operators, the worker thread and clients that are rejected.
const DESCRIPTORS_PER_STORE_CONNECTION: usize = 3;

/// What all coroutines of a gateway share.
pub struct Core {
    /// The gateway's clock.
    pub clock: Clock,
    broker: Arc<Mutex<Broker<Mailbox>>>,
    pub(super) stores: Arc<Stores<Mailbox>>,
    pub(super) clients: Arc<Clients>,
    /// The mailboxes of requests whose clients could leave, under numbers of their own: request ids come from outside
    /// and may repeat.
    waiting_clients: Mutex<HashMap<u64, Mailbox>>,
    next_client_number: AtomicU64,
    /// Applies events of the feed.
    events: Arc<BrokerEvents>,
    /// The start is complete: endpoint lists and stored state are applied, and clients are accepted.
    pub(super) ready: AtomicBool,
    /// When the process was told to stop; empty: it was not.
    pub(super) stopping: OnceLock<Micros>,
    /// Another process accepts at the same listening socket, or will.
    pub(super) socket_shared: bool,
    /// How many connections to stores this process and the other one of an upgrade may have together.
    max_store_connections: usize,
    /// Says who calls, and with which rights.
    pub guard: Arc<Guard>,
    /// During an upgrade another process of this gateway is there.
    pub(super) has_peer_process: AtomicBool,
    /// Request ids that came into use and that the other process has not been told of.
    pub(super) ids_to_report: Mutex<Vec<u64>>,
    /// How many requests are open.
    pub(super) open_requests: Arc<AtomicUsize>,
}

/// The parts that a core is made of.
pub(super) struct CoreParts {
    /// The gateway's clock.
    pub clock: Clock,
    /// The broker, which timers and the feed use as well.
    pub broker: Arc<Mutex<Broker<Mailbox>>>,
    /// The version in force.
    pub guard: Arc<Guard>,
    /// Applies events of the feed.
    pub events: Arc<BrokerEvents>,
    /// The table of client connections.
    pub clients: Arc<Clients>,
    /// How many descriptors the process may use.
    pub sockets: usize,
    /// The settings of connections to stores.
    pub connections: ConnectionLimits,
    /// Another process accepts at the same listening socket.
    pub socket_shared: bool,
}

impl Core {
    /// A core without endpoints, which is not ready yet.
    pub(super) fn new(parts: CoreParts) -> Core {
        let CoreParts { clock, broker, guard, events, clients, sockets, connections, socket_shared } = parts;
        let gate_broker = broker.clone();
        let gate = Arc::new(move |planned: &PlannedAttempt| {
            let now = clock.now();
            lock(&gate_broker).may_send(now, planned).then(|| time_left(planned, now))
        });
        Core {
            clock,
            broker,
            stores: Stores::new(store_limits(connections, sockets), gate),
            clients,
            waiting_clients: Mutex::default(),
            next_client_number: AtomicU64::new(0),
            events,
            ready: AtomicBool::new(false),
            stopping: OnceLock::new(),
            socket_shared,
            max_store_connections: sockets / DESCRIPTORS_PER_STORE_CONNECTION,
            guard,
            has_peer_process: AtomicBool::new(false),
            ids_to_report: Mutex::default(),
            open_requests: Arc::default(),
        }
    }

    /// The broker, locked.
    pub fn broker(&self) -> MutexGuard<'_, Broker<Mailbox>> {
        lock(&self.broker)
    }

    /// The settings and names in force. Who takes them goes on with them when others come into force.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.guard.version.snapshot().deployment.clone()
    }

    /// Applies new settings to the connections to stores and to the policies.
    pub(super) fn retune(&self, deployment: &Deployment, sockets: usize) {
        self.stores.set_limits(store_limits(deployment.names.connections, sockets));
        self.broker().replace_settings(self.clock.now(), deployment.settings.clone());
    }

    /// Why this process is not to get clients now; `None`: it is ready.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.stopping.get().is_some() {
            return Some("stopping");
        }
        if !self.ready.load(Ordering::SeqCst) {
            return Some("starting");
        }
        if self.guard.version.is_sealed() {
            return Some("the operators' file can't be used");
        }
        self.broker().draining_since().map(|_| "drained")
    }

    /// Has each open request look whether its client is still connected.
    pub(super) fn request_client_looks(&self) {
        lock(&self.waiting_clients).values().for_each(Mailbox::request_look);
    }
}

impl EventSink for Core {
    fn apply(&self, batch: Batch) {
        self.events.apply_to(&*self.stores, batch);
    }

    fn renew_freshness(&self, lease: Lease, revalidations: u32) {
        self.events.renew_freshness(lease, revalidations);
    }

    /// Evicts an idle client: without the connection of the feed the gateway learns nothing any more.
    fn out_of_descriptors(&self) {
        self.clients.evict_if_out_of_descriptors();
    }
}

impl StoreTable for Stores<Mailbox> {
    fn mark_all_removed(&self) {
        Stores::mark_all_removed(self);
    }

    fn update_store(&self, line: &Instance, member: &Member) {
        let gone = member.state == MemberState::Gone;
        self.list(member.id, &line.instance_id, line.host_port.parse().ok(), gone);
    }
}

impl Service for Core {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.guard.version.snapshot()
    }

    fn guard(&self) -> &Guard {
        &self.guard
    }

    fn execute(
        &self,
        request: Request,
        caller: &Arc<Caller>,
        work: &Work,
        client: Option<&dyn Client>,
    ) -> RequestEnd {
        let (mailbox, messages) = Mailbox::new(client.is_some());
        let client_number = client.map(|_| self.next_client_number.fetch_add(1, Ordering::Relaxed));
        if let Some(number) = client_number {
            lock(&self.waiting_clients).insert(number, mailbox.clone());
        }
        let id = request.id;
        log::debug!(
            "{:016x} asks for {} part {} of class {:?}, {} KB, within {} ms",
            id.0,
            request.object,
            request.part,
            request.class,
            request.size_kb,
            request.timeout / 1_000,
        );
        let outstanding = OutstandingAttempts::new(Instant::now());
        let run =
            RequestRun { core: self, id, work, client, mailbox: &mailbox, messages: &messages, outstanding };
        let end = run.run(request, caller);
        log::debug!("{:016x} ends: {}", id.0, end.label());
        if let Some(number) = client_number {
            lock(&self.waiting_clients).remove(&number);
        }
        end
    }

    fn count_open_request(&self) -> Option<Permit> {
        Permit::take(&self.open_requests, usize::MAX)
    }

    fn note_id_used(&self, id: u64) {
        if self.has_peer_process.load(Ordering::Relaxed) {
            lock(&self.ids_to_report).push(id);
        }
    }

    fn remaining_time(&self) -> Micros {
        self.time_until_end()
    }

    fn connection_draining(&self) -> Option<ConnectionDraining> {
        self.draining_state()
    }

    fn is_drained(&self) -> bool {
        self.broker().draining_since().is_some()
    }

    fn is_handed_over(&self) -> bool {
        self.socket_shared && self.stopping.get().is_some()
    }

    fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.stores.address(member)
    }
}

/// How much of an attempt's timeout is left.
fn time_left(planned: &PlannedAttempt, now: Micros) -> Duration {
    Duration::from_micros((planned.picked + planned.timeout).saturating_sub(now))
}

/// The limits of connections to stores by the settings and the descriptors of the process.
fn store_limits(connections: ConnectionLimits, sockets: usize) -> Limits {
    Limits {
        streams: connections.streams_per_connection,
        connections: sockets / DESCRIPTORS_PER_STORE_CONNECTION,
        connect: Duration::from_micros(connections.connect_timeout),
        // Well before the store closes an idle connection, so that no request crosses with its close.
        idle: Duration::from_micros(connections.keepalive) * 2 / 3,
    }
}

#[cfg(test)]
mod tests;
