//! Tasks by time: probes, renewals of leases, claims, rate transfers; and the release of leases when the process ends.

use super::alive::GossipMessage;
use super::channels::Work;
use super::coordination::{Coordination, MajorityChange};
use super::outbox::OutgoingMessage;
use super::wire::Body;
use super::{LOG_TARGET, Shared, lock};
use crate::metrics::gauge_value;
use sagearch_homes::message::{self, LeaseMessage};
use sagearch_homes::{Epoch, Member, Micros, Slice};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// After how many lengths of a promise a missing majority is reported.
const MAJORITY_GRACE_PROMISES: u64 = 3;

impl Shared {
    /// Runs the tasks that are due, and sets the next deadline.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut messages = Vec::new();
        let mut coordination = lock(&self.coordination);
        let gossip = self.tick_failure_detector(now, &mut coordination);
        let mut leases = message::Outgoing::new();
        let lease_changes = coordination.holder.tick(now, self.jitter(), &mut leases);
        let held: BTreeMap<Slice, Epoch> = coordination.holder.held_leases(now).collect();
        self.counted.homes.set(gauge_value(held.len()));
        self.watch_majority(now, &mut coordination, held.is_empty());
        let claims = coordination.region_claims.tick(now, &held);
        self.broadcast_claims(&mut coordination, &claims.broadcast, &mut messages);
        if !claims.changes.is_empty() {
            self.publish_fences(&coordination);
        }
        let active = coordination.active_claims(now, &held);
        let attempts: Vec<usize> = coordination.contacts.iter().map(|contact| contact.attempt).collect();
        self.deadline.store(self.next_deadline(&coordination), Ordering::SeqCst);
        drop(coordination);
        messages.extend(gossip.into_iter().map(OutgoingMessage::from));
        messages.extend(leases.into_iter().map(OutgoingMessage::from));
        self.request_transfers(now, &active, &attempts, &mut messages);
        self.record_leases(now, lease_changes);
        messages.extend(self.record_claims(now, claims.changes));
        self.send(messages);
    }

    /// Probes other members, and passes on who is alive.
    fn tick_failure_detector(&self, now: Micros, coordination: &mut Coordination) -> Vec<GossipMessage> {
        let mut gossip = Vec::new();
        coordination.alive.tick(now, &mut gossip);
        coordination.update_members(&self.counted);
        gossip
    }

    /// Reports a majority that is missing or back. Without one there are no lease holders, and each gateway spends its reserve
    /// only.
    fn watch_majority(&self, now: Micros, coordination: &mut Coordination, none_held: bool) {
        let missing = none_held && coordination.holder.missing_lease_count(now) > 0;
        let grace = MAJORITY_GRACE_PROMISES * self.lease_config.promise_duration();
        match coordination.majority.update(now, missing, grace) {
            None => {}
            Some(MajorityChange::Lost) => {
                self.counted.change("without_majority", 1);
                log::warn!(
                    target: LOG_TARGET,
                    "no majority of the region's voters is heard: this gateway is on what it has alone"
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

    /// Has the pool release this gateway's leases before the process ends: others need not wait until they expire.
    pub fn end(&self) {
        let _ = self.work.try_send(Work::Leave);
    }

    /// Leaves the region and releases all leases.
    pub(super) fn leave(&self) {
        let now = self.clock.now();
        let mut coordination = lock(&self.coordination);
        let mut gossip = Vec::new();
        coordination.alive.leave(now, &mut gossip);
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
        log::info!(target: LOG_TARGET, "what was held for the fleet is given back");
    }

    /// Tells the other voters which leases are released.
    fn release_messages(
        &self,
        held: &BTreeMap<Epoch, Vec<Slice>>,
        voters: impl IntoIterator<Item = Member>,
    ) -> Vec<OutgoingMessage> {
        let own = self.directory.own().member;
        let others: Vec<Member> = voters.into_iter().filter(|voter| *voter != own).collect();
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
