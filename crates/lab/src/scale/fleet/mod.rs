//! The processes of one size: started, disturbed by faults, and ended.

mod faults;
mod hollow_host;
pub mod shutdown;
mod start;

use super::bus::{BEGIN, PAUSE};
use super::error::ScaleError;
use super::layout::Layout;
use super::link::Links;
use super::observation::Traffic;
use super::process::Process;
use super::programs::Programs;
use super::real_gateway::RealGateway;
use super::relays::Relays;
use super::usage::Usage;
use crate::harness::network::LoopbackNetwork;
use hollow_host::{FinishedHost, HollowHost};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The name of the event bus among the processes of a run.
const BUS: &str = "the event bus";
/// The file that the event bus writes its observations to.
const BUS_OUTPUT: &str = "bus.jsonl";

/// Where gateways follow events: the bus alone, or relays.
struct Upstreams {
    /// Their own addresses.
    direct: Vec<SocketAddr>,
    /// The same by links that can be cut.
    linked: Vec<SocketAddr>,
}

/// Readings of processes that do not write any themselves.
#[derive(Clone, Default)]
pub struct ExternalReadings {
    /// Real gateways.
    pub real: Vec<Usage>,
    /// Relays.
    pub relays: Vec<Usage>,
    /// This process.
    pub laboratory: Usage,
    /// Polls and bytes of the real gateways.
    pub real_traffic: Traffic,
}

/// The processes of one size.
pub struct Fleet<'a> {
    programs: &'a Programs,
    folder: PathBuf,
    /// Where each gateway is placed.
    pub layout: Layout,
    settings: Value,
    links: Links,
    /// Links of real gateways are never cut.
    real_links: Links,
    net: LoopbackNetwork,
    bus: Process,
    bus_address: SocketAddr,
    relays: Option<Relays>,
    upstreams: Upstreams,
    hosts: Vec<HollowHost>,
    /// The host that can be killed and started again.
    restarted: Option<HollowHost>,
    /// Its processes that were killed.
    finished: Vec<FinishedHost>,
    empty: HollowHost,
    real: Vec<RealGateway>,
    start_time: Duration,
}

impl Fleet<'_> {
    /// How long the start took until all processes were ready.
    pub fn start_time(&self) -> Duration {
        self.start_time
    }

    /// Has the bus issue events, or stop.
    ///
    /// # Errors
    ///
    /// Where the bus is gone.
    pub async fn set_publishing(&mut self, publishing: bool) -> Result<(), ScaleError> {
        let line = if publishing { BEGIN } else { PAUSE };
        self.bus.write_line(line).await.map_err(ScaleError::in_process(BUS))
    }

    /// What processes that write nothing down have used so far.
    pub fn external_readings(&self) -> ExternalReadings {
        let traffic = self.real.iter().map(|real| real.observer.traffic());
        ExternalReadings {
            real: self.real.iter().filter_map(|real| real.process.usage().ok()).collect(),
            relays: self.relays.as_ref().map_or_else(Vec::new, Relays::usages),
            laboratory: Usage::own(),
            real_traffic: traffic.fold(Traffic::default(), |sum, one| sum.plus(&one)),
        }
    }
}
