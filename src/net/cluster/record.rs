//! Changes of leases and claims: applies them to the ledger, counts them and logs them for operators.

use super::accounts::BudgetAccount;
use super::outbox::OutgoingMessage;
use super::wire::Body;
use super::{ClusterNode, LOG_TARGET, claim_fields, lock};
use sagearch_homes::message::{ClaimStatus, Claims};
use sagearch_homes::{Claim, ClaimChange, LeaseChange, LossReason, Micros, Slice};

impl ClusterNode {
    /// Records changes of this gateway's leases, and creates and drops the allocators of their slices.
    pub(super) fn record_leases(&self, now: Micros, changes: Vec<LeaseChange>) {
        if changes.is_empty() {
            return;
        }
        let at = self.clock.unix_us(now);
        let (mut gained, mut moved, mut lapsed) = (0, 0, 0);
        let mut ledger = lock(&self.ledger);
        for change in changes {
            match change {
                LeaseChange::Gained { slice, epoch } => {
                    gained += 1;
                    log::debug!(target: LOG_TARGET, "gained slice={} epoch={epoch} at={at}", slice.0);
                    let accounts = ledger.iter_mut().filter(|account| account.slice == slice);
                    accounts.for_each(|account| account.begin_lease(epoch, now));
                }
                LeaseChange::Lost { slice, epoch, reason } => {
                    match reason {
                        LossReason::Moved => moved += 1,
                        LossReason::Lapsed => lapsed += 1,
                    }
                    log::debug!(target: LOG_TARGET, "lost slice={} epoch={epoch} at={at}", slice.0);
                    let accounts = ledger.iter_mut().filter(|account| account.slice == slice);
                    accounts.for_each(BudgetAccount::end_lease);
                }
            }
        }
        drop(ledger);
        for (count, change) in [(gained, "gained"), (moved, "moved"), (lapsed, "lapsed")] {
            if count > 0 {
                log::info!(target: LOG_TARGET, "leases {change}: {count}");
                self.counters.change(change, count);
            }
        }
    }

    /// Records changes of claims. Returns the messages that notify the region's members of lost claims.
    pub(super) fn record_claims(&self, now: Micros, changes: Vec<ClaimChange>) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        let at = self.clock.unix_us(now);
        let (mut claimed, mut released) = (0_u64, 0_u64);
        for change in changes {
            match change {
                ClaimChange::Claimed { slice, claim } => {
                    claimed += 1;
                    log::debug!(target: LOG_TARGET, "claimed slice={} {} at={at}", slice.0, claim_fields(&claim));
                }
                ClaimChange::Released { slice, claim } => {
                    released += 1;
                    log::debug!(target: LOG_TARGET, "left slice={} {} at={at}", slice.0, claim_fields(&claim));
                }
                ClaimChange::SplitBrain { slice, lost, won } => self.record_split(at, slice, &lost, &won),
                ClaimChange::Fenced { slice, lost, won } => {
                    self.record_fenced(at, slice, &lost, &won);
                    messages.extend(self.fence_neighbours(slice, won));
                }
            }
        }
        if claimed + released > 0 {
            log::info!(target: LOG_TARGET, "claims made: {claimed}, released: {released}");
            self.counters.change("claimed", claimed);
        }
        messages
    }

    fn record_split(&self, at: u64, slice: Slice, lost: &Claim, won: &Claim) {
        self.counters.change("split", 1);
        let [lost_by, won_by] = [lost, won].map(|claim| self.directory.region_name(claim.region));
        log::warn!(
            target: LOG_TARGET,
            "split brain: regions {won_by:?} and {lost_by:?} both claim slice {}; {won_by:?} wins",
            slice.0
        );
        log::debug!(
            target: LOG_TARGET,
            "split slice={} lost {} won {} at={at}",
            slice.0,
            claim_fields(lost),
            claim_fields(won)
        );
    }

    fn record_fenced(&self, at: u64, slice: Slice, lost: &Claim, won: &Claim) {
        self.counters.change("fenced", 1);
        log::warn!(target: LOG_TARGET, "this gateway's claim on slice {} is fenced by a higher claim", slice.0);
        log::debug!(
            target: LOG_TARGET,
            "fenced slice={} lost {} won {} at={at}",
            slice.0,
            claim_fields(lost),
            claim_fields(won)
        );
    }

    /// Creates messages that notify all neighbours of a winning claim, as they may hold grants under the lost one.
    fn fence_neighbours(&self, slice: Slice, won: Claim) -> Vec<OutgoingMessage> {
        let status = ClaimStatus { slice, claim: won, age: Some(0) };
        let fence = |member| OutgoingMessage::new(member, Body::Fence(Claims(vec![status])));
        self.directory.neighbours().map(fence).collect()
    }
}
