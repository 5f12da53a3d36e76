//! The control side of a gateway: all that it does without clients and requests. That is the broker and what it is fed by:
//! the event feed, the operators' file, versions from a control service, and state that gateways share.
//!
//! [`Gateway`](crate::net::lifecycle::gateway::Gateway) adds frontends to one. A process may start many, each with a name,
//! a seed and settings of its own, once [`crate::net::set_up`] has been called.

mod config;
mod followers;

use crate::broker::Broker;
use crate::metrics::FeedCounters;
use crate::net::clock::Clock;
use crate::net::cluster::{self, ClusterNode, JoinConfig};
use crate::net::configuration::control;
use crate::net::configuration::identity::Guard;
use crate::net::configuration::layered_config::LayeredConfig;
use crate::net::discovery::bus::{self, Feed};
use crate::net::discovery::event_sink::{BrokerEvents, EventSink};
use crate::net::discovery::feed;
use crate::net::discovery::staleness::StalenessMonitor;
use crate::net::lifecycle::incarnation;
use crate::net::mailbox::Mailbox;
use crate::net::{Permit, lock};
use crate::settings::Deployment;
pub use config::ControlConfig;
use sagearch_homes::Incarnation;
use sagearch_operators::Operators;
use sagearch_stream::Version;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often it is checked whether all threads and coroutines have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A gateway without clients and requests. It stops when it is dropped.
pub struct ControlSide {
    /// The gateway's clock.
    pub clock: Clock,
    /// The version in force.
    pub guard: Arc<Guard>,
    /// The operators' file and the streamed version together.
    pub config: Arc<LayeredConfig>,
    /// How far the bus has been followed.
    pub feed: Arc<Feed>,
    /// The operators' file of the start; empty if that could not be used.
    pub operators: Operators,
    broker: Arc<Mutex<Broker<Mailbox>>>,
    events: Arc<BrokerEvents>,
    shared: Option<Arc<ClusterNode>>,
    staleness: Mutex<StalenessMonitor>,
    name: String,
    seed: u64,
    instance: u64,
    /// The number of this process among those of the gateway, for relays and the members of the fleet.
    incarnation: u64,
    /// The stored version that was applied at the start.
    resumed: Option<Arc<Version>>,
    stopping: Arc<AtomicBool>,
    /// How many of its threads and coroutines are running.
    running: Arc<AtomicUsize>,
}

impl ControlSide {
    /// Starts all of it. `wrap` gets the sink that applies events, and may return one that observes it.
    ///
    /// # Errors
    /// A socket can't be bound, or a thread can't be started.
    pub fn start(
        mut config: ControlConfig,
        wrap: impl FnOnce(Arc<dyn EventSink>) -> Arc<dyn EventSink>,
    ) -> io::Result<ControlSide> {
        let (bus, known) = (config.bus, std::mem::take(&mut config.known));
        let control_side = ControlSide::prepare(config)?;
        let sink = wrap(control_side.events());
        bus::apply_new_events(&control_side.feed, &*sink, known);
        control_side.follow_control()?;
        control_side.follow_bus(&sink, bus);
        Ok(control_side)
    }

    /// Starts all but the followers of the bus and of the control services. The caller applies the events of the start.
    ///
    /// # Errors
    /// The socket for other gateways can't be bound, or a thread can't be started.
    pub(in crate::net) fn prepare(config: ControlConfig) -> io::Result<ControlSide> {
        let ControlConfig {
            name,
            seed,
            instance,
            peer_listen,
            lasting,
            joins_fleet,
            settings,
            names,
            operators,
            ..
        } = config;
        let clock = Clock::default();
        let broker = Arc::new(Mutex::new(Broker::new(settings.clone(), seed)));
        let guard = Guard::new(clock, seed, Deployment { settings, names });
        let layered_config = Arc::new(LayeredConfig::new(guard.clone()));
        layered_config.start(&operators);
        let operators = operators.unwrap_or_default();
        let known_to_others = operators.feed.is_some() || (joins_fleet && operators.fleet.is_some());
        let incarnation = if known_to_others { incarnation::next(lasting.as_deref(), &name) } else { 0 };
        // Before any request is served.
        let resumed = resume_version(&layered_config, &operators);
        let events = Arc::new(BrokerEvents::new(clock, broker.clone(), guard.version.clone()));
        let feed = Arc::new(Feed::new(seed, guard.metrics.feed.clone()));
        let mut control_side = ControlSide {
            clock,
            guard,
            config: layered_config,
            feed,
            operators,
            broker,
            events,
            shared: None,
            staleness: Mutex::default(),
            name,
            seed,
            instance,
            incarnation,
            resumed,
            stopping: Arc::default(),
            running: Arc::default(),
        };
        control_side.start_freshness_lease();
        if joins_fleet {
            control_side.join_fleet(peer_listen)?;
        }
        Ok(control_side)
    }

