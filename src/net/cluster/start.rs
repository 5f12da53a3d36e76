//! Joins the fleet: builds the tables from the operators' file and starts the threads.

use super::accounts::BudgetAccount;
use super::alive::FailureDetector;
use super::channels::{AuthorizedGrant, Task};
use super::coordination::{Contact, Coordination, MajorityMonitor};
use super::directory::Directory;
use super::outbox::Outbox;
use super::spend::SharedBudget;
use super::{ClusterNode, JoinedCluster, LOG_TARGET, wire, workers};
use crate::interface::RetryBudget;
use crate::metrics::ClusterCounters;
use crate::net::clock::Clock;
use arc_swap::ArcSwap;
use crossbeam_channel::{Sender, bounded};
use sagearch_homes::lease_holder::LeaseHolder;
use sagearch_homes::message::ProcessId;
use sagearch_homes::placement::mix;
use sagearch_homes::{Epoch, FenceTable, Incarnation, LeaseConfig, Member, Micros, Region, RegionClaims};
use sagearch_ledger::{Amount, Budget, ONE_CALL, QuotaClient, QuotaParameters};
use sagearch_operators::fleet::{self, Fleet, RegionMember};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use tracing_mutex::stdsync::Mutex;

/// How many tasks may wait for the pool. Further tasks are dropped, like datagrams that the network loses.
const TASK_QUEUE_LENGTH: usize = 1_024;
/// How many grants of one budget may wait for the gateway's worker. Further grants are dropped.
const GRANT_QUEUE_LENGTH: usize = 64;
/// Converts the times of the operators' file, which are in milliseconds.
const MICROS_PER_MILLISECOND: Micros = 1_000;
/// Converts the shares of a budget in the operators' file, which are in percent.
const PER_MILLE_IN_PERCENT: u64 = 10;
/// Derives the failure detector's seed from the gateway's seed, so that it differs from the pool's.
const FAILURE_DETECTOR_SEED: u64 = 0x616c;

/// The parameters with which a gateway joins a fleet.
pub struct JoinConfig<'a> {
    /// The fleet, as the operators' file describes it.
    pub fleet: &'a Fleet,
    /// The name under which the fleet lists this gateway.
    pub name: &'a str,
    /// The address to bind, if it differs from the address to which other members send.
    pub listen: Option<SocketAddr>,
    /// The gateway's clock.
    pub clock: Clock,
    /// The incarnation of this process: a time in Unix microseconds, or above, and higher than that of every earlier process
    /// of this gateway. It is also the initial lower bound for new epochs.
    pub incarnation: Incarnation,
    /// The seed for all pseudo-random numbers.
    pub seed: u64,
    /// The metrics of the shared state.
    pub counters: ClusterCounters,
}

/// Joins the fleet: builds the tables and starts the threads. Returns `None` if the fleet does not list this gateway.
///
/// # Errors
///
/// If the socket can't be bound, a budget can't be divided among the members, or a thread can't be started.
pub fn start(config: JoinConfig) -> io::Result<Option<JoinedCluster>> {
    let JoinConfig { fleet, name, listen, clock, incarnation, seed, counters } = config;
    let Some(RegionMember { region, member }) = fleet.members().find(|listed| listed.member.name == name)
    else {
        log::error!(
            target: LOG_TARGET,
            "fleet {:?} has no member {name:?}: this gateway shares nothing",
            fleet.name
        );
        return Ok(None);
    };
    let now = clock.now();
    let socket = Arc::new(UdpSocket::bind(listen.unwrap_or(member.address))?);
    let builder = NodeBuilder {
        fleet,
        region: &fleet.regions[region],
        own_region: Region(region as u8),
        own_process: ProcessId { member: Member(member.number), incarnation },
        now,
        clock,
        seed,
        counters: Arc::new(counters),
    };
    let (tasks, task_queue) = bounded(TASK_QUEUE_LENGTH);
    let fences = Arc::new(ArcSwap::from_pointee(FenceTable::new(builder.regions(), fleet.slices)));
    let BudgetParts { ledger, grant_senders, worker_budgets } = builder.budgets(&tasks, &fences)?;
    let node = Arc::new(builder.node(socket.clone(), tasks, fences, ledger, grant_senders));
    workers::spawn(&node, socket, &task_queue)?;
    let region = &builder.region.name;
    log::info!(
        target: LOG_TARGET,
        "joined as member {} of fleet {:?}, in region {region:?}",
        member.number,
        fleet.name
    );
    Ok(Some(JoinedCluster { budgets: worker_budgets, node }))
}

/// The parts of all budgets for the pool and for the gateway's worker, in the order of the operators' file.
#[derive(Default)]
struct BudgetParts {
    /// The accounts that the pool operates on.
    ledger: Vec<BudgetAccount>,
    /// The sending ends of the channels that pass grants to the gateway's worker.
    grant_senders: Vec<Sender<AuthorizedGrant>>,
    /// The budgets from which the gateway's worker spends.
    worker_budgets: Vec<Box<dyn RetryBudget>>,
}

/// Builds the tables of a [`ClusterNode`].
struct NodeBuilder<'a> {
    fleet: &'a Fleet,
    /// This gateway's region.
    region: &'a fleet::Region,
    own_region: Region,
    own_process: ProcessId,
    now: Micros,
    clock: Clock,
    seed: u64,
    counters: Arc<ClusterCounters>,
}

