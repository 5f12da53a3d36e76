//! Starts the processes of a fleet.

use super::hollow_host::{HollowHost, HostedGateways};
use super::{BUS, BUS_OUTPUT, Fleet, Upstreams};
use crate::harness::network::LoopbackNetwork;
use crate::participant::ParticipantId;
use crate::scale::error::ScaleError;
use crate::scale::initial_events::{self, NO_EVENTS};
use crate::scale::layout::{self, Layout};
use crate::scale::link::{LinkObserver, Links};
use crate::scale::plan::{self, BusPlan, HollowPlan};
use crate::scale::process::Process;
use crate::scale::programs::Programs;
use crate::scale::real_gateway::{self, RealGateway, RealGatewayPlan};
use crate::scale::relays::{self, Relays};
use crate::scale::scenario::{Scenario, Size};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The bus reports its address within this time.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// The feed identity of a run's bus.
const FEED: &str = "scale-run";
/// Spreads the seeds of gateways over all numbers: the golden ratio in 64 bits.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

async fn start_bus(
    programs: &Programs,
    scenario: &Scenario,
    folder: &Path,
) -> Result<(Process, SocketAddr), ScaleError> {
    let changes = &scenario.changes;
    let plan = BusPlan {
        feed: FEED.into(),
        stores: layout::stores(&scenario.fleet),
        purges_per_second: changes.purges_per_second,
        list_changes_per_second: changes.list_changes_per_second,
        group_share: changes.group_share,
        poisson: changes.poisson,
        seed: programs.seed,
        output: folder.join(BUS_OUTPUT),
    };
    let plan_path = folder.join("bus.plan.json");
    plan::write(&plan_path, &plan)?;
    let mut bus = programs.start_laboratory("scale-bus", "bus", &plan_path, folder)?;
    let line = bus.read_line(READY_TIMEOUT).await.map_err(ScaleError::in_process(BUS))?;
    match line.parse() {
        Ok(address) => Ok((bus, address)),
        Err(_) => Err(ScaleError::UnexpectedLine { process: BUS.into(), expected: "its address", line }),
    }
}

async fn open_links(links: &Links, to: &[SocketAddr]) -> Result<Vec<SocketAddr>, ScaleError> {
    let mut opened = Vec::new();
    for address in to {
        let link = links.open(*address, None).await;
        opened.push(link.map_err(ScaleError::in_operation("a link"))?);
    }
    Ok(opened)
}

