//! Received claims: merges them into the claim table and publishes new fences to the gateway's worker.

use super::outbox::OutgoingMessage;
use super::{ClusterNode, lock};
use sagearch_homes::message::{ClaimStatus, Claims};
use sagearch_homes::region_claims::ReceivedClaims;
use sagearch_homes::{Claim, FenceTable, Micros, Region};

/// The messages that result from received claims.
pub struct ClaimsOutcome {
    /// The answer to the sender: claims that win against the received ones.
    pub answer: Option<Claims>,
    /// Messages that notify this region's members of lost claims.
    pub notifications: Vec<OutgoingMessage>,
}

impl ClusterNode {
    /// Receives claims that have won, reported by a neighbour, which expects no answer.
    pub(super) fn receive_fence(&self, now: Micros, claims: &Claims) {
        let outcome = self.receive_claims(now, self.directory.own_region(), claims);
        self.send(outcome.notifications);
    }

    /// Merges a region's claims into the claim table. The caller sends the answer and the notifications.
    pub(super) fn receive_claims(&self, now: Micros, region: Region, claims: &Claims) -> ClaimsOutcome {
        let mut coordination = lock(&self.coordination);
        let before = highest_claims(coordination.region_claims.fences(), claims);
        let ReceivedClaims { answer, changes } = coordination.region_claims.receive(now, region, claims);
        if before != highest_claims(coordination.region_claims.fences(), claims) {
            self.publish_fences(&coordination);
        }
        drop(coordination);
        ClaimsOutcome { answer, notifications: self.record_claims(now, changes) }
    }
}

/// Returns the highest known claim on each slice of `claims`.
fn highest_claims(fences: &FenceTable, claims: &Claims) -> Vec<Option<Claim>> {
    let highest = |status: &ClaimStatus| fences.get(status.slice).map(|highest| highest.claim);
    claims.0.iter().map(highest).collect()
}
