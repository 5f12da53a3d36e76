//! Receives versions of the configuration from control services. Provides connections, storage and time to the state
//! machine in [`sagearch_stream::subscriber`].
//!
//! Runs on a dedicated thread, which may block on disk and network I/O. Requests see a version only once its snapshot
//! is in force.
//!
//! - `connection`: opens TLS connections to control services;
//! - `notices`: logs and counts the events that operators are notified of;
//! - `stored_versions`: stores versions on disk and resumes from them.

mod connection;
mod notices;
mod stored_versions;

use crate::metrics::Metrics;
use crate::net::Permit;
use crate::net::clock::Clock;
use crate::net::configuration::identity::Admission;
use crate::net::configuration::layered_config::{LayeredConfig, StagedVersion};
use connection::{READ_TIMEOUT, Stream};
use sagearch_operators::control::Control;
use sagearch_operators::files::PARSER_STACK_BYTES;
use sagearch_stream::Version;
use sagearch_stream::message::{Decoder, FromGateway, FromService, encode};
use sagearch_stream::subscriber::{Input, Output, Settings, StepError, Subscriber};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
pub use stored_versions::resume;

/// Makes the subscriber's random sequence differ from those of other components with the same seed.
const SEED_SALT: u64 = 0xc0_47_01;
/// Size of the buffer for reads from a connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Converts the gateway's clock, in microseconds, to the state machine's milliseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// Aborts the process at the step named by the environment variable `SAGEARCH_CRASH_AT`, for crash tests. Has no effect
/// in release builds.
fn crash_point(name: &str) {
    if cfg!(debug_assertions) && std::env::var("SAGEARCH_CRASH_AT").is_ok_and(|step| step == name) {
        std::process::abort();
    }
}

/// A connection to a control service, with a decoder that buffers partially received messages.
struct Connection {
    stream: Stream,
    decoder: Decoder,
}

/// Runs the subscriber against the control services, over one connection at a time.
struct Follower<'a> {
    config: &'a LayeredConfig,
    admission: &'a Admission,
    metrics: &'a Metrics,
    control: Control,
    clock: Clock,
    /// Identifies this process among those that store versions in the same folder.
    instance: u64,
    subscriber: Subscriber,
    connection: Option<Connection>,
    /// The version that has been staged but is not in force yet.
    staged: Option<StagedVersion<'a>>,
    /// When the version that is being applied had been received completely.
    assembled_at: Instant,
}