impl NodeBuilder<'_> {
    fn node(
        &self,
        socket: Arc<UdpSocket>,
        tasks: Sender<Task>,
        fences: Arc<ArcSwap<FenceTable>>,
        ledger: Vec<BudgetAccount>,
        grant_senders: Vec<Sender<AuthorizedGrant>>,
    ) -> ClusterNode {
        let fleet_tag = wire::fleet_tag(&self.fleet.name);
        ClusterNode {
            clock: self.clock,
            fleet_tag,
            directory: Directory::new(self.fleet, self.own_process, self.own_region),
            lease_config: self.lease_config(),
            coordination: Mutex::new(self.coordination()),
            ledger: Mutex::new(ledger),
            outbox: self.outbox(socket, fleet_tag),
            fences,
            grant_senders,
            counters: self.counters.clone(),
            deadline: AtomicU64::new(self.now),
            tasks,
            worker_count: self.fleet.workers,
            stopping: AtomicBool::new(false),
            running_threads: Arc::default(),
            jitter_counter: AtomicU64::new(self.seed),
        }
    }

    fn outbox(&self, socket: Arc<UdpSocket>, fleet_tag: u32) -> Outbox {
        let rate = u64::from(self.fleet.rate);
        Outbox::new(socket, self.clock, fleet_tag, self.own_process.incarnation, rate, self.counters.clone())
    }

    fn budgets(&self, tasks: &Sender<Task>, fences: &Arc<ArcSwap<FenceTable>>) -> io::Result<BudgetParts> {
        let mut budgets = BudgetParts::default();
        for (number, budget) in self.fleet.budgets.iter().enumerate() {
            let account = self.account(budget)?;
            let (sender, grants) = bounded(GRANT_QUEUE_LENGTH);
            budgets.grant_senders.push(sender);
            budgets.worker_budgets.push(Box::new(SharedBudget {
                budget: number as u8,
                slice: account.slice,
                client: QuotaClient::new(account.parameters, self.own_process.incarnation.0, self.now),
                tasks: tasks.clone(),
                grants,
                fences: fences.clone(),
                clock: self.clock,
                counters: self.counters.clone(),
            }));
            budgets.ledger.push(account);
        }
        Ok(budgets)
    }

    fn lease_config(&self) -> LeaseConfig {
        LeaseConfig {
            slices: self.fleet.slices,
            lease_duration: self.fleet.lease * MICROS_PER_MILLISECOND,
            drift_per_mille: self.fleet.drift,
        }
    }

    fn regions(&self) -> Vec<Region> {
        (0..self.fleet.regions.len()).map(|region| Region(region as u8)).collect()
    }

    fn coordination(&self) -> Coordination {
        let ProcessId { member, incarnation } = self.own_process;
        let members = |numbers: &BTreeSet<u16>| numbers.iter().copied().map(Member).collect();
        let voters = self.region.voters.iter().map(members).collect();
        let listed = self.region.members.iter().map(|listed| Member(listed.number));
        let others = listed.filter(|other| *other != member).collect();
        let claim_duration = self.fleet.claim * MICROS_PER_MILLISECOND;
        let regions = self.regions();
        let seed = mix(self.seed ^ FAILURE_DETECTOR_SEED);
        Coordination {
            holder: LeaseHolder::new(
                self.lease_config(),
                self.own_process,
                voters,
                self.now,
                Epoch(incarnation.0),
            ),
            region_claims: RegionClaims::new(
                self.own_region,
                regions,
                self.fleet.slices,
                claim_duration,
                incarnation,
            ),
            failure_detector: FailureDetector::new(member, incarnation, others, seed, self.now),
            contacts: vec![Contact::default(); self.fleet.regions.len()],
            majority_monitor: MajorityMonitor::default(),
        }
    }

    fn account(&self, budget: &fleet::Budget) -> io::Result<BudgetAccount> {
        let parameters = self.parameters(budget)?;
        let slice = self.lease_config().slice(crate::hash::of_text(&budget.name));
        let federated = budget.federated && self.fleet.regions.len() > 1;
        Ok(BudgetAccount::new(budget.name.clone(), slice, parameters, federated))
    }

    /// Returns the parameters of this region's share of a budget. A federated budget is divided among the regions in
    /// proportion to their numbers of members; rate that a region doesn't need can be transferred to others.
    fn parameters(&self, budget: &fleet::Budget) -> io::Result<QuotaParameters> {
        let region_members = self.region.members.len() as u64;
        let fleet_members = self.fleet.members().count() as u64;
        let amount = Amount::calls(budget.amount);
        let configured_budget = Budget {
            amount: if budget.federated { amount * region_members / fleet_members } else { amount },
            window: budget.window * MICROS_PER_MILLISECOND,
            overdraft: budget.overdraft * PER_MILLE_IN_PERCENT,
            reserve: budget.floors * PER_MILLE_IN_PERCENT,
        };
        let parameters = configured_budget
            .parameters(region_members, u64::from(self.fleet.drift))
            .map_err(io::Error::other)?;
        if parameters.reserve_rate > Amount::ZERO && parameters.reserve_capacity < ONE_CALL {
            log::warn!(
                target: LOG_TARGET,
                "budget {:?}: among {region_members} gateways no floor comes to one call",
                budget.name
            );
        }
        Ok(parameters)
    }
}
