//! The control side of a gateway: the broker and its inputs, without frontends. The inputs are the event feed, the operators'
//! file, configuration versions from a control service, and state shared with other members of the fleet.
//!
//! [`Gateway`](crate::net::lifecycle::gateway::Gateway) adds frontends to a control side. A process may start many control
//! sides, each with its own name, seed and settings, once [`crate::net::set_up`] has been called.

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

/// How often [`ControlSide::stopped_within`] checks whether all threads and coroutines have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The control side of a gateway: the broker and its inputs, without frontends. It stops when it is dropped.
pub struct ControlSide {
    /// The gateway's clock.
    pub clock: Clock,
    /// The configuration version in force, the upkeep of its key sets and the admission of callers.
    pub guard: Arc<Guard>,
    /// The configuration, layered from the operators' file and the version of the control service.
    pub config: Arc<LayeredConfig>,
    /// The progress of the event feed.
    pub feed: Arc<Feed>,
    /// The operators' file that was read at the start; empty if it could not be used.
    pub operators: Operators,
    broker: Arc<Mutex<Broker<Mailbox>>>,
    events: Arc<BrokerEvents>,
    cluster_node: Option<Arc<ClusterNode>>,
    staleness: Mutex<StalenessMonitor>,
    name: String,
    seed: u64,
    instance: u64,
    /// The incarnation of this process, by which relays and members of the fleet tell it from earlier ones; 0 where it has
    /// contact with neither.
    incarnation: u64,
    /// The stored version that was applied at the start.
    resumed_version: Option<Arc<Version>>,
    stopping: Arc<AtomicBool>,
    /// The number of running threads and coroutines of this control side.
    running: Arc<AtomicUsize>,
}

impl ControlSide {
    /// Starts a control side with all of its followers. `wrap` receives the sink that applies events, and may return one
    /// that observes them.
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

    /// Starts a control side without the followers of the event bus and of the control services. The caller applies the
    /// events of the configuration.
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
        // The stored version must be in force before any request is served.
        let resumed_version = resume_version(&layered_config, &operators);
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
            cluster_node: None,
            staleness: Mutex::default(),
            name,
            seed,
            instance,
            incarnation,
            resumed_version,
            stopping: Arc::default(),
            running: Arc::default(),
        };
        control_side.start_freshness_lease();
        if joins_fleet {
            control_side.join_fleet(peer_listen)?;
        }
        Ok(control_side)
    }

    /// Sets a freshness lease that has already expired, where purges come from relays: none have been received yet.
    fn start_freshness_lease(&self) {
        if let Some(relays) = &self.operators.feed {
            let (lease, revalidations) = (feed::initial_lease(relays, self.clock.now()), relays.revalidate);
            self.broker().renew_freshness(self.clock.now(), lease, revalidations);
        }
    }

    /// Joins the fleet that the operators' file names, if any, to share state with its other members.
    fn join_fleet(&mut self, peer_listen: Option<SocketAddr>) -> io::Result<()> {
        let Some(fleet) = &self.operators.fleet else { return Ok(()) };
        let join_config = JoinConfig {
            fleet,
            name: &self.name,
            listen: peer_listen,
            clock: self.clock,
            incarnation: Incarnation(self.incarnation),
            seed: self.seed,
            counters: self.guard.metrics.shared.clone(),
        };
        let started = cluster::start(join_config)?;
        let Some(started) = started else { return Ok(()) };
        started.budgets.into_iter().for_each(|budget| self.broker().set_shared_retry_budget(budget));
        self.cluster_node = Some(started.node);
        Ok(())
    }

    /// Locks the broker.
    pub fn broker(&self) -> MutexGuard<'_, Broker<Mailbox>> {
        lock(&self.broker)
    }

    /// Returns a handle of the broker, for parts that lock it themselves.
    pub(in crate::net) fn broker_handle(&self) -> Arc<Mutex<Broker<Mailbox>>> {
        self.broker.clone()
    }

    /// Returns the sink that applies events to the broker.
    pub fn events(&self) -> Arc<BrokerEvents> {
        self.events.clone()
    }

    /// Returns the counters of the event feed.
    pub fn counters(&self) -> &FeedCounters {
        &self.guard.metrics.feed
    }

    /// Runs the broker's timers, which also request quotas of shared budgets. Must be called every 2 ms.
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

    /// Counts a further thread or coroutine as running until the returned permit is dropped.
    fn permit(&self) -> Option<Permit> {
        Permit::take(&self.running, usize::MAX)
    }

    /// Releases the leases and quotas that this gateway holds as a member of the fleet.
    pub fn leave_fleet(&self) {
        self.cluster_node.iter().for_each(|node| node.request_leave());
    }

    /// Requests all threads and coroutines to stop, and closes the feed's connection. No further event is applied.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.feed.stop();
        self.guard.stop();
        self.cluster_node.iter().for_each(|node| node.stop());
    }

    fn has_ended(&self) -> bool {
        let node_ended = self.cluster_node.as_ref().is_none_or(|node| node.ended());
        node_ended && self.running.load(Ordering::SeqCst) == 0
    }

    /// Waits up to `timeout` for all threads and coroutines to end; returns whether they have. Blocks the calling thread, so
    /// coroutines must not call it.
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

/// Applies the stored version of an earlier run, where a control service is configured. Without a stored version, a gateway
/// that must not serve without one serves nobody until the first version arrives.
fn resume_version(layered_config: &LayeredConfig, operators: &Operators) -> Option<Arc<Version>> {
    let control = operators.control.as_ref()?;
    let resumed = control::resume(layered_config, control);
    layered_config.log_seal();
    resumed
}

impl Drop for ControlSide {
    fn drop(&mut self) {
        self.stop();
    }
}
