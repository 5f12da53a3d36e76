//! Grants: requests by this gateway's worker and by neighbours, issuing by the lease holder of the budget's slice, and
//! receipt.

use super::channels::AuthorizedGrant;
use super::outbox::OutgoingMessage;
use super::wire::{Body, GrantAuthority};
use super::{ClusterNode, LOG_TARGET, lock, optional_claim_fields};
use sagearch_homes::message::ProcessId;
use sagearch_homes::{Micros, Slice};
use sagearch_ledger::{GrantRequest, QuotaParameters, Requester};

impl ClusterNode {
    /// Returns the slice and the parameters of a budget.
    pub(super) fn budget_parameters(&self, budget: u8) -> Option<(Slice, QuotaParameters)> {
        let ledger = lock(&self.ledger);
        ledger.get(usize::from(budget)).map(|account| (account.slice, account.parameters))
    }

    /// Requests a grant for the gateway's worker from the slice's lease holder, which may be this gateway.
    pub(super) fn request_grant(&self, budget: u8, request: GrantRequest) {
        let Some((slice, _)) = self.budget_parameters(budget) else { return };
        let now = self.clock.now();
        let own_process = self.directory.own_process();
        let holder = lock(&self.coordination).holder.preferred_holder(slice);
        if holder != own_process.member {
            return self.send(vec![OutgoingMessage::new(holder, Body::GrantRequest { budget, request })]);
        }
        if let Some(grant) = self.grant(now, own_process, budget, request) {
            self.receive_grant(budget, grant);
        }
    }

    /// Issues a grant from a budget, as the lease holder of its slice.
    pub(super) fn grant(
        &self,
        now: Micros,
        process: ProcessId,
        budget: u8,
        request: GrantRequest,
    ) -> Option<AuthorizedGrant> {
        let (slice, _) = self.budget_parameters(budget)?;
        let coordination = lock(&self.coordination);
        let Some(epoch) = coordination.holder.held_epoch(now, slice) else {
            self.counters.lost("not_home");
            return None;
        };
        let expiry = coordination.holder.lease_expiry(slice)?;
        let claim = coordination.region_claims.active_claim(now, slice, Some(epoch));
        let mut ledger = lock(&self.ledger);
        drop(coordination);
        let account = ledger.get_mut(usize::from(budget))?;
        let claim = claim.filter(|_| account.federated);
        let requester = Requester { member: process.member.0, incarnation: process.incarnation.0 };
        let grant = account.allocator(epoch, now).grant(now, requester, request)?;
        let name = account.name.clone();
        drop(ledger);
        // The process may have been suspended since the check above, and its lease may have expired meanwhile.
        let issued_at = self.clock.now();
        if issued_at >= expiry {
            self.counters.lost("lease_over");
            return None;
        }
        log::debug!(
            target: LOG_TARGET,
            "acts slice={} epoch={epoch} {} at={} budget={name} to={} amount={}",
            slice.0,
            optional_claim_fields(claim.as_ref()),
            self.clock.unix_us(issued_at),
            process.member.0,
            grant.amount,
        );
        Some(AuthorizedGrant { authority: GrantAuthority { slice, epoch, claim }, grant })
    }

    /// Passes a grant to the gateway's worker, unless the grant's claim is fenced.
    pub(super) fn receive_grant(&self, budget: u8, grant: AuthorizedGrant) {
        if grant.authority.is_fenced(&self.fences.load()) {
            return self.counters.lost("fenced_grants");
        }
        let Some(sender) = self.grant_senders.get(usize::from(budget)) else {
            return self.counters.lost("out_of_place");
        };
        if sender.try_send(grant).is_err() {
            self.counters.lost("grants_unheard");
        }
    }
}
