//! Start and shutdown of a relay.

use crate::admission::{Admission, Limits};
use crate::client::HttpClient;
use crate::clock::Clock;
use crate::state::State;
use crate::upstream::Follower;
use crate::{listener, peers, routes, ticker};
use sagearch_feed::relay::{Relay, Settings as RelaySettings};
use sagearch_feed::subscription::{Settings as SubscriptionSettings, Subscription};
use sagearch_feed::{MILLISECOND, Micros};
use sagearch_operators::relay::RelayFile;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// File descriptors for everything but client connections: upstreams, peer relays, `/proc` and the log.
const RESERVED_DESCRIPTORS: usize = 128;

/// An error that prevents a relay from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listener can't be opened.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The configured listen address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The limit of open file descriptors is too low for the configured connections.
    #[error("the configured sessions need {needed} file descriptors, but the system allows {allowed}")]
    Descriptors {
        /// The number of descriptors that the configured connections need.
        needed: usize,
        /// The number of descriptors that the system allows.
        allowed: u64,
    },
    /// The limit of open file descriptors can't be read.
    #[error("can't read the limit of open file descriptors: {0}")]
    DescriptorLimit(#[source] std::io::Error),
}

/// A running relay. Dropping it aborts it; [`RunningRelay::stop`] shuts it down gracefully.
pub struct RunningRelay {
    /// The address on which the relay listens.
    pub address: SocketAddr,
    state: Arc<State>,
    shutdown: watch::Sender<bool>,
    listener_task: JoinHandle<()>,
    /// The ticker, the upstream follower, and one task for each peer relay.
    background_tasks: JoinSet<()>,
}

impl RunningRelay {
    /// Opens the listener and starts the relay's tasks; must be called in a tokio runtime.
    ///
    /// # Errors
    /// [`StartError`] if the listen address can't be used, or if the limit of file descriptors is too low.
    pub fn start(file: &RelayFile) -> Result<RunningRelay, StartError> {
        let limits = Limits { connections: file.sessions, per_address: file.per_address };
        raise_descriptor_limit(Admission::max_descriptors(limits) + RESERVED_DESCRIPTORS)?;
        let listen_error = |source| StartError::Listen { address: file.listen, source };
        let listener = listener::bind(file.listen).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;

        let clock = Clock::start();
        let relay = Relay::new(relay_settings(file), clock.now());
        let state = Arc::new(State::new(&file.name, micros_from_millis(file.lease), relay, clock));
        let background_tasks = start_tasks(file, &state);

        let admission = Admission::new(limits);
        let router = routes::router(state.clone(), admission.clone());
        let (shutdown, shutdown_requested) = watch::channel(false);
        let listener_task = tokio::spawn(listener::serve(listener, router, admission, shutdown_requested));
        tracing::info!(%address, name = file.name, "relay is listening");
        Ok(RunningRelay { address, state, shutdown, listener_task, background_tasks })
    }

    /// Waits until a background task ends. They run for as long as the relay, so an ended one has panicked.
    pub async fn task_ended(&mut self) {
        let _ = self.background_tasks.join_next().await;
    }

    /// Shuts down gracefully: ends pending polls at once, and each connection once its answer is sent.
    pub async fn stop(mut self) {
        self.state.shut_down();
        self.shutdown.send_replace(true);
        let _ = (&mut self.listener_task).await;
        self.background_tasks.shutdown().await;
        tracing::info!("relay has stopped");
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.listener_task.abort();
    }
}

fn start_tasks(file: &RelayFile, state: &Arc<State>) -> JoinSet<()> {
    let client = HttpClient::new();
    let mut tasks = JoinSet::new();
    tasks.spawn(ticker::run(state.clone()));
    for peer in &file.peers {
        tasks.spawn(peers::poll_reports(state.clone(), peer.clone(), client.clone()));
    }
    // The incarnation only has to grow with each start; no deadline depends on the wall clock.
    let incarnation = sagearch_clock::unix_micros();
    let settings = subscription_settings(file, incarnation);
    let subscription = Subscription::new(settings, incarnation, state.clock.now());
    let upstreams = file.upstreams.clone();
    tasks.spawn(Follower { state: state.clone(), subscription, upstreams, client }.run());
    tasks
}

fn micros_from_millis(millis: u64) -> Micros {
    millis.saturating_mul(MILLISECOND)
}

fn relay_settings(file: &RelayFile) -> RelaySettings {
    RelaySettings {
        name: file.name.clone(),
        peers: file.peers.iter().map(|peer| peer.name.clone()).collect(),
        batch_delay: micros_from_millis(file.batch),
        upstream_hold: micros_from_millis(file.hold),
        lease: micros_from_millis(file.lease),
        drift_per_mille: file.drift,
        purge_retention: micros_from_millis(file.keep_purges),
        max_purges: file.purge_room,
        max_log_events: file.log_room,
        max_sessions: file.sessions,
        max_sessions_per_address: file.per_address,
        forget_after: micros_from_millis(file.forget_after),
    }
}

fn subscription_settings(file: &RelayFile, incarnation: u64) -> SubscriptionSettings {
    let upstreams = file.upstreams.iter().map(SocketAddr::to_string).collect();
    SubscriptionSettings {
        // A relay prefers its upstreams in the order of its configuration file.
        preferred: file.upstreams.len(),
        hold: micros_from_millis(file.hold),
        lease: micros_from_millis(file.lease),
        drift_per_mille: file.drift,
        // Relays always send their age, so an upstream that sends none is the event bus itself.
        direct_bus: true,
        ..SubscriptionSettings::new(&file.name, incarnation, upstreams)
    }
}

fn raise_descriptor_limit(needed: usize) -> Result<(), StartError> {
    let allowed = rlimit::increase_nofile_limit(needed as u64).map_err(StartError::DescriptorLimit)?;
    if allowed < needed as u64 {
        return Err(StartError::Descriptors { needed, allowed });
    }
    Ok(())
}
