//! Builds the tables from the operators' file, and starts the threads.

use super::accounts::BudgetAccount;
use super::alive::FailureDetector;
use super::channels::{AuthorizedGrant, Work};
use super::coordination::{Contact, Coordination, MajorityWatch};
use super::directory::Directory;
use super::outbox::Outbox;
use super::spend::SharedBudget;
use super::{LOG_TARGET, Shared, Started, wire, workers};
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

/// How many tasks may wait for the pool; further ones are dropped, as datagrams may be.
const WORK_QUEUE_LENGTH: usize = 1_024;
/// How many grants of one budget may wait for the gateway's worker; further ones are dropped.
const GRANT_QUEUE_LENGTH: usize = 64;
/// The operators' file states times in milliseconds.
const MICROS_PER_MILLISECOND: Micros = 1_000;
/// The operators' file states parts of a budget in percent.
const PER_MILLE_IN_PERCENT: u64 = 10;
/// Makes the failure detector's seed differ from the pool's.
const FAILURE_DETECTOR_SEED: u64 = 0x616c;

/// What a gateway needs to join a fleet.
pub struct Joining<'a> {
    /// The fleet, as the operators' file describes it.
    pub fleet: &'a Fleet,
    /// The gateway's name.
    pub name: &'a str,
    /// The address to bind, if it differs from the one that the other members send to.
    pub listen: Option<SocketAddr>,
    /// The gateway's clock.
    pub clock: Clock,
    /// Higher than that of every earlier process of this gateway; in Unix microseconds, or above. It is also the least epoch
    /// that can be new.
    pub incarnation: Incarnation,
    /// The seed of all pseudo-random numbers.
    pub seed: u64,
    /// The metrics of the shared state.
    pub counted: ClusterCounters,
}

/// Joins the fleet: builds the tables and starts the threads. `None`: the fleet does not list this gateway.
///
/// # Errors
///
/// If the socket can't be bound, a budget can't be divided among the members, or a thread can't be started.
pub fn start(joining: Joining) -> io::Result<Option<Started>> {
    let Joining { fleet, name, listen, clock, incarnation, seed, counted } = joining;
    let Some(RegionMember { region, member }) = fleet.members().find(|it| it.member.name == name) else {
        log::error!(
            target: LOG_TARGET,
            "fleet {:?} has no member {name:?}: this gateway shares nothing",
            fleet.name
        );
        return Ok(None);
    };
    let now = clock.now();
    let socket = Arc::new(UdpSocket::bind(listen.unwrap_or(member.address))?);
    let setup = Setup {
        fleet,
        region: &fleet.regions[region],
        own_region: Region(region as u8),
        own: ProcessId { member: Member(member.number), incarnation },
        now,
        clock,
        seed,
        counted: Arc::new(counted),
    };
    let (work, work_queue) = bounded(WORK_QUEUE_LENGTH);
    let fences = Arc::new(ArcSwap::from_pointee(FenceTable::new(setup.regions(), fleet.slices)));
    let Budgets { ledger, grants, allowances } = setup.budgets(&work, &fences)?;
    let shared = Arc::new(setup.shared(socket.clone(), work, fences, ledger, grants));
    workers::spawn(&shared, socket, &work_queue)?;
    let region = &setup.region.name;
    log::info!(target: LOG_TARGET, "member {} of fleet {:?}, in region {region:?}", member.number, fleet.name);
    Ok(Some(Started { budgets: allowances, shared }))
}

/// The budgets as each side uses them, all in the order of the operators' file.
#[derive(Default)]
struct Budgets {
    /// The pool's accounts.
    ledger: Vec<BudgetAccount>,
    /// The pool's ends of the channels by which grants go to the gateway's worker.
    grants: Vec<Sender<AuthorizedGrant>>,
    /// What the gateway's worker spends from.
    allowances: Vec<Box<dyn RetryBudget>>,
}

/// What the tables are built from.
struct Setup<'a> {
    fleet: &'a Fleet,
    /// This gateway's region.
    region: &'a fleet::Region,
    own_region: Region,
    own: ProcessId,
    now: Micros,
    clock: Clock,
    seed: u64,
    counted: Arc<ClusterCounters>,
}

