//! Rate transfers between regions: if the demand exceeds a region's own rate, its claimant requests a part of what other
//! regions don't need.

use super::accounts::{RateShortage, transfer_receiver};
use super::claims::ClaimsOutcome;
use super::outbox::OutgoingMessage;
use super::regions::{RemoteSender, forwarded};
use super::wire::{RateTransfer, RemoteMessage};
use super::{Shared, lock};
use sagearch_homes::message::{ClaimStatus, Claims};
use sagearch_homes::{Claim, Epoch, Micros, Slice};
use sagearch_ledger::Counterparty;
use std::collections::BTreeMap;

/// The unit in which the clock drift is stated.
const PER_MILLE: u64 = 1_000;

impl Shared {
    /// Requests rate from other regions where the region's own does not suffice, for the slices that are claimed here.
    /// `attempts`: by region, which of its members the request goes to.
    pub(super) fn request_transfers(
        &self,
        now: Micros,
        claims: &BTreeMap<Slice, Claim>,
        attempts: &[usize],
        messages: &mut Vec<OutgoingMessage>,
    ) {
        let senders = self.directory.other_regions().count() as u64;
        let mut ledger = lock(&self.ledger);
        for (budget, account) in ledger.iter_mut().enumerate().filter(|(_, account)| account.federated) {
            let Some(claim) = claims.get(&account.slice).copied() else { continue };
            let Some(RateShortage { rate, issued }) = account.rate_shortage(now) else { continue };
            for region in self.directory.other_regions() {
                let attempt = attempts[usize::from(region.0)];
                let Some(to) = self.directory.contact(region, attempt) else { continue };
                let number = account.request_transfer(region, claim, now);
                let transfer =
                    RateTransfer { budget: budget as u8, number, claim, rate: rate / senders, issued };
                let body = self.remote(RemoteMessage::RateTransferRequest(transfer));
                messages.push(OutgoingMessage::new(to, body));
            }
        }
    }

    /// Another region requests a part of this region's rate.
    pub(super) fn receive_transfer_request(&self, now: Micros, from: RemoteSender, request: RateTransfer) {
        let Some((slice, _)) = self.budget_parameters(request.budget) else {
            return self.counted.lost("out_of_place");
        };
        let (epoch, preferred) = {
            let coordination = lock(&self.coordination);
            (coordination.holder.held_epoch(now, slice), coordination.holder.preferred_holder(slice))
        };
        let Some(epoch) = epoch else {
            if !from.forwarded && preferred != self.directory.own().member {
                let body = forwarded(from.process, RemoteMessage::RateTransferRequest(request));
                self.send(vec![OutgoingMessage::new(preferred, body)]);
            }
            return;
        };
        let status = ClaimStatus { slice, claim: request.claim, age: Some(0) };
        let ClaimsOutcome { answer, notifications: mut messages } =
            self.receive_claims(now, from.region, &Claims(vec![status]));
        // There is an answer if the request's claim has lost: no rate is transferred then.
        let answer = answer.map_or_else(
            || RemoteMessage::RateTransferGranted(self.grant_transfer(now, epoch, request)),
            RemoteMessage::Claims,
        );
        messages.push(OutgoingMessage::new(from.process.member, self.remote(answer)));
        self.send(messages);
    }

    /// Transfers the rate that this region can spare. It is not granted here until it has expired by the clocks of both
    /// regions.
    fn grant_transfer(&self, now: Micros, epoch: Epoch, request: RateTransfer) -> RateTransfer {
        let mut ledger = lock(&self.ledger);
        let account = &mut ledger[usize::from(request.budget)];
        account.record_receiver(&request.claim, request.issued);
        let drift = PER_MILLE + u64::from(self.lease_config.drift_per_mille);
        let lifetime = account.parameters.grant_lifetime;
        let duration = (lifetime * drift * drift).div_ceil(PER_MILLE * PER_MILLE);
        let allocator = account.allocator(epoch, now);
        let rate = allocator.transfer_out(now, transfer_receiver(&request.claim), request.rate, duration);
        RateTransfer { rate, issued: allocator.issued(), ..request }
    }

    /// Another region has transferred rate. It is used if it answers the latest request, under a claim that is still active.
    pub(super) fn receive_transfer(&self, now: Micros, from: RemoteSender, transfer: RateTransfer) {
        let Some((slice, _)) = self.budget_parameters(transfer.budget) else {
            return self.counted.lost("out_of_place");
        };
        let coordination = lock(&self.coordination);
        let Some(epoch) = coordination.holder.held_epoch(now, slice) else { return };
        let active = coordination.region_claims.active_claim(now, slice, Some(epoch)) == Some(transfer.claim);
        let mut ledger = lock(&self.ledger);
        drop(coordination);
        let account = &mut ledger[usize::from(transfer.budget)];
        account.record_sender(from.region, from.process, transfer.issued);
        let requested =
            account.transfer_requested(from.region, transfer.number, transfer.claim).filter(|_| active);
        if let Some(requested) = requested {
            let until = requested + account.parameters.grant_lifetime;
            let sender = Counterparty(u64::from(from.region.0));
            account.allocator(epoch, now).transfer_in(now, sender, transfer.rate, until);
        }
    }
}
