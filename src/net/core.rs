//! The state that all coroutines of a gateway share: the broker, client and store connections, and the state of the
//! process. `request` serves one request; `shutdown` implements graceful shutdown and draining.

mod connection_counts;
mod id_claims;
mod outstanding;
mod request;
mod request_ids;
mod shutdown;

pub(super) use connection_counts::ConnectionCounts;
pub(super) use id_claims::OutgoingClaims;

use crate::broker::{Broker, PlannedAttempt};
use crate::events::{Batch, Instance};
use crate::interface::{Member, MemberId, MemberState, Micros, Request, RequestId};
use crate::net::clock::Clock;
use crate::net::configuration::agreed_routes::{AgreedRoutes, RoutesInForce};
use crate::net::configuration::identity::Guard;
use crate::net::discovery::event_sink::{BrokerEvents, EventSink, StoreTable};
use crate::net::frontend::clients::Clients;
use crate::net::mailbox::Mailbox;
use crate::net::service::{Client, ConnectionDraining, IdUse, RequestEnd, Service, Work};
use crate::net::snapshot::Snapshot;
use crate::net::upstream::store::{Limits, Stores};
use crate::net::{Permit, lock};
use crate::settings::{ConnectionLimits, Deployment};
use id_claims::{Claim, IdClaims};
use outstanding::OutstandingAttempts;
use request::RequestRun;
use request_ids::RequestIds;
use sagearch_feed::lease::Lease;
use sagearch_identity::Caller;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// One store connection is allowed per this many descriptors. Clients get two fifths of the descriptors; the rest is for
/// the event bus, operators, the worker thread and clients that are being rejected.
const DESCRIPTORS_PER_STORE_CONNECTION: usize = 3;

/// How long a request waits until the other process of an upgrade grants its id.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);
/// How often such a request looks for the answer.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Shared state of all coroutines of a gateway.
pub struct Core {
    /// The gateway's clock.
    pub clock: Clock,
    broker: Arc<Mutex<Broker<Mailbox>>>,
    pub(super) stores: Arc<Stores<Mailbox>>,
    pub(super) clients: Arc<Clients>,
    /// Mailboxes of requests whose clients can disconnect, keyed by a locally assigned number: request ids come from
    /// outside and may repeat.
    waiting_clients: Mutex<HashMap<u64, Mailbox>>,
    next_client_number: AtomicU64,
    /// Applies feed events to the broker.
    events: Arc<BrokerEvents>,
    /// Whether startup is complete: endpoint lists and stored state are applied, and clients are accepted.
    pub(super) ready: AtomicBool,
    /// When graceful shutdown began; empty while the process is not stopping.
    pub(super) stopping: OnceLock<Micros>,
    /// Whether another process accepts on the same listening socket, or is going to.
    pub(super) socket_shared: bool,
    /// The limit of store connections for this process and the other process of an upgrade together.
    max_store_connections: usize,
    /// Authenticates and authorizes callers.
    pub guard: Arc<Guard>,
    /// The routes of the consensus group; `None` if this gateway is not an instance of one.
    pub(super) agreed_routes: Option<Arc<AgreedRoutes>>,
    /// Whether another process of this gateway is running, as happens during an upgrade.
    pub(super) has_peer_process: AtomicBool,
    /// Request ids that came into use and have not been reported to the other process yet.
    pub(super) ids_to_report: Mutex<Vec<u64>>,
    /// The ids of clients' requests that have come into use.
    pub(super) request_ids: RequestIds,
    /// Claims of request ids between this process and the other one.
    pub(super) id_claims: IdClaims,
    /// The number of open requests.
    pub(super) open_requests: Arc<AtomicUsize>,
}

/// The components from which a [`Core`] is built.
pub(super) struct CoreParts {
    /// The gateway's clock.
    pub clock: Clock,
    /// The broker, which timers and the feed use as well.
    pub broker: Arc<Mutex<Broker<Mailbox>>>,
    /// Authenticates and authorizes callers under the configuration in force.
    pub guard: Arc<Guard>,
    /// The routes of the consensus group; `None` if this gateway is not an instance of one.
    pub agreed_routes: Option<Arc<AgreedRoutes>>,
    /// Applies feed events to the broker.
    pub events: Arc<BrokerEvents>,
    /// The table of client connections.
    pub clients: Arc<Clients>,
    /// The number of descriptors that the process may use.
    pub sockets: usize,
    /// The settings for store connections.
    pub connections: ConnectionLimits,
    /// Whether another process accepts on the same listening socket.
    pub socket_shared: bool,
}

