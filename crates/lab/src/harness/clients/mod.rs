//! Clients: they ask at the times that were drawn, whatever became of what they asked before.

mod connections;
mod http;
mod request;

use super::context::RunContext;
use super::fleet::{Fleet, is_live};
use super::sync::lock;
use crate::arrivals::Arrival;
use crate::outcome::{Outcome, OutcomeKind};
use crate::participant::{ParticipantId, ParticipantKind, Roster};
use crate::scenario::Scenario;
use connections::IdleConnections;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// How often the load balancer before the gateways checks one of them.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long it waits for an answer.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Failed checks in a row that take a gateway out.
const MAX_FAILED_CHECKS: u32 = 2;
/// The longest lateness that is told apart, in microseconds.
const MAX_RECORDED_LATENESS: u64 = 60_000_000;
/// How late requests may be sent before the load generator itself is what is measured.
pub const MAX_LATENESS: Duration = Duration::from_millis(50);

/// From the clients of a site to a gateway, by its place in the list of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Route {
    clients: ParticipantId,
    gateway: usize,
}

struct Site {
    clients: ParticipantId,
    /// The places of its gateways in the list of all.
    gateways: Vec<usize>,
}

struct Gateway {
    id: ParticipantId,
    alive: AtomicBool,
}

/// How many requests have ended by now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// With what was asked for.
    pub served: usize,
    /// Refused to the last try.
    pub refused: usize,
    /// In any other way.
    pub failed: usize,
}

/// The clients of all sites, and the load balancer before the gateways.
pub struct Clients {
    sites: Vec<Site>,
    gateways: Vec<Gateway>,
    addresses: HashMap<Route, SocketAddr>,
    idle: IdleConnections,
    /// How long a client waits.
    patience: Duration,
    max_tries: u32,
    /// Bytes of a part.
    part_bytes: usize,
    context: RunContext,
    next_id: AtomicU64,
    outcomes: Mutex<Vec<Outcome>>,
    late: Mutex<Histogram<u64>>,
}

/// The clients of each site, with the places of its gateways.
fn sites(roster: &Roster, gateways: &[ParticipantId]) -> Vec<Site> {
    let site = |clients: ParticipantId| {
        let name = &roster.get(clients).site;
        let own = gateways.iter().enumerate().filter(|(_, id)| roster.get(**id).site == *name);
        Site { clients, gateways: own.map(|(place, _)| place).collect() }
    };
    roster.of(ParticipantKind::Clients).map(site).collect()
}

impl Clients {
    /// The clients of a scenario before a fleet.
    ///
    /// # Panics
    ///
    /// Never: the bounds of its histogram are constants that it takes.
    pub fn new(scenario: &Scenario, fleet: &Fleet, context: &RunContext) -> Arc<Clients> {
        let ids: Vec<ParticipantId> = scenario.roster.of(ParticipantKind::Gateway).collect();
        let sites = sites(&scenario.roster, &ids);
        let mut addresses = HashMap::new();
        for site in &sites {
            for (gateway, id) in ids.iter().enumerate() {
                let route = Route { clients: site.clients, gateway };
                addresses.extend(fleet.address(site.clients, *id).map(|to| (route, to)));
            }
        }
        let gateway = |id| Gateway { id, alive: AtomicBool::new(true) };
        let late = Histogram::new_with_bounds(1, MAX_RECORDED_LATENESS, 3);
        Arc::new(Clients {
            sites,
            gateways: ids.into_iter().map(gateway).collect(),
            addresses,
            idle: IdleConnections::default(),
            patience: scenario.load.patience,
            max_tries: scenario.load.tries as u32,
            part_bytes: scenario.load.size,
            context: context.clone(),
            next_id: AtomicU64::new(1),
            outcomes: Mutex::default(),
            late: Mutex::new(late.expect("the bounds are constants that the histogram takes")),
        })
    }

    /// How much of the load comes from each site: as much as it has gateways.
    pub fn shares(&self) -> Vec<f64> {
        self.sites.iter().map(|site| site.gateways.len() as f64).collect()
    }

    /// Begins the health checks, which take gateways in that answer, and out that don't.
    pub fn start_health_checks(self: &Arc<Self>) {
        for gateway in 0..self.gateways.len() {
            let Some(site) = self.sites.iter().find(|site| site.gateways.contains(&gateway)) else {
                continue;
            };
            let route = Route { clients: site.clients, gateway };
            let Some(address) = self.addresses.get(&route).copied() else { continue };
            tokio::spawn(self.clone().check_health(gateway, address));
        }
    }

    async fn check_health(self: Arc<Self>, gateway: usize, address: SocketAddr) {
        let mut failed = 0;
        loop {
            let live = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, is_live(address)).await;
            failed = if matches!(live, Ok(true)) { 0 } else { failed + 1 };
            self.gateways[gateway].alive.store(failed < MAX_FAILED_CHECKS, Ordering::Relaxed);
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    /// Asks for all that was drawn, from a moment on, and ends when every request has.
    pub async fn play(self: Arc<Self>, arrivals: Vec<Arrival>, begin: Instant) {
        let mut open = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let due = begin + Duration::from_micros(arrival.at);
            tokio::time::sleep_until(due).await;
            let late = due.elapsed().as_micros() as u64;
            lock(&self.late).saturating_record(late);
            let clients = self.clone();
            open.spawn(async move { clients.request(arrival, due).await });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    /// What became of all requests that have ended.
    pub fn outcomes(&self) -> Vec<Outcome> {
        lock(&self.outcomes).clone()
    }

    /// The same, counted.
    pub fn counts(&self) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for one in lock(&self.outcomes).iter() {
            match one.kind {
                OutcomeKind::Served => counts.served += 1,
                OutcomeKind::Refused => counts.refused += 1,
                _ => counts.failed += 1,
            }
        }
        counts
    }

    /// How many gateways the load balancer sends clients to.
    pub fn alive(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.alive.load(Ordering::Relaxed)).count()
    }

    /// How late 99 of 100 requests were begun, in microseconds.
    pub fn lateness(&self) -> u64 {
        lock(&self.late).value_at_quantile(0.99)
    }

    /// The gateway of a client: the same as long as it lives, then the next one, then those of other sites.
    fn gateway(&self, arrival: &Arrival, avoided: Option<usize>) -> Option<usize> {
        let own = &self.sites[arrival.site].gateways;
        let elsewhere: Vec<usize> = (0..self.gateways.len()).filter(|at| !own.contains(at)).collect();
        let rotated = |list: &[usize]| {
            let from = if list.is_empty() { 0 } else { arrival.client as usize % list.len() };
            list[from..].iter().chain(&list[..from]).copied().collect::<Vec<_>>()
        };
        let order = [rotated(own), rotated(&elsewhere)].concat();
        let alive = |at: &usize| self.gateways[*at].alive.load(Ordering::Relaxed);
        order.iter().copied().find(|at| alive(at) && Some(*at) != avoided).or(order.into_iter().find(alive))
    }
}