    /// Starts with a freshness lease that has expired, where purges come from relays: nothing is known of them yet.
    fn start_freshness_lease(&self) {
        if let Some(relays) = &self.operators.feed {
            let (lease, revalidations) = (feed::initial_lease(relays, self.clock.now()), relays.revalidate);
            self.broker().renew_freshness(self.clock.now(), lease, revalidations);
        }
    }

    /// Shares state with other gateways, where the operators' file names a fleet.
    fn join_fleet(&mut self, peer_listen: Option<SocketAddr>) -> io::Result<()> {
        let Some(fleet) = &self.operators.fleet else { return Ok(()) };
        let joining = JoinConfig {
            fleet,
            name: &self.name,
            listen: peer_listen,
            clock: self.clock,
            incarnation: Incarnation(self.incarnation),
            seed: self.seed,
            counters: self.guard.metrics.shared.clone(),
        };
        let started = cluster::start(joining)?;
        let Some(started) = started else { return Ok(()) };
        started.budgets.into_iter().for_each(|budget| self.broker().set_shared_retry_budget(budget));
        self.shared = Some(started.node);
        Ok(())
    }

    /// The broker, locked.
    pub fn broker(&self) -> MutexGuard<'_, Broker<Mailbox>> {
        lock(&self.broker)
    }

    /// The broker, for parts that lock it themselves.
    pub(in crate::net) fn broker_handle(&self) -> Arc<Mutex<Broker<Mailbox>>> {
        self.broker.clone()
    }

    /// The sink that applies events to the broker.
    pub fn events(&self) -> Arc<BrokerEvents> {
        self.events.clone()
    }

    /// The counters of the event feed.
    pub fn counters(&self) -> &FeedCounters {
        &self.guard.metrics.feed
    }

    /// Runs the broker's timers, which also request quotas of shared budgets. To be called every 2 ms.
    pub fn tick(&self) {
        let now = self.clock.now();
        let report = {
            let mut broker = self.broker();
            broker.tick(now);
            if self.operators.feed.is_some() { broker.freshness(now) } else { None }
        };
        if let Some(report) = report {
            let counters = &self.counters().staleness;
            lock(&self.staleness).record(now, &report, || self.feed.failure_cause(), counters);
        }
    }

    /// Counts one more thread or coroutine as running, until the permit is dropped.
    fn permit(&self) -> Option<Permit> {
        Permit::take(&self.running, usize::MAX)
    }

    /// Releases the leases and quotas that it has as a member of a fleet.
    pub fn leave_fleet(&self) {
        self.shared.iter().for_each(|shared| shared.request_leave());
    }

    /// Stops its threads and coroutines, and closes the connection of the feed. No event is applied any more.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.feed.stop();
        self.guard.stop();
        self.shared.iter().for_each(|shared| shared.stop());
    }

    fn has_ended(&self) -> bool {
        let shared_ended = self.shared.as_ref().is_none_or(|shared| shared.ended());
        shared_ended && self.running.load(Ordering::SeqCst) == 0
    }

    /// Whether all threads and coroutines end within `timeout`. Blocks: not to be called by a coroutine.
    pub fn stopped_within(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while !self.has_ended() {
            if start.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }
}

/// Applies the version that was stored before, where there is a control service. Without one, a gateway that must not
/// serve without a version is sealed until the first one arrives.
fn resume_version(layered_config: &LayeredConfig, operators: &Operators) -> Option<Arc<Version>> {
    let control = operators.control.as_ref()?;
    let resumed = control::resume(layered_config, control);
    layered_config.seal_until_first_version(control);
    resumed
}

impl Drop for ControlSide {
    fn drop(&mut self) {
        self.stop();
    }
}