impl<'a> Fleet<'a> {
    /// Starts all processes of a size, and returns once all are ready.
    ///
    /// # Errors
    ///
    /// Where a process can't be started, or is not ready in time.
    pub async fn start(
        scenario: &Scenario,
        size: &Size,
        programs: &'a Programs,
        folder: PathBuf,
    ) -> Result<Fleet<'a>, ScaleError> {
        let began = Instant::now();
        std::fs::create_dir_all(&folder).map_err(ScaleError::in_file(&folder))?;
        let layout = Layout::new(&scenario.fleet, size);
        let net = LoopbackNetwork::take().map_err(ScaleError::in_operation("addresses for a fleet"))?;
        let (bus, bus_address) = start_bus(programs, scenario, &folder).await?;
        let relays = match scenario.relays {
            Some(count) => Some(Relays::start(programs, &net, &folder, count, bus_address).await?),
            None => None,
        };
        let direct = relays.as_ref().map_or_else(|| vec![bus_address], Relays::addresses);
        let links = Links::default();
        let linked = open_links(&links, &direct).await?;
        let no_gateways = HostedGateways { gateways: Vec::new(), settings: Value::Null, known_from: None };
        let empty = HollowHost::start(programs, &folder, "empty", no_gateways)?;
        let mut fleet = Fleet {
            programs,
            settings: layout::settings(&layout),
            layout,
            links,
            real_links: Links::default(),
            net,
            bus,
            bus_address,
            relays,
            upstreams: Upstreams { direct, linked },
            hosts: Vec::new(),
            restarted: None,
            finished: Vec::new(),
            empty,
            real: Vec::new(),
            folder,
            start_time: Duration::ZERO,
        };
        fleet.start_gateways(size.faults).await?;
        fleet.start_time = began.elapsed();
        Ok(fleet)
    }

    async fn start_gateways(&mut self, faults: bool) -> Result<(), ScaleError> {
        for (number, gateways) in self.layout.hosts.clone().into_iter().enumerate() {
            let host = self.start_host(&format!("host-{number}"), gateways, faults)?;
            self.hosts.push(host);
        }
        self.restarted = Some(self.start_host("restarted-0", self.layout.restarted.clone(), faults)?);
        for host in self.hosts.iter_mut().chain(&mut self.restarted).chain([&mut self.empty]) {
            host.wait_until_ready().await?;
        }
        let initial_events = self.initial_events().await?;
        for gateway in self.layout.real.clone() {
            let real = self.start_real(gateway, &initial_events).await?;
            self.real.push(real);
        }
        Ok(())
    }

    /// Starts a host of hollow gateways, which is not ready yet. `linked`: gateways of the fault region go by links.
    pub(super) fn start_host(
        &self,
        name: &str,
        gateways: Range<usize>,
        linked: bool,
    ) -> Result<HollowHost, ScaleError> {
        let fault_region = self.layout.fault_region();
        let hollow = |gateway: usize| {
            let linked = linked && fault_region.contains(&gateway);
            let upstreams = if linked { &self.upstreams.linked } else { &self.upstreams.direct };
            HollowPlan {
                gateway,
                name: self.layout.name(gateway),
                zone: self.layout.zone(gateway),
                seed: self.seed_of(gateway),
                bus: upstreams[0],
                operators: self.operators(gateway, upstreams),
            }
        };
        let hosted = HostedGateways {
            gateways: gateways.map(hollow).collect(),
            settings: self.settings.clone(),
            known_from: self.relays.is_none().then_some(self.bus_address),
        };
        HollowHost::start(self.programs, &self.folder, name, hosted)
    }

    fn seed_of(&self, gateway: usize) -> u64 {
        (self.programs.seed << 32) ^ (gateway as u64 + 1).wrapping_mul(SEED_STEP)
    }

    fn operators(&self, gateway: usize, upstreams: &[SocketAddr]) -> Option<String> {
        self.relays.as_ref().map(|_| relays::operators_file(gateway, upstreams))
    }

    /// Events up to now, for a real gateway's start.
    async fn initial_events(&self) -> Result<Value, ScaleError> {
        let json = if self.relays.is_some() {
            NO_EVENTS.into()
        } else {
            let bus = self.bus_address;
            let fetched = tokio::task::spawn_blocking(move || initial_events::fetch(bus)).await;
            let fetched = fetched.map_err(std::io::Error::other).and_then(|fetched| fetched);
            fetched.map_err(ScaleError::in_operation("the events up to now"))?
        };
        serde_json::from_slice(&json).map_err(|source| ScaleError::InitialEvents { source })
    }

    async fn start_real(&self, gateway: usize, initial_events: &Value) -> Result<RealGateway, ScaleError> {
        let observer = Arc::new(LinkObserver::default());
        let mut upstreams = Vec::new();
        for address in &self.upstreams.direct {
            let link = self.real_links.open(*address, Some(observer.clone())).await;
            upstreams.push(link.map_err(ScaleError::in_operation("a link"))?);
        }
        let plan = RealGatewayPlan {
            gateway,
            name: self.layout.name(gateway),
            zone: self.layout.zone(gateway),
            seed: self.seed_of(gateway),
            listen: self.net.gateway(ParticipantId(gateway as u16)),
            bus: upstreams[0],
            settings: &self.settings,
            initial_events,
            operators: self.operators(gateway, &upstreams),
            folder: &self.folder,
            program: &self.programs.gateway,
            launcher: &self.programs.laboratory,
        };
        real_gateway::start(plan, observer).await
    }
}
