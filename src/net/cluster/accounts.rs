//! The ledger: one account per budget, with a quota allocator while this gateway holds the lease on the budget's slice.

use sagearch_homes::message::ProcessId;
use sagearch_homes::placement::mix;
use sagearch_homes::{Claim, Epoch, Micros, Region, Slice};
use sagearch_ledger::{
    Amount, Counterparty, IssuedCounter, Issuer, ONE_CALL, QuotaAllocator, QuotaParameters,
};
use std::collections::BTreeMap;

/// The latest request for a rate transfer from another region.
#[derive(Clone, Copy)]
struct PendingTransferRequest {
    number: u32,
    sent_at: Micros,
    claim: Claim,
}

/// The rate that a region lacks to meet its demand.
pub struct RateShortage {
    /// The amount by which demand exceeds the region's own rate.
    pub rate: Amount,
    /// The total that the region's allocator has issued.
    pub issued: Amount,
}

/// A quota allocator, and the lease under which it issues grants.
struct LeasedAllocator {
    epoch: Epoch,
    allocator: QuotaAllocator,
}

/// The account of one budget: its quota allocator, and the amounts that other allocators have issued.
pub struct BudgetAccount {
    /// The budget's name in the operators' file.
    pub name: String,
    /// The slice whose lease holder issues grants from this budget.
    pub slice: Slice,
    /// The parameters of this region's share of the budget.
    pub parameters: QuotaParameters,
    /// Whether several regions share the budget.
    pub federated: bool,
    allocator: Option<LeasedAllocator>,
    issued: IssuedCounter,
    /// The latest rate transfer request to each region.
    transfer_requests: BTreeMap<Region, PendingTransferRequest>,
    /// The number of the latest rate transfer request.
    transfer_number: u32,
    /// The earliest time of the next rate transfer request.
    next_request_at: Micros,
}

impl LeasedAllocator {
    fn new(epoch: Epoch, parameters: QuotaParameters, now: Micros) -> LeasedAllocator {
        LeasedAllocator { epoch, allocator: QuotaAllocator::new(parameters, now) }
    }
}

impl BudgetAccount {
    /// Creates an account without an allocator.
    pub fn new(name: String, slice: Slice, parameters: QuotaParameters, federated: bool) -> BudgetAccount {
        BudgetAccount {
            name,
            slice,
            parameters,
            federated,
            allocator: None,
            issued: IssuedCounter::default(),
            transfer_requests: BTreeMap::new(),
            transfer_number: 0,
            next_request_at: 0,
        }
    }

    /// Returns the allocator of a lease, and creates it if needed. The allocator of any other lease is dropped.
    pub fn allocator(&mut self, epoch: Epoch, now: Micros) -> &mut QuotaAllocator {
        let current = self.allocator.take().filter(|leased| leased.epoch == epoch);
        let leased = current.unwrap_or_else(|| LeasedAllocator::new(epoch, self.parameters, now));
        &mut self.allocator.insert(leased).allocator
    }

    /// Begins a lease with a new allocator.
    pub fn begin_lease(&mut self, epoch: Epoch, now: Micros) {
        self.allocator = Some(LeasedAllocator::new(epoch, self.parameters, now));
    }

    /// Ends the lease and drops its allocator.
    pub fn end_lease(&mut self) {
        self.allocator = None;
    }

    /// Returns the rate to request from other regions now, at most once per half of a grant's lifetime.
    pub fn rate_shortage(&mut self, now: Micros) -> Option<RateShortage> {
        let leased = self.allocator.as_mut().filter(|_| now >= self.next_request_at)?;
        let rate = leased.allocator.demand(now).saturating_sub(self.parameters.rate);
        if rate < ONE_CALL {
            return None;
        }
        let issued = leased.allocator.issued();
        self.next_request_at = now + self.parameters.grant_lifetime / 2;
        Some(RateShortage { rate, issued })
    }

    /// Records a new rate transfer request to a region, which replaces the previous one, and returns its number.
    pub fn request_transfer(&mut self, region: Region, claim: Claim, now: Micros) -> u32 {
        self.transfer_number = self.transfer_number.wrapping_add(1);
        let number = self.transfer_number;
        self.transfer_requests.insert(region, PendingTransferRequest { number, sent_at: now, claim });
        number
    }

    /// Returns when the latest request to a region was sent, if its number and claim match.
    pub fn transfer_request_time(&self, region: Region, number: u32, claim: Claim) -> Option<Micros> {
        let request = self.transfer_requests.get(&region)?;
        (request.number == number && request.claim == claim).then_some(request.sent_at)
    }

    /// Records the total that the receiver of a rate transfer, identified by its claim, has issued.
    pub fn record_receiver_issued(&mut self, claim: &Claim, issued: Amount) {
        let (term, region) = (claim.term, claim.region.0);
        self.issued.record(Issuer { term, region, incarnation: claim.incarnation.0 }, issued);
    }

    /// Records the total that the sender of a rate transfer has issued.
    pub fn record_sender_issued(&mut self, region: Region, sender: ProcessId, issued: Amount) {
        let (region, incarnation) = (region.0, sender.incarnation.0);
        self.issued.record(Issuer { term: 0, region, incarnation }, issued);
    }
}

/// Derives the counterparty ID of a rate transfer's receiver from the claim of the receiving region.
pub fn transfer_receiver(claim: &Claim) -> Counterparty {
    let parts = [claim.term, u64::from(claim.region.0), claim.epoch.0, claim.incarnation.0];
    Counterparty(parts.into_iter().fold(0, |hash, part| mix(hash ^ part)))
}
