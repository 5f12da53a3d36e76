//! A shared budget as the worker sees it. It waits for no lock: grants come by a bounded channel, requests go by another, and
//! fences are read from a published snapshot.

use super::channels::{AuthorizedGrant, Work, WorkerGrantRequest};
use super::wire::GrantAuthority;
use crate::interface::{Micros, RetryBudget, RetryPayment};
use crate::metrics::ClusterCounters;
use crate::net::clock::Clock;
use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender};
use sagearch_homes::{FenceTable, Slice};
use sagearch_ledger::{Payment, QuotaClient};
use std::sync::Arc;

/// A budget of the fleet, as the gateway's worker spends from it.
pub struct SharedBudget {
    /// The budget's number in the operators' file.
    pub budget: u8,
    /// The slice whose lease holder issues the grants.
    pub slice: Slice,
    /// The grants received so far, and this gateway's reserve.
    pub client: QuotaClient<GrantAuthority>,
    /// Requests to the pool. A full channel drops the request: it is made again, as if the datagram were lost.
    pub work: Sender<Work>,
    /// Grants from the pool.
    pub grants: Receiver<AuthorizedGrant>,
    /// The highest claims known: grants under lower ones are void.
    pub fences: Arc<ArcSwap<FenceTable>>,
    /// The gateway's clock.
    pub clock: Clock,
    /// The metrics of the shared state.
    pub counted: Arc<ClusterCounters>,
}

impl SharedBudget {
    /// Receives grants before it requests more: an answer to a request that is not the latest counts for nothing.
    fn request(&mut self, now: Micros) {
        while let Ok(AuthorizedGrant { authority, grant }) = self.grants.try_recv() {
            self.client.receive(now, grant, authority);
        }
        if let Some(request) = self.client.request(now) {
            let request = WorkerGrantRequest { budget: self.budget, request };
            if self.work.try_send(Work::RequestGrant(request)).is_err() {
                self.counted.lost("asks_unheard");
            }
        }
    }
}

impl RetryBudget for SharedBudget {
    fn expect(&mut self, now: Micros, at: Micros) {
        self.client.expect_call(at);
        self.request(now);
    }

    fn tick(&mut self, now: Micros) {
        self.request(now);
    }

    fn spend(&mut self, now: Micros) -> Option<RetryPayment> {
        self.request(now);
        let fences = self.fences.load();
        let payment = self.client.spend(now, |authority: &GrantAuthority| authority.is_fenced(&fences));
        drop(fences);
        let claim = match payment {
            None => {
                self.counted.spent("nothing");
                return None;
            }
            Some(Payment::Reserve) => {
                self.counted.spent("floor");
                None
            }
            Some(Payment::Leased(authority)) => {
                self.counted.spent("leased");
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
            self.counted.lost("fenced_attempts");
        }
        is_valid
    }
}