impl Follower<'_> {
    /// Returns the time of the gateway's clock in milliseconds.
    fn now_millis(&self) -> u64 {
        self.clock.now() / MICROS_PER_MILLI
    }

    fn run(&mut self, stopping: &AtomicBool) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while !stopping.load(Ordering::SeqCst) {
            self.subscriber.set_counts(self.admission.counts());
            self.handle(Input::Tick);
            let Some(Connection { stream, decoder }) = &mut self.connection else {
                std::thread::sleep(READ_TIMEOUT);
                continue;
            };
            match stream.read(&mut buffer) {
                Ok(0) => self.connection_lost("the control service closed the connection"),
                Ok(read) => {
                    decoder.push(&buffer[..read]);
                    self.handle_messages();
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => self.connection_lost(&e.to_string()),
            }
        }
    }

    fn handle_messages(&mut self) {
        loop {
            let decoded =
                self.connection.as_mut().map(|connection| connection.decoder.next_message::<FromService>());
            match decoded {
                Some(Ok(Some(message))) => self.handle(Input::Received(message)),
                Some(Err(error)) => return self.connection_lost(&error.to_string()),
                _ => return,
            }
        }
    }

    fn connection_lost(&mut self, cause: &str) {
        if self.connection.take().is_some() {
            tracing::warn!(cause, "control: connection lost; the version in force is kept");
        }
        self.handle(Input::Disconnected);
    }

    /// Passes an input to the state machine and carries out its outputs. Their results are passed on as further inputs,
    /// until none remain.
    fn handle(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.subscriber.handle(self.now_millis(), input) {
                inputs.extend(self.carry_out(output));
            }
        }
    }

    /// Carries out an output of the state machine and returns its result, if it has one, as the next input.
    fn carry_out(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Connect { address } => return Some(self.connect(address)),
            Output::Disconnect(reason) => {
                tracing::warn!(cause = reason.to_string(), "control: the connection is given up");
                self.connection = None;
            }
            Output::Send(message) => return self.send(&message),
            Output::Stage(version) => return Some(self.stage(&version)),
            Output::Store(version) => return Some(self.store(&version)),
            Output::Commit(_) => {
                if let Some(staged) = self.staged.take() {
                    self.config.commit(staged);
                }
                crash_point("in-force");
                return Some(Input::Committed);
            }
            Output::Notice(notice) => notices::report(notice, self.metrics, self.assembled_at),
        }
        None
    }

    fn connect(&mut self, address: usize) -> Input {
        match connection::connect(&self.control, address) {
            Ok(stream) => {
                self.connection = Some(Connection { stream, decoder: Decoder::default() });
                tracing::info!(address = %self.control.addresses[address].address, "control: connected");
                Input::Connected
            }
            Err(error) => {
                let cause = error.to_string();
                tracing::debug!(cause, "control: failed to connect to a control service");
                Input::Disconnected
            }
        }
    }

    fn send(&mut self, message: &FromGateway) -> Option<Input> {
        let stream = &mut self.connection.as_mut()?.stream;
        let sent = encode(message).map_err(io::Error::other).and_then(|bytes| {
            stream.write_all(&bytes)?;
            stream.flush()
        });
        if matches!(message, FromGateway::Ack { .. }) {
            crash_point("acknowledged");
        }
        if sent.is_ok() {
            return None;
        }
        self.connection = None;
        Some(Input::Disconnected)
    }

    fn stage(&mut self, version: &Arc<Version>) -> Input {
        crash_point("assembled");
        self.assembled_at = Instant::now();
        match self.config.stage(version) {
            Ok(staged) => {
                crash_point("staged");
                self.staged = Some(staged);
                Input::Staged(Ok(()))
            }
            Err(error) => Input::Staged(Err(StepError::new(&error))),
        }
    }

    fn store(&mut self, version: &Version) -> Input {
        let stored = stored_versions::store(&self.control, version, self.instance);
        crash_point("kept");
        Input::Stored(stored.map_err(|error| StepError::new(&error)))
    }
}

/// Dependencies and settings of a follower of control services.
pub(in crate::net) struct VersionFollowerConfig {
    /// The layered configuration in which versions are staged and committed.
    pub config: Arc<LayeredConfig>,
    /// Source of the request counts by which control services judge a version during a rollout.
    pub admission: Arc<Admission>,
    /// Counters of versions in force, rejected and skipped.
    pub metrics: Arc<Metrics>,
    /// Addresses, credentials and limits for the control services, from the operators' file.
    pub control: Control,
    /// Monotonic clock of the gateway.
    pub clock: Clock,
    /// Name of the gateway, as reported to control services.
    pub node: String,
    /// Identifies this run of the gateway, also among gateways in one process.
    pub instance: u64,
    /// Seed of the random delays that spread the connections of a fleet over time.
    pub seed: u64,
    /// The stored version that is already in force, if any.
    pub in_force: Option<Arc<Version>>,
}

/// Starts a thread that follows the control services until `stopping` is set, and drops `running` when it ends.
///
/// # Errors
///
/// If the system can't start a thread.
pub(in crate::net) fn follow(
    follower: VersionFollowerConfig,
    stopping: Arc<AtomicBool>,
    running: Permit,
) -> io::Result<()> {
    let VersionFollowerConfig { config, admission, metrics, control, clock, node, instance, seed, in_force } =
        follower;
    let settings = Settings {
        node,
        instance,
        address_count: control.addresses.len(),
        max_version_bytes: control.largest,
        heartbeat_interval: control.beat,
        reconnect_window: control.spread,
    };
    let thread = std::thread::Builder::new().name("control".into()).stack_size(PARSER_STACK_BYTES);
    let spawned = thread.spawn(move || {
        let _running = running;
        let subscriber =
            Subscriber::new(settings, in_force, seed ^ SEED_SALT, clock.now() / MICROS_PER_MILLI);
        let mut follower = Follower {
            config: &config,
            admission: &admission,
            metrics: &metrics,
            control,
            clock,
            instance,
            subscriber,
            connection: None,
            staged: None,
            assembled_at: Instant::now(),
        };
        follower.run(&stopping);
    });
    spawned.map(drop)
}