impl Setup<'_> {
    fn shared(
        &self,
        socket: Arc<UdpSocket>,
        work: Sender<Work>,
        fences: Arc<ArcSwap<FenceTable>>,
        ledger: Vec<BudgetAccount>,
        grants: Vec<Sender<AuthorizedGrant>>,
    ) -> Shared {
        let fleet_tag = wire::fleet_tag(&self.fleet.name);
        Shared {
            clock: self.clock,
            fleet_tag,
            directory: Directory::new(self.fleet, self.own, self.own_region),
            lease_config: self.lease_config(),
            coordination: Mutex::new(self.coordination()),
            ledger: Mutex::new(ledger),
            outbox: self.outbox(socket, fleet_tag),
            fences,
            grants,
            counted: self.counted.clone(),
            deadline: AtomicU64::new(self.now),
            work,
            workers: self.fleet.workers,
            stopping: AtomicBool::new(false),
            running: Arc::default(),
            jitter_counter: AtomicU64::new(self.seed),
        }
    }

    fn outbox(&self, socket: Arc<UdpSocket>, fleet_tag: u32) -> Outbox {
        let rate = u64::from(self.fleet.rate);
        Outbox::new(socket, self.clock, fleet_tag, self.own.incarnation, rate, self.counted.clone())
    }

    fn budgets(&self, work: &Sender<Work>, fences: &Arc<ArcSwap<FenceTable>>) -> io::Result<Budgets> {
        let mut budgets = Budgets::default();
        for (number, budget) in self.fleet.budgets.iter().enumerate() {
            let account = self.account(budget)?;
            let (sender, grants) = bounded(GRANT_QUEUE_LENGTH);
            budgets.grants.push(sender);
            budgets.allowances.push(Box::new(SharedBudget {
                budget: number as u8,
                slice: account.slice,
                client: QuotaClient::new(account.parameters, self.own.incarnation.0, self.now),
                work: work.clone(),
                grants,
                fences: fences.clone(),
                clock: self.clock,
                counted: self.counted.clone(),
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
        let ProcessId { member, incarnation } = self.own;
        let members = |numbers: &BTreeSet<u16>| numbers.iter().copied().map(Member).collect();
        let voters = self.region.voters.iter().map(members).collect();
        let listed = self.region.members.iter().map(|listed| Member(listed.number));
        let others = listed.filter(|other| *other != member).collect();
        let claim_duration = self.fleet.claim * MICROS_PER_MILLISECOND;
        let regions = self.regions();
        let seed = mix(self.seed ^ FAILURE_DETECTOR_SEED);
        Coordination {
            holder: LeaseHolder::new(self.lease_config(), self.own, voters, self.now, Epoch(incarnation.0)),
            region_claims: RegionClaims::new(
                self.own_region,
                regions,
                self.fleet.slices,
                claim_duration,
                incarnation,
            ),
            alive: FailureDetector::new(member, incarnation, others, seed, self.now),
            contacts: vec![Contact::default(); self.fleet.regions.len()],
            majority: MajorityWatch::default(),
        }
    }

    fn account(&self, budget: &fleet::Budget) -> io::Result<BudgetAccount> {
        let parameters = self.parameters(budget)?;
        let slice = self.lease_config().slice(crate::hash::of_text(&budget.name));
        let federated = budget.federated && self.fleet.regions.len() > 1;
        Ok(BudgetAccount::new(budget.name.clone(), slice, parameters, federated))
    }

    /// The parameters of this region's part of a budget. A federated budget is divided among the regions by their numbers of
    /// members; rate that a region doesn't need can be transferred to others.
    fn parameters(&self, budget: &fleet::Budget) -> io::Result<QuotaParameters> {
        let region_members = self.region.members.len() as u64;
        let fleet_members = self.fleet.members().count() as u64;
        let amount = Amount::calls(budget.amount);
        let stated = Budget {
            amount: if budget.federated { amount * region_members / fleet_members } else { amount },
            window: budget.window * MICROS_PER_MILLISECOND,
            overdraft: budget.overdraft * PER_MILLE_IN_PERCENT,
            reserve: budget.floors * PER_MILLE_IN_PERCENT,
        };
        let parameters =
            stated.parameters(region_members, u64::from(self.fleet.drift)).map_err(io::Error::other)?;
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
