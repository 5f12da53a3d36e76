//! Messages between regions. Claims are broadcast; a receiver that is not the lease holder of a slice forwards its claims to
//! the lease holder.

use super::claims::ClaimsOutcome;
use super::coordination::Coordination;
use super::outbox::OutgoingMessage;
use super::wire::{Body, RemoteMessage};
use super::{ClusterNode, lock};
use sagearch_homes::message::{ClaimStatus, Claims, ProcessId};
use sagearch_homes::{Member, Micros, Region};
use std::collections::BTreeMap;

/// The author of a message from another region.
#[derive(Clone, Copy)]
pub struct RemoteSender {
    /// The region that the message is from.
    pub region: Region,
    /// The member that wrote the message, and its incarnation.
    pub process: ProcessId,
    /// Whether a neighbour forwarded the message. A forwarded message is not forwarded again.
    pub forwarded: bool,
}

/// Creates the datagram content that forwards another gateway's message within this region.
pub fn forwarded_body(from: ProcessId, message: RemoteMessage) -> Body {
    Body::Remote { from: from.member.0, incarnation: from.incarnation, forwarded: true, message }
}

impl ClusterNode {
    /// Creates the datagram content for this gateway's own message to another region.
    pub(super) fn remote_body(&self, message: RemoteMessage) -> Body {
        let ProcessId { member, incarnation } = self.directory.own_process();
        Body::Remote { from: member.0, incarnation, forwarded: false, message }
    }

    /// Adds messages that send claims to one member of each other region; it is the next member if the last one did not
    /// answer.
    pub(super) fn broadcast_claims(
        &self,
        coordination: &mut Coordination,
        claims: &[Claims],
        messages: &mut Vec<OutgoingMessage>,
    ) {
        if claims.is_empty() {
            return;
        }
        for region in self.directory.other_regions() {
            let contact = &mut coordination.contacts[usize::from(region.0)];
            contact.failed_attempts += usize::from(!std::mem::take(&mut contact.reachable));
            let Some(to) = self.directory.contact(region, contact.failed_attempts) else { continue };
            let to_contact = |claims: &Claims| {
                OutgoingMessage::new(to, self.remote_body(RemoteMessage::Claims(claims.clone())))
            };
            messages.extend(claims.iter().map(to_contact));
        }
    }

    /// Processes a message from another region.
    pub(super) fn receive_remote(&self, now: Micros, from: RemoteSender, message: RemoteMessage) {
        lock(&self.coordination).mark_reachable(from.region);
        match message {
            RemoteMessage::Claims(claims) => self.receive_remote_claims(now, from, claims),
            RemoteMessage::RateTransferRequest(transfer) => {
                self.receive_transfer_request(now, from, transfer);
            }
            RemoteMessage::RateTransferGranted(transfer) => self.receive_transfer(now, from, transfer),
        }
    }

    fn receive_remote_claims(&self, now: Micros, from: RemoteSender, claims: Claims) {
        let ClaimsOutcome { answer, notifications: mut messages } =
            self.receive_claims(now, from.region, &claims);
        let answer = answer.map(|claims| self.remote_body(RemoteMessage::Claims(claims)));
        messages.extend(answer.map(|body| OutgoingMessage::new(from.process.member, body)));
        if !from.forwarded {
            messages.extend(self.forward_claims(from.process, claims));
        }
        self.send(messages);
    }

    /// Creates messages that forward claims to the preferred lease holders of their slices in this region.
    fn forward_claims(&self, from: ProcessId, claims: Claims) -> Vec<OutgoingMessage> {
        let coordination = lock(&self.coordination);
        let mut by_holder: BTreeMap<Member, Vec<ClaimStatus>> = BTreeMap::new();
        for status in claims.0 {
            by_holder.entry(coordination.holder.preferred_holder(status.slice)).or_default().push(status);
        }
        drop(coordination);
        by_holder.remove(&self.directory.own_process().member);
        let forward = |(to, statuses)| {
            OutgoingMessage::new(to, forwarded_body(from, RemoteMessage::Claims(Claims(statuses))))
        };
        by_holder.into_iter().map(forward).collect()
    }
}
