//! Dispatches received datagrams to their handlers. A datagram that its sender may not send is dropped and counted.

use super::channels::{AuthorizedGrant, ReceivedDatagram};
use super::outbox::OutgoingMessage;
use super::regions::RemoteSender;
use super::wire::{self, Body};
use super::{ClusterNode, lock};
use sagearch_homes::message::{self, LeaseMessage, ProcessId};
use sagearch_homes::{Member, Micros};

impl ClusterNode {
    /// Processes a datagram. Only members of the fleet may send datagrams; most kinds are accepted only from this region.
    pub(super) fn receive_datagram(&self, received: &ReceivedDatagram) {
        let Some(sender) = self.directory.member_at(&received.from) else {
            return self.counters.lost("stranger");
        };
        let datagram = match wire::decode(self.fleet_tag, &received.bytes) {
            Ok(datagram) => datagram,
            Err(error) => return self.counters.lost(error.label()),
        };
        let now = self.clock.now();
        let process = ProcessId { member: sender, incarnation: datagram.incarnation };
        match datagram.body {
            Body::Remote { from, incarnation, forwarded, message } => {
                let origin = ProcessId { member: Member(from), incarnation };
                match self.remote_sender(sender, origin, forwarded) {
                    Some(from) => self.receive_remote(now, from, message),
                    None => self.counters.lost("out_of_place"),
                }
            }
            _ if !self.directory.is_neighbour(sender) => self.counters.lost("out_of_place"),
            Body::Alive(bytes) => self.receive_gossip(now, &bytes),
            Body::Lease(leases) => self.receive_lease(now, process, &leases),
            Body::Fence(claims) => self.receive_fence(now, &claims),
            Body::GrantRequest { budget, request } => {
                let granted = self.grant(now, process, budget, request);
                if let Some(AuthorizedGrant { authority, grant }) = granted {
                    let body = Body::Grant { budget, authority, grant };
                    self.send(vec![OutgoingMessage::new(sender, body)]);
                }
            }
            Body::Grant { budget, authority, grant } => {
                self.receive_grant(budget, AuthorizedGrant { authority, grant });
            }
        }
    }

    /// Returns the author of a message from another region: the datagram's sender or, for a forwarded message, the process
    /// that the forwarding neighbour names. `None` if the sender may not send the message.
    fn remote_sender(&self, sender: Member, process: ProcessId, forwarded: bool) -> Option<RemoteSender> {
        let from_neighbour = self.directory.is_neighbour(sender);
        let may_send = if forwarded { from_neighbour } else { process.member == sender && !from_neighbour };
        let region = self.directory.region_of(process.member)?;
        let is_remote = region != self.directory.own_region();
        (may_send && is_remote).then_some(RemoteSender { region, process, forwarded })
    }

    fn receive_gossip(&self, now: Micros, bytes: &[u8]) {
        let mut answers = Vec::new();
        let mut coordination = lock(&self.coordination);
        coordination.failure_detector.receive(now, bytes, &mut answers);
        coordination.update_members(&self.counters);
        drop(coordination);
        self.send(answers.into_iter().map(OutgoingMessage::from).collect());
    }

    fn receive_lease(&self, now: Micros, process: ProcessId, leases: &LeaseMessage) {
        let mut answers = message::Outgoing::new();
        let changes = lock(&self.coordination).holder.receive(now, process, leases, &mut answers);
        self.record_leases(now, changes);
        self.send(answers.into_iter().map(OutgoingMessage::from).collect());
    }
}
