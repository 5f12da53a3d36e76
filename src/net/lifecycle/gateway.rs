//! Starts the parts of a gateway, reloads its configuration, and shuts it down gracefully.

mod error;
mod single_process;

pub use error::StartError;

use crate::config::{Config, ConfigError, RequiredKeys};
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

/// How often timers run. The broker reserves twice this interval before each deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Ticks between two checks for clients that have disconnected.
const CLIENT_CHECK_TICKS: u32 = 10;
/// Ticks between two sweeps of idle connections.
const SWEEP_TICKS: u32 = 50;
/// Ticks between two checks for idle connections whose client certificates have expired.
const CERTIFICATE_CHECK_TICKS: u32 = 250;
/// How often [`Gateway::finish`] checks the stop flag and, once it is set, whether all requests are answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a new process waits for the event bus to answer before it accepts clients anyway.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Memory that is not available for responses.
const RESERVED_MEMORY_MB: usize = 8;
/// A response takes at most an object of 240,000 bytes, its request's buffers and its coroutine's stack.
const RESPONSES_PER_MB: usize = 4;
/// Descriptors per client that may be rejected with a response at the same time.
const DESCRIPTORS_PER_REJECTION: usize = 16;
/// How many clients may be rejected with a response at the same time, however few descriptors there are.
const MIN_REJECTIONS: usize = 2;

const BYTES_PER_MB: usize = 1024 * 1024;
/// Memory of a process without clients.
const PROCESS_BYTES: usize = 16 * BYTES_PER_MB;
/// Memory of a client's connection without a body: the used part of its coroutine's stack, and a head.
const CONNECTION_BYTES: usize = 56 * 1024;
/// A quarter of what is left is for bodies; answers and connections to stores need the rest.
const BUFFER_DIVISOR: usize = 4;
/// Bodies have this much in any case: twenty of the largest.
const MIN_BUFFER_BYTES: usize = 2 * BYTES_PER_MB;

/// How many clients may be connected at the same time: two fifths of the descriptors are reserved for them, and each
/// needs memory for a response.
fn max_clients(sockets: usize, memory_mb: usize) -> usize {
    (sockets * 2 / 5).min((memory_mb - RESERVED_MEMORY_MB) * RESPONSES_PER_MB)
}

/// How many clients may be rejected with a response at the same time.
fn max_concurrent_rejections(sockets: usize) -> usize {
    (sockets / DESCRIPTORS_PER_REJECTION).max(MIN_REJECTIONS)
}

/// How many bytes of bodies, and of requests behind one in flight, all clients together may have in memory.
fn buffer_limit(memory_mb: usize, connections: usize) -> usize {
    let available = (memory_mb * BYTES_PER_MB).saturating_sub(PROCESS_BYTES + connections * CONNECTION_BYTES);
    (available / BUFFER_DIVISOR).max(MIN_BUFFER_BYTES)
}

/// Builds the configuration of the control side. Moves the operators' file out of `config`.
fn control_config(config: &mut Config) -> ControlConfig {
    ControlConfig {
        name: config.name.clone(),
        seed: config.seed,
        instance: u64::from(std::process::id()),
        bus: config.bus,
        peer_listen: config.peer_listen,
        lasting: config.lasting.clone(),
        // The two processes of an upgrade can't be the same member of the fleet. A process with an inherited socket may
        // be either of them, so it does not join.
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
        agreed_routes: control_side.operators.raft.as_ref().map(|_| Arc::default()),
        events: control_side.events(),
        clients: clients.clone(),
        sockets: config.sockets,
        connections: config.names.connections,
        socket_shared: config.socket.is_some(),
    }
}

/// Starts the listener for operators' calls, and returns its address.
fn start_admin(
    core: &Arc<Core>,
    address: SocketAddr,
    intent_store: IntentStore,
) -> Result<SocketAddr, StartError> {
    let listen_error = |cause| StartError::Admin { address, cause };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    let core = core.clone();
    crate::net::spawn(move || admin::listen(&core, &listener, intent_store));
    Ok(bound)
}

/// Returns the listener for clients: the inherited socket that the platform holds, or a new one.
fn client_listener(config: &Config) -> io::Result<TcpListener> {
    match config.socket {
        Some(socket) => handover::inherit_listener(socket, config.listen),
        None => TcpListener::bind(config.listen),
    }
}

