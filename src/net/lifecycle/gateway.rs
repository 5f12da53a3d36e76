//! The lifecycle of a gateway: the start of its parts, reload of the configuration, and graceful shutdown.

mod error;
mod single_process;

pub use error::StartError;

use crate::config::{Config, ConfigError, Shape};
use crate::consensus::Instance;
use crate::events::Batch;
use crate::net::core::{Core, CoreParts};
use crate::net::discovery::bus::{self, Feed};
use crate::net::discovery::event_sink::EventSink;
use crate::net::frontend::clients::Clients;
use crate::net::frontend::{admin, http};
use crate::net::lifecycle::control_side::{ControlConfig, ControlSide};
use crate::net::lifecycle::intents::{self, IntentStore};
use crate::net::lifecycle::{handover, link};
use crate::net::lock;
use crate::net::service::Service;
use crate::settings::Deployment;
use may::net::TcpListener;
use sagearch_operators::Operators;
use single_process::{start_consensus, start_dns};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often timers run. The broker keeps twice this in hand before each deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Ticks between two checks of whether clients have left.
const CLIENT_CHECK_TICKS: u32 = 10;
/// Ticks between two sweeps of idle connections.
const SWEEP_TICKS: u32 = 50;
/// Ticks between two checks of idle connections whose certificates have expired.
const CERTIFICATE_CHECK_TICKS: u32 = 250;
/// How often the stop flag is checked, and then whether all requests are answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A new process accepts clients once the bus has answered, or after this if the bus is silent.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Memory that is not available for answers.
const RESERVED_MEMORY_MB: usize = 8;
/// An answer takes at most an object of 240,000 bytes, its request's buffers and its coroutine's stack.
const ANSWERS_PER_MB: usize = 4;
/// One client is rejected with an answer at a time for each so many descriptors.
const DESCRIPTORS_PER_REJECTION: usize = 16;
/// How many clients can be rejected with an answer at a time, however few descriptors there are.
const MIN_REJECTIONS: usize = 2;

/// How many clients may be connected at a time: they have two fifths of the descriptors.
fn max_clients(sockets: usize, memory_mb: usize) -> usize {
    (sockets * 2 / 5).min((memory_mb - RESERVED_MEMORY_MB) * ANSWERS_PER_MB)
}

/// How many clients may be rejected with an answer at a time.
fn max_rejecting(sockets: usize) -> usize {
    (sockets / DESCRIPTORS_PER_REJECTION).max(MIN_REJECTIONS)
}

/// The configuration of the control side. The operators' file is moved out of `config`.
fn control_config(config: &mut Config) -> ControlConfig {
    ControlConfig {
        name: config.name.clone(),
        seed: config.seed,
        instance: u64::from(std::process::id()),
        bus: config.bus,
        peer_listen: config.peer_listen,
        lasting: config.lasting.clone(),
        // The two processes of an upgrade can't be the same member of the fleet: the new one joins at its next start.
        joins_fleet: config.socket.is_none(),
        known: Batch::default(),
        settings: config.settings.clone(),
        names: config.names.clone(),
        operators: std::mem::replace(&mut config.operators, Ok(Operators::default())),
    }
}

fn core_parts(config: &Config, control_side: &ControlSide, clients: &Arc<Clients>) -> CoreParts {
    CoreParts {
        clock: control_side.clock,
        broker: control_side.broker_handle(),
        guard: control_side.guard.clone(),
        events: control_side.events(),
        clients: clients.clone(),
        sockets: config.sockets,
        connections: config.names.connections,
        socket_shared: config.socket.is_some(),
    }
}

/// Answers operators' calls at an address. Returns where it listens.
fn start_admin(core: &Arc<Core>, address: SocketAddr, keeper: IntentStore) -> Result<SocketAddr, StartError> {
    let listen_error = |cause| StartError::Admin { address, cause };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    let core = core.clone();
    crate::net::spawn(move || admin::listen(&core, &listener, keeper));
    Ok(bound)
}

/// The listening socket for clients: the one that the platform holds, or a new one.
fn client_listener(config: &Config) -> io::Result<TcpListener> {
    match config.socket {
        Some(socket) => handover::inherit_listener(socket, config.listen),
        None => TcpListener::bind(config.listen),
    }
}

/// Accepts clients, once the bus has answered where another process accepts them already.
fn serve_clients(core: Arc<Core>, clients: Arc<Clients>, feed: Arc<Feed>, listener: TcpListener) {
    crate::net::spawn(move || {
        let start = Instant::now();
        while core.socket_shared && !feed.is_caught_up() && start.elapsed() < CATCH_UP_TIMEOUT {
            may::coroutine::sleep(TICK_INTERVAL);
        }
        core.ready.store(true, Ordering::SeqCst);
        let service: Arc<dyn Service> = core;
        http::listen(&service, &listener, &clients);
    });
}

