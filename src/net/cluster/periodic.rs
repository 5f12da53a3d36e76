//! Scheduled tasks: probes, lease renewals, claims and rate transfers; also the release of leases when the process ends.

use super::alive::GossipMessage;
use super::channels::Task;
use super::coordination::{Coordination, MajorityChange};
use super::outbox::OutgoingMessage;
use super::wire::Body;
use super::{ClusterNode, LOG_TARGET, lock};
use crate::metrics::gauge_value;
use sagearch_homes::message::{self, LeaseMessage};
use sagearch_homes::{Epoch, Member, Micros, Slice};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// How long a majority may be missing before operators are notified, in multiples of a voter's promise.
const MAJORITY_GRACE_PROMISES: u64 = 3;

impl ClusterNode {
    /// Runs the tasks that are due, and sets the next deadline.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut messages = Vec::new();
        let mut coordination = lock(&self.coordination);
        let gossip = self.tick_failure_detector(now, &mut coordination);
        let mut leases = message::Outgoing::new();
        let lease_changes = coordination.holder.tick(now, self.jitter(), &mut leases);
        let held: BTreeMap<Slice, Epoch> = coordination.holder.held_leases(now).collect();
        self.counters.homes.set(gauge_value(held.len()));
        self.monitor_majority(now, &mut coordination, held.is_empty());
        let claims = coordination.region_claims.tick(now, &held);
        self.broadcast_claims(&mut coordination, &claims.broadcast, &mut messages);
        if !claims.changes.is_empty() {
            self.publish_fences(&coordination);
        }
        let active = coordination.active_claims(now, &held);
        let failed_attempts_by_region: Vec<usize> =
            coordination.contacts.iter().map(|contact| contact.failed_attempts).collect();
        self.deadline.store(self.next_deadline(&coordination), Ordering::SeqCst);
        drop(coordination);
        messages.extend(gossip.into_iter().map(OutgoingMessage::from));
        messages.extend(leases.into_iter().map(OutgoingMessage::from));
        self.request_transfers(now, &active, &failed_attempts_by_region, &mut messages);
        self.record_leases(now, lease_changes);
        messages.extend(self.record_claims(now, claims.changes));
        self.send(messages);
    }

    /// Probes other members and updates the set of live members.
    fn tick_failure_detector(&self, now: Micros, coordination: &mut Coordination) -> Vec<GossipMessage> {
        let mut gossip = Vec::new();
        coordination.failure_detector.tick(now, &mut gossip);
        coordination.update_members(&self.counters);
        gossip
    }

    /// Notifies operators when a majority is lost or regained. Without a majority there are no lease holders, and each
    /// gateway spends only its reserve.
    fn monitor_majority(&self, now: Micros, coordination: &mut Coordination, holds_no_lease: bool) {
        let missing = holds_no_lease && coordination.holder.missing_lease_count(now) > 0;
        let grace = MAJORITY_GRACE_PROMISES * self.lease_config.promise_duration();
        match coordination.majority_monitor.update(now, missing, grace) {
            None => {}
            Some(MajorityChange::Lost) => {
                self.counters.change("without_majority", 1);
                log::warn!(
                    target: LOG_TARGET,
                    "no majority of the region's voters is heard: this gateway spends only its reserve"
                );
            }
            Some(MajorityChange::Regained) => {
                log::info!(target: LOG_TARGET, "a majority of the region's voters grants leases again");
            }
        }
    }

    /// Publishes the fence table to the gateway's worker.
    pub(super) fn publish_fences(&self, coordination: &Coordination) {
        self.fences.store(Arc::new(coordination.region_claims.fences().clone()));
    }

    /// Asks the pool to leave the region and release all leases before the process ends, so that other members need not wait
    /// until the leases expire.
    pub fn request_leave(&self) {
        let _ = self.tasks.try_send(Task::Leave);
    }

    /// Leaves the region and releases all leases.
    pub(super) fn leave(&self) {
        let now = self.clock.now();
        let mut coordination = lock(&self.coordination);
        let mut gossip = Vec::new();
        coordination.failure_detector.leave(now, &mut gossip);
        let mut held: BTreeMap<Epoch, Vec<Slice>> = BTreeMap::new();
        for (slice, epoch) in coordination.holder.held_leases(now) {
            held.entry(epoch).or_default().push(slice);
        }
        let voters = coordination.holder.voters();
        coordination.holder.retire();
        drop(coordination);
        let mut messages: Vec<OutgoingMessage> = gossip.into_iter().map(OutgoingMessage::from).collect();
        messages.extend(self.release_messages(&held, voters));
        self.send(messages);
        log::info!(target: LOG_TARGET, "released all leases before shutdown");
    }

    /// Creates the messages that notify the other voters of released leases.
    fn release_messages(
        &self,
        held: &BTreeMap<Epoch, Vec<Slice>>,
        voters: impl IntoIterator<Item = Member>,
    ) -> Vec<OutgoingMessage> {
        let own_member = self.directory.own_process().member;
        let others: Vec<Member> = voters.into_iter().filter(|voter| *voter != own_member).collect();
        let mut messages = Vec::new();
        for (epoch, slices) in held {
            for slices in slices.chunks(message::MAX_SLICES) {
                let released = LeaseMessage::Released { epoch: *epoch, slices: slices.to_vec() };
                let to_voter = |voter: &Member| OutgoingMessage::new(*voter, Body::Lease(released.clone()));
                messages.extend(others.iter().map(to_voter));
            }
        }
        messages
    }
}
