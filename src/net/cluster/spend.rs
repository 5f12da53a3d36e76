//! The gateway worker's side of a shared budget. It never waits for a lock: grants and requests pass through bounded channels,
//! and fences are read from a published snapshot.

use super::channels::{AuthorizedGrant, Task, WorkerGrantRequest};
use super::wire::GrantAuthority;
use crate::interface::{Micros, RetryBudget, RetryPayment};
use crate::metrics::ClusterCounters;
use crate::net::clock::Clock;
use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender};
use sagearch_homes::{FenceTable, Slice};
use sagearch_ledger::{Payment, QuotaClient};
use std::sync::Arc;

/// A budget of the fleet from which the gateway's worker spends.
pub struct SharedBudget {
    /// The budget's number in the operators' file.
    pub budget: u8,
    /// The slice whose lease holder issues grants from this budget.
    pub slice: Slice,
    /// The quota granted to this gateway, and its reserve.
    pub client: QuotaClient<GrantAuthority>,
    /// The channel for requests to the pool. A request that finds it full is dropped and retried, like a lost datagram.
    pub tasks: Sender<Task>,
    /// The channel for grants from the pool.
    pub grants: Receiver<AuthorizedGrant>,
    /// The highest known claims; grants under lower claims are void.
    pub fences: Arc<ArcSwap<FenceTable>>,
    /// The gateway's clock.
    pub clock: Clock,
    /// The metrics of the shared state.
    pub counters: Arc<ClusterCounters>,
}

impl SharedBudget {
    /// Receives pending grants and then requests more if needed. Grants come first because a grant is ignored unless it
    /// answers the latest request.
    fn receive_and_request(&mut self, now: Micros) {
        while let Ok(AuthorizedGrant { authority, grant }) = self.grants.try_recv() {
            self.client.receive(now, grant, authority);
        }
        if let Some(request) = self.client.request(now) {
            let request = WorkerGrantRequest { budget: self.budget, request };
            if self.tasks.try_send(Task::RequestGrant(request)).is_err() {
                self.counters.lost("asks_unheard");
            }
        }
    }
}

impl RetryBudget for SharedBudget {
    fn expect(&mut self, now: Micros, at: Micros) {
        self.client.expect_call(at);
        self.receive_and_request(now);
    }

    fn tick(&mut self, now: Micros) {
        self.receive_and_request(now);
    }

    fn spend(&mut self, now: Micros) -> Option<RetryPayment> {
        self.receive_and_request(now);
        let fences = self.fences.load();
        let payment = self.client.spend(now, |authority: &GrantAuthority| authority.is_fenced(&fences));
        drop(fences);
        let claim = match payment {
            None => {
                self.counters.spent("nothing");
                return None;
            }
            Some(Payment::Reserve) => {
                self.counters.spent("floor");
                None
            }
            Some(Payment::Leased(authority)) => {
                self.counters.spent("leased");
                authority.claim
            }
        };
        log::debug!(
            "spends slice={} {} at={}",
            self.slice.0,
            super::optional_claim_fields(claim.as_ref()),
            self.clock.unix_us(now),
        );
        Some(RetryPayment { slice: self.slice, claim })
    }

    fn is_valid(&self, payment: &RetryPayment) -> bool {
        let fences = self.fences.load();
        let is_valid = payment.claim.is_none_or(|claim| !fences.is_fenced(payment.slice, &claim));
        if !is_valid {
            self.counters.lost("fenced_attempts");
        }
        is_valid
    }
}
