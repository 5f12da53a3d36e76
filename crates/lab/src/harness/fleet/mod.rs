//! The gateways' processes: each with its own configuration, folder, address and log, and none that outlives the run.

mod launcher;
mod liveness;
mod parent_death;
mod supervisor;

use super::context::RunContext;
use super::datagrams::Datagrams;
use super::event_bus::EventBus;
use super::network::Port;
use super::relay::{LinkRelay, accept};
use crate::participant::{ParticipantId, ParticipantKind, Roster};
use crate::process_state::ProcessAction;
use crate::system_faults::{ActiveSystemFaults, InjectedFaults};
use launcher::{Launcher, OPERATORS_FILE};
pub use liveness::is_live;
pub use parent_death::exec_with_parent;
use sagearch_faults::FaultError;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
pub use supervisor::ProcessFailure;
use supervisor::{READY_WITHIN, Supervisor};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Why a fleet did not start.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A socket or file of the fleet could not be made.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The operators' file of the gateways could not be written.
    #[error("{}: {source}", path.display())]
    OperatorsFile {
        /// Where it was to be.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A fault shim could not be set up.
    #[error("the fault shim: {0}")]
    Injector(#[from] FaultError),
    /// A gateway did not answer in time.
    #[error("{name} did not answer within {} s of its start; see {}", READY_WITHIN.as_secs(), log.display())]
    NotReady {
        /// The gateway.
        name: String,
        /// Its log.
        log: PathBuf,
    },
}

/// What a fleet is started with.
pub struct FleetPlan {
    /// The gateway's program.
    pub gateway: PathBuf,
    /// The laboratory's own program, which has each process end with it.
    pub laboratory: PathBuf,
    /// The run's folder.
    pub folder: PathBuf,
    /// The settings object of each site's gateways.
    pub settings: BTreeMap<String, Value>,
    /// What gateways share, if anything.
    pub shared: Option<crate::scenario::Shared>,
    /// Whether gateways run under the fault shim.
    pub system_faults: bool,
    /// Whether an operator calls gateways.
    pub operator: bool,
}

struct Gateway {
    port: Port,
    actions: mpsc::UnboundedSender<ProcessAction>,
    ready: watch::Receiver<bool>,
}

/// All gateways of a run.
pub struct Fleet {
    gateways: BTreeMap<ParticipantId, Gateway>,
    launcher: Arc<Launcher>,
    supervisors: Vec<JoinHandle<Result<(), ProcessFailure>>>,
}

impl Fleet {
    /// Starts a process for each gateway of the roster, and a relay before it.
    ///
    /// # Errors
    ///
    /// Where sockets, files or fault shims of the fleet can't be had.
    pub fn start(
        plan: FleetPlan,
        roster: &Roster,
        bus: Arc<EventBus>,
        context: &RunContext,
    ) -> Result<Fleet, FleetError> {
        let ids: Vec<ParticipantId> = roster.of(ParticipantKind::Gateway).collect();
        let (network, relay) = (context.network.clone(), context.relay.clone());
        let datagrams = Datagrams::start(network, relay, ids.clone(), context.seed)?;
        let launcher = Arc::new(Launcher::new(plan, roster.clone(), bus, datagrams, context.clone())?);
        if let Some(text) = launcher.operators_text() {
            let path = launcher.plan.folder.join(OPERATORS_FILE);
            std::fs::write(&path, text).map_err(|source| FleetError::OperatorsFile { path, source })?;
        }
        let (mut gateways, mut supervisors) = (BTreeMap::new(), Vec::new());
        for id in ids {
            let port = Port::take()?;
            tokio::spawn(relay_to_gateway(port.listen()?, id, context.clone()));
            let (actions, taken) = mpsc::unbounded_channel();
            let (is_ready, ready) = watch::channel(false);
            supervisors.push(tokio::spawn(Supervisor::new(launcher.clone(), id, is_ready).run(taken)));
            gateways.insert(id, Gateway { port, actions, ready });
        }
        Ok(Fleet { gateways, launcher, supervisors })
    }

    /// Waits until all answer. The first that doesn't is named.
    ///
    /// # Errors
    ///
    /// Names the first gateway that did not answer in time.
    pub async fn ready(&mut self) -> Result<(), FleetError> {
        let until = tokio::time::Instant::now() + READY_WITHIN;
        for (id, gateway) in &mut self.gateways {
            let ready = gateway.ready.wait_for(|ready| *ready);
            if !matches!(tokio::time::timeout_at(until, ready).await, Ok(Ok(_))) {
                let (name, log) = (self.launcher.name(*id), self.launcher.log(*id));
                return Err(FleetError::NotReady { name, log });
            }
        }
        Ok(())
    }

    /// Where clients reach a gateway: by the relay, from their own address on.
    pub fn address(&self, clients: ParticipantId, gateway: ParticipantId) -> Option<std::net::SocketAddr> {
        let port = self.gateways.get(&gateway)?.port.number();
        Some((self.launcher.context.network.ip(clients), port).into())
    }

    /// Has things done to a gateway's process, one after the other.
    pub fn act(&self, gateway: ParticipantId, actions: Vec<ProcessAction>) {
        if let Some(gateway) = self.gateways.get(&gateway) {
            for action in actions {
                // A supervisor that has ended told why, which `end` returns.
                let _ = gateway.actions.send(action);
            }
        }
    }

    /// Puts faults of a gateway's system calls in service.
    ///
    /// # Errors
    ///
    /// Where the plan can't be handed to the shim.
    pub fn set_system_faults(
        &self,
        gateway: ParticipantId,
        faults: &ActiveSystemFaults,
    ) -> Result<(), FaultError> {
        let Some(injector) = self.launcher.injectors.get(&gateway) else { return Ok(()) };
        injector.set(&faults.plan(&self.launcher.data_folder(gateway)))
    }

    /// What the fault shim has counted, where gateways run under it.
    ///
    /// # Errors
    ///
    /// Where the shim's counters can't be read.
    pub fn injected_faults(&self) -> Result<Option<InjectedFaults>, FaultError> {
        if self.launcher.injectors.is_empty() {
            return Ok(None);
        }
        let mut injected = InjectedFaults::default();
        for injector in self.launcher.injectors.values() {
            injected.add(&injector.counters()?);
        }
        Ok(Some(injected))
    }

    /// Where each gateway's log is.
    pub fn logs(&self) -> Vec<(ParticipantId, PathBuf)> {
        self.gateways.keys().map(|id| (*id, self.launcher.log(*id))).collect()
    }

    /// Ends all, and says of whose process that did not go as it should.
    pub async fn end(self) -> Vec<String> {
        drop(self.gateways);
        let mut failures = Vec::new();
        for supervisor in self.supervisors {
            match supervisor.await {
                Ok(Ok(())) => {}
                Ok(Err(failure)) => failures.push(failure.to_string()),
                Err(panic) => failures.push(panic.to_string()),
            }
        }
        failures
    }
}

/// Relays clients' connections to a gateway for the whole run.
async fn relay_to_gateway(listener: tokio::net::TcpListener, gateway: ParticipantId, context: RunContext) {
    let RunContext { network, relay, .. } = context;
    loop {
        let Ok((stream, opener)) = accept(&listener, &network).await else { continue };
        tokio::spawn(LinkRelay::relay(relay.clone(), stream, opener, gateway, network.gateway(gateway)));
    }
}
