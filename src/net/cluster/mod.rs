//! State shared by the gateways of a fleet: leases on slices, claims of regions, and budgets. Disabled unless the operators'
//! file contains a `fleet` node.
//!
//! A pool of threads operates on tables that are protected by locks. **Lock order: coordination, ledger, outbox.** A thread
//! that holds one of these locks acquires none that precedes it, and no lock is held during a send. In debug builds
//! `tracing-mutex` panics if two threads acquire them in different orders. The gateway's own worker acquires none of them
//! (see `spend`). An idle pool sleeps until the next lease renewal, probe or claim is due.
//!
//! - `start`: builds the tables from the operators' file and starts the threads;
//! - `directory`: the members that the operators' file lists;
//! - `workers`: the threads; `channels`: the messages between them;
//! - `periodic`: scheduled tasks; `datagrams`: dispatch of received datagrams;
//! - `coordination`: leases, claims and live members (`alive`); `record`: metrics and log lines for their changes;
//! - `accounts`: the ledger; `grants`: issuing and receiving grants; `spend`: spending by the gateway's worker;
//! - `regions`: messages between regions; `claims`: received claims; `rate_transfers`: temporary transfers of rate between
//!   regions;
//! - `outbox`: rate-limited sending; [`wire`]: the datagram format.

mod accounts;
mod alive;
mod channels;
mod claims;
mod coordination;
mod datagrams;
mod directory;
mod grants;
mod outbox;
mod periodic;
mod rate_transfers;
mod record;
mod regions;
mod spend;
mod start;
pub mod wire;
mod workers;

pub use start::{JoinConfig, start};

use crate::interface::RetryBudget;
use crate::metrics::ClusterCounters;
use crate::net::clock::Clock;
use accounts::BudgetAccount;
use arc_swap::ArcSwap;
use channels::{AuthorizedGrant, Task};
use coordination::Coordination;
use crossbeam_channel::Sender;
use directory::Directory;
use outbox::{Outbox, OutgoingMessage};
use sagearch_homes::{Claim, FenceTable, LeaseConfig};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::{Arc, PoisonError};
use tracing_mutex::stdsync::{Mutex, MutexGuard};

/// The log target of all submodules. Operators' log filters and the lab's checker depend on it.
const LOG_TARGET: &str = "sagearch::net::cluster";

/// This gateway as a member of its fleet: the shared tables, and the channels of the threads that operate on them.
pub struct ClusterNode {
    clock: Clock,
    /// The hash of the fleet's name, by which datagrams of other fleets are recognized.
    fleet_tag: u32,
    directory: Directory,
    lease_config: LeaseConfig,
    coordination: Mutex<Coordination>,
    ledger: Mutex<Vec<BudgetAccount>>,
    outbox: Outbox,
    fences: Arc<ArcSwap<FenceTable>>,
    /// Channels that pass grants to the gateway's worker, indexed by budget number.
    grant_senders: Vec<Sender<AuthorizedGrant>>,
    counters: Arc<ClusterCounters>,
    /// When the periodic tasks are next due, in microseconds of the gateway's clock.
    deadline: AtomicU64,
    tasks: Sender<Task>,
    /// The number of threads in the pool.
    worker_count: usize,
    /// Whether the threads have been asked to end.
    stopping: AtomicBool,
    /// The number of running threads.
    running_threads: Arc<AtomicUsize>,
    /// The state of the pseudo-random sequence behind [`ClusterNode::jitter`].
    jitter_counter: AtomicU64,
}

/// The result of joining a fleet.
pub struct JoinedCluster {
    /// The fleet's budgets, for the gateway's worker, in the order of the operators' file.
    pub budgets: Vec<Box<dyn RetryBudget>>,
    /// The handle through which the gateway leaves the fleet and its threads are stopped.
    pub node: Arc<ClusterNode>,
}

impl ClusterNode {
    fn send(&self, messages: Vec<OutgoingMessage>) {
        self.outbox.send(&self.directory, messages);
    }
}

/// Locks a table, and ignores poisoning: a panic in another thread must not spread to this one.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Formats a claim as the fields of a log line.
fn claim_fields(claim: &Claim) -> String {
    let Claim { term, region, epoch, incarnation, .. } = claim;
    format!("term={term} region={} claim-epoch={epoch} incarnation={incarnation}", region.0)
}

/// Formats an optional claim as the fields of a log line: `term=0` if there is none.
fn optional_claim_fields(claim: Option<&Claim>) -> String {
    claim.map_or_else(|| "term=0".into(), claim_fields)
}