/// Runs the timers of the broker, the clients and the connections to stores.
fn run_timers(core: Arc<Core>, control_side: Arc<ControlSide>, clients: Arc<Clients>) {
    crate::net::spawn(move || {
        for tick in 0_u32.. {
            may::coroutine::sleep(TICK_INTERVAL);
            control_side.tick();
            if tick.is_multiple_of(CLIENT_CHECK_TICKS) {
                core.request_presence_checks();
            }
            if tick.is_multiple_of(CERTIFICATE_CHECK_TICKS) {
                clients.shut_expired_identities(&core.guard);
            }
            if tick.is_multiple_of(SWEEP_TICKS) {
                core.stores.sweep(core.is_handed_over());
                clients.sweep(core.connection_draining());
            }
        }
    });
}

/// A gateway that listens.
pub struct Gateway {
    /// The path of requests.
    pub core: Arc<Core>,
    control_side: Arc<ControlSide>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    /// Where the DNS frontend listens, now or once the address is free.
    pub dns: Option<SocketAddr>,
    /// Which keys the configuration in force has: a new one may not lack any of them.
    shape: Mutex<Shape>,
    /// How many descriptors the process may use.
    sockets: usize,
    /// The instance of the consensus group that commits routes.
    pub raft: Option<Instance>,
}

impl Gateway {
    /// Starts all parts: the configuration's events are applied first, and clients are accepted last.
    ///
    /// # Errors
    /// [`StartError`]: the part that can't start, and why.
    pub fn start(mut config: Config) -> Result<Gateway, StartError> {
        let max_clients = max_clients(config.sockets, config.memory_mb);
        let clients = Arc::new(Clients::new(max_clients, max_rejecting(config.sockets)));
        let control_side = ControlSide::prepare(control_config(&mut config));
        let control_side = Arc::new(control_side.map_err(StartError::ControlSide)?);
        let core = Arc::new(Core::new(core_parts(&config, &control_side, &clients)));
        let sink: Arc<dyn EventSink> = core.clone();
        bus::apply_new_events(&control_side.feed, &*sink, std::mem::take(&mut config.known));
        let keeper = intents::start(&core, config.lasting.as_deref(), &config.name);
        let keeper = keeper.map_err(StartError::Intents)?;
        let admin = config.admin.map(|address| start_admin(&core, address, keeper)).transpose()?;
        let listen_error = |cause| StartError::Clients { address: config.listen, cause };
        let listener = client_listener(&config).map_err(listen_error)?;
        let listen = listener.local_addr().map_err(listen_error)?;
        let dns = start_dns(&core, control_side.operators.dns.clone(), listen, config.seed)?;
        let raft = start_consensus(&core, control_side.operators.raft.clone())?;
        if raft.is_some() {
            control_side.config.use_consensus_routes();
        }
        control_side.follow_control().map_err(StartError::Control)?;
        if let Some(folder) = &config.lasting
            && let Err(e) = link::start(&core, folder, &config.name)
        {
            log::warn!("link: {e}; going on without it");
        }
        control_side.follow_bus(&sink, config.bus);
        serve_clients(core.clone(), clients.clone(), control_side.feed.clone(), listener);
        run_timers(core.clone(), control_side.clone(), clients);
        log::info!("{} serves at {listen}", config.name);
        let (shape, sockets) = (Mutex::new(config.shape), config.sockets);
        Ok(Gateway { core, control_side, listen, admin, dns, shape, sockets, raft })
    }

    /// Applies a configuration that has replaced the one before: its settings, the operators' file and the address
    /// of its bus, which is followed from the last event on. It is applied completely or not at all, and open requests
    /// go on under the rules with which they were admitted. All else in it applies from the next start.
    ///
    /// # Errors
    /// The key that is missing, or the operators' file that can't be used. Nothing has changed then.
    pub fn reload(&self, config: Config) -> Result<(), ConfigError> {
        let mut shape = lock(&self.shape);
        shape.check_replacement(&config.shape)?;
        let Config { settings, names, bus, operators, .. } = config;
        let core = &self.core;
        // Only the operators' file can still be rejected; from its commit on nothing fails.
        let deployment = core.deployment().with_settings(settings, names);
        let retune = |deployment: &Deployment| core.retune(deployment, self.sockets);
        let operators = operators.map_err(|faults| ConfigError::new("operators", faults))?;
        let replaced = self.control_side.config.replace_file(operators, deployment, retune);
        replaced.map_err(ConfigError::operators_rejected)?;
        let sink: Arc<dyn EventSink> = core.clone();
        self.control_side.change_bus_address(&sink, bus);
        *shape = config.shape;
        log::info!("configuration read again: the settings are in force, and the event bus is {bus}");
        Ok(())
    }

    /// Waits until the flag is set, drains, and returns once all admitted requests are answered, or the time for that is
    /// over. Blocks the caller's thread.
    pub fn finish(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        self.control_side.leave_fleet();
        self.core.stop();
        while !self.core.is_finished() {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}