impl Core {
    /// Creates a core that has no endpoints and is not ready yet.
    pub(super) fn new(parts: CoreParts) -> Core {
        let CoreParts { clock, broker, guard, agreed_routes, events, clients, sockets, connections, .. } =
            parts;
        let admission_broker = broker.clone();
        let admission_check = Arc::new(move |planned: &PlannedAttempt| {
            let now = clock.now();
            lock(&admission_broker).may_send(now, planned).then(|| remaining_timeout(planned, now))
        });
        Core {
            clock,
            broker,
            stores: Stores::new(store_limits(connections, sockets), admission_check),
            clients,
            waiting_clients: Mutex::default(),
            next_client_number: AtomicU64::new(0),
            events,
            ready: AtomicBool::new(false),
            stopping: OnceLock::new(),
            socket_shared: parts.socket_shared,
            max_store_connections: sockets / DESCRIPTORS_PER_STORE_CONNECTION,
            guard,
            agreed_routes,
            has_peer_process: AtomicBool::new(false),
            ids_to_report: Mutex::default(),
            request_ids: RequestIds::default(),
            id_claims: IdClaims::default(),
            open_requests: Arc::default(),
        }
    }

    /// Locks the broker.
    pub fn broker(&self) -> MutexGuard<'_, Broker<Mailbox>> {
        lock(&self.broker)
    }

    /// The deployment settings and names in force. The returned value does not change when the configuration is replaced.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.guard.version.snapshot().deployment.clone()
    }

    /// Applies new settings to the store connections and to the broker's policies.
    pub(super) fn retune(&self, deployment: &Deployment, sockets: usize) {
        self.stores.set_limits(store_limits(deployment.names.connections, sockets));
        self.broker().replace_settings(self.clock.now(), deployment.settings.clone());
    }

    /// The reason why this process is not ready for clients; `None` if it is ready.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.stopping.get().is_some() {
            return Some("stopping");
        }
        if !self.ready.load(Ordering::SeqCst) {
            return Some("starting");
        }
        if let Some(cause) = self.guard.version.seal() {
            return Some(cause.text());
        }
        self.broker().draining_since().map(|_| "drained")
    }

    /// Claims an id from the other process of an upgrade, if there is one.
    fn claim_request_id(&self, id: u64) -> IdUse {
        let claimed_at = Instant::now();
        let mut claim = self.id_claims.claim(id);
        while claim == Claim::Pending {
            may::coroutine::sleep(CLAIM_POLL_INTERVAL);
            let gives_up = claimed_at.elapsed() > CLAIM_TIMEOUT;
            claim = self.id_claims.poll(id, gives_up);
            if gives_up && claim == Claim::Pending {
                log::warn!("{id:016x} is refused: the other process of the upgrade has not granted its id");
                return IdUse::Unknown;
            }
        }
        if claim == Claim::Granted { IdUse::New } else { IdUse::Used }
    }

    /// Asks each open request to check whether its client is still connected.
    pub(super) fn request_presence_checks(&self) {
        lock(&self.waiting_clients).values().for_each(Mailbox::request_presence_check);
    }
}

impl EventSink for Core {
    fn apply(&self, batch: Batch) {
        self.events.apply_to(&*self.stores, batch);
    }

    fn renew_freshness(&self, lease: Lease, revalidations: u32) {
        self.events.renew_freshness(lease, revalidations);
    }

    /// Evicts an idle client to free a descriptor: without its feed connection the gateway receives no events.
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
        self.upsert(member.id, &line.instance_id, line.host_port.parse().ok(), gone);
    }
}

impl Service for Core {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.guard.version.snapshot()
    }

    fn routes(&self, snapshot: &Snapshot) -> Option<RoutesInForce> {
        match &self.agreed_routes {
            Some(agreed) => agreed.in_force(&snapshot.routes),
            None => Some(RoutesInForce::alone(snapshot.routes.clone())),
        }
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

    fn take_request_id(&self, id: u64, idempotent: bool) -> IdUse {
        if !self.request_ids.insert(id, idempotent) {
            let is_open = self.broker().caller(RequestId(id)).is_some();
            return if is_open { IdUse::Open } else { IdUse::Used };
        }
        if self.has_peer_process.load(Ordering::SeqCst) {
            lock(&self.ids_to_report).push(id);
        }
        let id_use = if idempotent { IdUse::New } else { self.claim_request_id(id) };
        if id_use == IdUse::Unknown {
            self.request_ids.remove(id, idempotent);
        }
        id_use
    }

    fn release_request_id(&self, id: u64, idempotent: bool) {
        self.request_ids.remove(id, idempotent);
    }

    fn remaining_time(&self) -> Micros {
        self.remaining_request_time()
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

/// The remaining part of an attempt's timeout.
fn remaining_timeout(planned: &PlannedAttempt, now: Micros) -> Duration {
    Duration::from_micros((planned.picked + planned.timeout).saturating_sub(now))
}

/// Derives the limits of store connections from the settings and the number of descriptors.
fn store_limits(connections: ConnectionLimits, sockets: usize) -> Limits {
    Limits {
        max_pending: connections.streams_per_connection,
        max_connections: sockets / DESCRIPTORS_PER_STORE_CONNECTION,
        connect_timeout: Duration::from_micros(connections.connect_timeout),
        // Well before the store closes an idle connection, so that no request is sent while the store closes it.
        idle_timeout: Duration::from_micros(connections.keepalive) * 2 / 3,
    }
}

#[cfg(test)]
mod tests;
