//! Rate transfers between regions: a region whose demand exceeds its own rate requests unused rate from other regions.

use super::accounts::{RateShortage, transfer_receiver};
use super::claims::ClaimsOutcome;
use super::outbox::OutgoingMessage;
use super::regions::{RemoteSender, forwarded_body};
use super::wire::{RateTransfer, RemoteMessage};
use super::{ClusterNode, lock};
use sagearch_homes::message::{ClaimStatus, Claims};
use sagearch_homes::{Claim, Epoch, Micros, Slice};
use sagearch_ledger::Counterparty;
use std::collections::BTreeMap;

/// The scale of the clock drift, which is stated in thousandths.
const PER_MILLE: u64 = 1_000;

impl ClusterNode {
    /// Requests rate from other regions for budgets whose demand exceeds this region's rate, on slices claimed by this
    /// gateway. `failed_attempts_by_region` selects the member of each region to which the request is sent.
    pub(super) fn request_transfers(
        &self,
        now: Micros,
        claims: &BTreeMap<Slice, Claim>,
        failed_attempts_by_region: &[usize],
        messages: &mut Vec<OutgoingMessage>,
    ) {
        let senders = self.directory.other_regions().count() as u64;
        let mut ledger = lock(&self.ledger);
        for (budget, account) in ledger.iter_mut().enumerate().filter(|(_, account)| account.federated) {
            let Some(claim) = claims.get(&account.slice).copied() else { continue };
            let Some(RateShortage { rate, issued }) = account.rate_shortage(now) else { continue };
            for region in self.directory.other_regions() {
                let failed_attempts = failed_attempts_by_region[usize::from(region.0)];
                let Some(to) = self.directory.contact(region, failed_attempts) else { continue };
                let number = account.request_transfer(region, claim, now);
                let transfer =
                    RateTransfer { budget: budget as u8, number, claim, rate: rate / senders, issued };
                let body = self.remote_body(RemoteMessage::RateTransferRequest(transfer));
                messages.push(OutgoingMessage::new(to, body));
            }
        }
    }

    /// Handles another region's request for a part of this region's rate.
    pub(super) fn receive_transfer_request(&self, now: Micros, from: RemoteSender, request: RateTransfer) {
        let Some((slice, _)) = self.budget_parameters(request.budget) else {
            return self.counters.lost("out_of_place");
        };
        let (epoch, preferred_holder) = {
            let coordination = lock(&self.coordination);
            (coordination.holder.held_epoch(now, slice), coordination.holder.preferred_holder(slice))
        };
        let Some(epoch) = epoch else {
            if !from.forwarded && preferred_holder != self.directory.own_process().member {
                let body = forwarded_body(from.process, RemoteMessage::RateTransferRequest(request));
                self.send(vec![OutgoingMessage::new(preferred_holder, body)]);
            }
            return;
        };
        let status = ClaimStatus { slice, claim: request.claim, age: Some(0) };
        let ClaimsOutcome { answer, notifications: mut messages } =
            self.receive_claims(now, from.region, &Claims(vec![status]));
        // If the request's claim has lost, the answer is the winning claim, and no rate is transferred.
        let answer = answer.map_or_else(
            || RemoteMessage::RateTransferGranted(self.grant_transfer(now, epoch, request)),
            RemoteMessage::Claims,
        );
        messages.push(OutgoingMessage::new(from.process.member, self.remote_body(answer)));
        self.send(messages);
    }

    /// Transfers the rate that this region can spare. This region's allocator does not grant that rate again until the
    /// transfer has expired by the clocks of both regions.
    fn grant_transfer(&self, now: Micros, epoch: Epoch, request: RateTransfer) -> RateTransfer {
        let mut ledger = lock(&self.ledger);
        let account = &mut ledger[usize::from(request.budget)];
        account.record_receiver_issued(&request.claim, request.issued);
        let drift_factor_per_mille = PER_MILLE + u64::from(self.lease_config.drift_per_mille);
        let lifetime = account.parameters.grant_lifetime;
        let duration =
            (lifetime * drift_factor_per_mille * drift_factor_per_mille).div_ceil(PER_MILLE * PER_MILLE);
        let allocator = account.allocator(epoch, now);
        let rate = allocator.transfer_out(now, transfer_receiver(&request.claim), request.rate, duration);
        RateTransfer { rate, issued: allocator.issued(), ..request }
    }

    /// Receives rate from another region. It is used only if it answers the latest request and that request's claim is still
    /// active.
    pub(super) fn receive_transfer(&self, now: Micros, from: RemoteSender, transfer: RateTransfer) {
        let Some((slice, _)) = self.budget_parameters(transfer.budget) else {
            return self.counters.lost("out_of_place");
        };
        let coordination = lock(&self.coordination);
        let Some(epoch) = coordination.holder.held_epoch(now, slice) else { return };
        let active = coordination.region_claims.active_claim(now, slice, Some(epoch)) == Some(transfer.claim);
        let mut ledger = lock(&self.ledger);
        drop(coordination);
        let account = &mut ledger[usize::from(transfer.budget)];
        account.record_sender_issued(from.region, from.process, transfer.issued);
        let requested_at =
            account.transfer_request_time(from.region, transfer.number, transfer.claim).filter(|_| active);
        if let Some(requested_at) = requested_at {
            let expiry = requested_at + account.parameters.grant_lifetime;
            let sender = Counterparty(u64::from(from.region.0));
            account.allocator(epoch, now).transfer_in(now, sender, transfer.rate, expiry);
        }
    }
}