/// Accepts clients. Where the listening socket is shared with another process, which may already accept clients, this
/// one first waits until it has caught up with the event bus, for at most [`CATCH_UP_TIMEOUT`].
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

/// A running gateway.
pub struct Gateway {
    /// The part that handles requests.
    pub core: Arc<Core>,
    control_side: Arc<ControlSide>,
    /// The address where clients connect.
    pub listen: SocketAddr,
    /// The address of the listener for operators' calls; `None`: there is none.
    pub admin: Option<SocketAddr>,
    /// The address where the DNS frontend listens, or will listen once it is free; `None`: the frontend is off.
    pub dns: Option<SocketAddr>,
    /// The keys that a replacement of the configuration in force must hold.
    required_keys: Mutex<RequiredKeys>,
    /// The descriptor limit of the process.
    sockets: usize,
    /// This gateway's instance of the consensus group that commits routes; `None`: there is none, or it starts only once
    /// the previous process frees its address.
    pub raft: Option<Instance>,
}

impl Gateway {
    /// Starts all parts of a gateway: applies the events of the configuration first, and accepts clients last.
    ///
    /// # Errors
    /// Returns the part that can't be started and the cause.
    pub fn start(mut config: Config) -> Result<Gateway, StartError> {
        let max_clients = max_clients(config.sockets, config.memory_mb);
        let max_rejections = max_concurrent_rejections(config.sockets);
        let buffer_limit = buffer_limit(config.memory_mb, max_clients + max_rejections);
        let clients = Arc::new(Clients::new(max_clients, max_rejections).with_buffer_limit(buffer_limit));
        let control_side = ControlSide::prepare(control_config(&mut config));
        let control_side = Arc::new(control_side.map_err(StartError::ControlSide)?);
        let core = Arc::new(Core::new(core_parts(&config, &control_side, &clients)));
        let sink: Arc<dyn EventSink> = core.clone();
        bus::apply_new_events(&control_side.feed, &*sink, std::mem::take(&mut config.known));
        let intent_store = intents::start(&core, config.lasting.as_deref(), &config.name);
        let intent_store = intent_store.map_err(StartError::Intents)?;
        let admin = config.admin.map(|address| start_admin(&core, address, intent_store)).transpose()?;
        let listen_error = |cause| StartError::Clients { address: config.listen, cause };
        let listener = client_listener(&config).map_err(listen_error)?;
        let listen = listener.local_addr().map_err(listen_error)?;
        let dns = start_dns(&core, control_side.operators.dns.clone(), listen, config.seed)?;
        let raft = start_consensus(&core, control_side.operators.raft.clone())?;
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
        let required_keys = Mutex::new(RequiredKeys::of(&config.shape));
        let sockets = config.sockets;
        Ok(Gateway { core, control_side, listen, admin, dns, required_keys, sockets, raft })
    }

    /// Applies a reloaded configuration: its settings, the operators' file and the address of the event bus, which is
    /// followed from the last event received. The configuration is applied completely or not at all. Open requests
    /// continue under the rules that were in force at their admission. Other keys take effect at the next start.
    ///
    /// # Errors
    /// A key is missing, or the operators' file can't be used. The configuration in force is then unchanged.
    pub fn reload(&self, config: Config) -> Result<(), ConfigError> {
        let mut required_keys = lock(&self.required_keys);
        required_keys.check(&config.shape)?;
        let Config { settings, names, bus, operators, shape, .. } = config;
        let core = &self.core;
        // Only the operators' file can still be rejected; nothing fails after `replace_file` has committed it.
        let deployment = core.deployment().with_settings(settings, names);
        let retune = |deployment: &Deployment| core.retune(deployment, self.sockets);
        let operators = operators.map_err(|faults| ConfigError::new("operators", faults))?;
        let replaced = self.control_side.config.replace_file(operators, deployment, retune);
        replaced.map_err(ConfigError::operators_rejected)?;
        let sink: Arc<dyn EventSink> = core.clone();
        self.control_side.change_bus_address(&sink, bus);
        required_keys.replace(&shape);
        log::info!("configuration read again: the settings are in force, and the event bus is {bus}");
        Ok(())
    }

    /// Waits until `stop` is set, then shuts down gracefully: returns once all admitted requests are answered or the
    /// shutdown deadline has passed. Blocks the calling thread.
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
