//! A gateway's own leases: the slices that it requests and holds, and when each lease expires.
//!
//! A gateway requests the slices that placement assigns to it among the members that it considers alive. A wrong view of
//! which members are alive may leave a slice without a lease holder, but never gives it two: a lease requires a majority of
//! each voter list.

use crate::message::{Envelope, KnownEpoch, LeaseMessage, MAX_DENIALS, MAX_SLICES, Outgoing, ProcessId};
use crate::voter::{Vote, Voter};
use crate::{Epoch, LeaseConfig, Member, Micros, Slice, placement};
use std::collections::{BTreeMap, BTreeSet};

/// The reason why a lease was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Placement assigns the slice to another member now.
    Moved,
    /// The lease expired: no majority renewed it in time.
    Lapsed,
}

/// A lease transition of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// A majority granted the lease.
    Gained {
        /// The slice.
        slice: Slice,
        /// The epoch of the lease.
        epoch: Epoch,
    },
    /// The lease ended.
    Lost {
        /// The slice.
        slice: Slice,
        /// The epoch of the lease.
        epoch: Epoch,
        /// The reason.
        reason: LossReason,
    },
}

/// One round of requests. Only votes on the latest round count, as the lease is valid from the time that round was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RequestRound {
    number: u32,
    sent_at: Micros,
    granted: BTreeSet<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    epoch: Epoch,
    /// When the lease expires; `None` while it is requested and not yet granted.
    expires_at: Option<Micros>,
    round: RequestRound,
    /// When to renew the lease, or to abandon the request if it has not been granted.
    due_at: Micros,
}

/// Releases and requests that a tick sends, by the epoch of the leases.
#[derive(Default)]
struct DueMessages {
    released: BTreeMap<Epoch, Vec<Slice>>,
    requested: BTreeMap<Epoch, Vec<Slice>>,
}

/// A gateway's role as lease holder, and as voter if it is a voter of its region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    config: LeaseConfig,
    process: ProcessId,
    /// The region's voters. There are two lists while a new one replaces an old one. A majority of each is required then, so
    /// that a gateway that has only the old list and one that has only the new list can't both reach a quorum.
    voter_lists: Vec<BTreeSet<Member>>,
    voter: Voter,
    alive: BTreeSet<Member>,
    /// The preferred holder of each slice among the live members.
    preferred_holders: Vec<Member>,
    leases: BTreeMap<Slice, Lease>,
    /// When to request a slice again whose lease was lost or not granted.
    retry_at: BTreeMap<Slice, Micros>,
    /// The number of the latest round of requests.
    last_round: u32,
    /// When the first request may be sent: voters that started at the same time as this gateway abstain until then, and the
    /// failure detector needs time to find the live members.
    first_request_at: Micros,
}

impl LeaseHolder {
    /// Creates a holder without leases.
    ///
    /// `voter_lists` are the lists in force: two while a new one replaces an old one. For `minimum_epoch` see
    /// [`Voter::new`].
    pub fn new(
        config: LeaseConfig,
        process: ProcessId,
        voter_lists: Vec<BTreeSet<Member>>,
        now: Micros,
        minimum_epoch: Epoch,
    ) -> LeaseHolder {
        let mut holder = LeaseHolder {
            config,
            process,
            voter_lists,
            voter: Voter::new(config, now, minimum_epoch),
            alive: BTreeSet::new(),
            preferred_holders: Vec::new(),
            leases: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            last_round: 0,
            first_request_at: now + config.promise_duration(),
        };
        holder.set_alive_members(BTreeSet::new());
        holder
    }

    /// Sets which members of the region are alive, besides this gateway.
    pub fn set_alive_members(&mut self, mut alive: BTreeSet<Member>) {
        let own = self.process.member;
        alive.insert(own);
        if alive != self.alive {
            let preferred = |slice| placement::preferred_member(slice, alive.iter().copied()).unwrap_or(own);
            self.preferred_holders = self.config.all_slices().map(preferred).collect();
            self.alive = alive;
        }
    }

    /// The member that should hold the lease on a slice, according to this gateway's view of the live members.
    pub fn preferred_holder(&self, slice: Slice) -> Member {
        self.preferred_holders.get(usize::from(slice.0)).copied().unwrap_or(self.process.member)
    }

    /// The members that this gateway considers alive, itself included.
    pub fn alive_members(&self) -> &BTreeSet<Member> {
        &self.alive
    }

    /// The epoch of this gateway's lease on a slice, if it holds one now.
    pub fn held_epoch(&self, now: Micros, slice: Slice) -> Option<Epoch> {
        let lease = self.leases.get(&slice)?;
        lease.expires_at.filter(|expires_at| now < *expires_at).map(|_| lease.epoch)
    }

    /// When the lease on a slice expires unless it is renewed; `None` if it has not been granted.
    pub fn lease_expiry(&self, slice: Slice) -> Option<Micros> {
        self.leases.get(&slice)?.expires_at
    }

    /// The slices whose leases this gateway holds now, with the epochs of the leases.
    pub fn held_leases(&self, now: Micros) -> impl Iterator<Item = (Slice, Epoch)> + '_ {
        let held = move |(slice, _): (&Slice, &Lease)| Some((*slice, self.held_epoch(now, *slice)?));
        self.leases.iter().filter_map(held)
    }

    /// The number of slices that placement assigns to this gateway and whose leases it doesn't hold.
    pub fn missing_lease_count(&self, now: Micros) -> usize {
        let missing = |slice: &Slice| {
            self.preferred_holder(*slice) == self.process.member && self.held_epoch(now, *slice).is_none()
        };
        self.config.all_slices().filter(missing).count()
    }

    /// The latest known epoch of a slice. An older epoch is that of a former lease holder.
    pub fn latest_epoch(&self, slice: Slice) -> Epoch {
        self.voter.latest_epoch(slice)
    }

    /// Records an epoch reported by another member.
    pub fn observe_epoch(&mut self, slice: Slice, epoch: Epoch) {
        self.voter.observe_epoch(slice, epoch);
    }

    /// The latest time for the next call of [`LeaseHolder::tick`]; `None` if nothing is scheduled.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        if now < self.first_request_at {
            return Some(self.first_request_at);
        }
        let due = |lease: &Lease| lease.due_at.min(lease.expires_at.unwrap_or(Micros::MAX));
        let leases = self.leases.values().map(due);
        let tracked = self.leases.keys().chain(self.retry_at.keys()).count();
        let assigned = self.preferred_holders.iter().filter(|member| **member == self.process.member).count();
        // Some assigned slice has not been requested yet.
        let unrequested = (assigned > tracked).then_some(now);
        leases.chain(self.retry_at.values().copied()).chain(unrequested).min()
    }

    /// Ends all activity: from now on this gateway neither requests nor grants leases.
    pub fn retire(&mut self) {
        self.leases.clear();
        self.first_request_at = Micros::MAX;
        self.voter_lists.clear();
    }

    /// The voters of the region, from all lists in force.
    pub fn voters(&self) -> BTreeSet<Member> {
        self.voter_lists.iter().flatten().copied().collect()
    }

    fn is_quorum(&self, granted: &BTreeSet<Member>) -> bool {
        let has_majority = |list: &BTreeSet<Member>| list.intersection(granted).count() * 2 > list.len();
        !self.voter_lists.is_empty() && self.voter_lists.iter().all(has_majority)
    }

    /// Performs all due work: drops, renews and requests leases. `jitter`, from 0 to 1, spreads the retries of gateways that
    /// compete for a slice.
    pub fn tick(&mut self, now: Micros, jitter: f64, outgoing: &mut Outgoing) -> Vec<LeaseChange> {
        let number = self.last_round.wrapping_add(1);
        let round = RequestRound { number, sent_at: now, granted: BTreeSet::new() };
        let mut due = DueMessages::default();
        let mut changes = self.drop_or_renew_leases(now, jitter, &round, &mut due);
        self.retry_at.retain(|_, retry_at| now < *retry_at);
        if now < self.first_request_at {
            return changes;
        }
        self.request_missing_leases(now, &round, &mut due);
        self.send_releases(due.released, outgoing);
        if !due.requested.is_empty() {
            self.last_round = round.number;
        }
        changes.extend(self.send_requests(now, round.number, due.requested, outgoing));
        changes
    }

    /// Drops leases that expired, moved or were not granted in time, and adds leases that are due for renewal to the round.
    fn drop_or_renew_leases(
        &mut self,
        now: Micros,
        jitter: f64,
        round: &RequestRound,
        due: &mut DueMessages,
    ) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        let heartbeat_interval = self.config.heartbeat_interval();
        let own = self.process.member;
        let preferred_holders = &self.preferred_holders;
        let retry_at = &mut self.retry_at;
        self.leases.retain(|slice, lease| {
            let lapsed = lease.expires_at.is_some_and(|expires_at| now >= expires_at);
            let moved = preferred_holders.get(usize::from(slice.0)).is_some_and(|member| *member != own);
            let not_granted = lease.expires_at.is_none() && now >= lease.due_at;
            if lapsed || moved || not_granted {
                let epoch = lease.epoch;
                due.released.entry(epoch).or_default().push(*slice);
                if lease.expires_at.is_some() {
                    let reason = if lapsed { LossReason::Lapsed } else { LossReason::Moved };
                    changes.push(LeaseChange::Lost { slice: *slice, epoch, reason });
                }
                // The random backoff keeps two gateways that request the same slice from colliding forever.
                let backoff = heartbeat_interval / 4 + (heartbeat_interval as f64 * jitter) as Micros;
                retry_at.insert(*slice, now + backoff);
                return false;
            }
            if now >= lease.due_at {
                lease.round = round.clone();
                lease.due_at = now + heartbeat_interval;
                due.requested.entry(lease.epoch).or_default().push(*slice);
            }
            true
        });
        changes
    }

    /// Requests the assigned slices that are neither held, nor requested, nor waiting for a retry.
    fn request_missing_leases(&mut self, now: Micros, round: &RequestRound, due: &mut DueMessages) {
        let due_at = now + self.config.heartbeat_interval();
        for slice in self.config.all_slices() {
            let is_pending = self.leases.contains_key(&slice) || self.retry_at.contains_key(&slice);
            if self.preferred_holder(slice) != self.process.member || is_pending {
                continue;
            }
            let epoch = self.voter.latest_epoch(slice).next();
            self.leases.insert(slice, Lease { epoch, expires_at: None, round: round.clone(), due_at });
            due.requested.entry(epoch).or_default().push(slice);
        }
    }

    fn send_releases(&mut self, released: BTreeMap<Epoch, Vec<Slice>>, outgoing: &mut Outgoing) {
        for (epoch, slices) in released {
            for slice in &slices {
                self.voter.release(self.process, *slice, epoch);
            }
            for chunk in slices.chunks(MAX_SLICES) {
                self.send_to_voters(&LeaseMessage::Released { epoch, slices: chunk.to_vec() }, outgoing);
            }
        }
    }

    /// Sends the requests of a round, and records this gateway's own vote if it is a voter.
    fn send_requests(
        &mut self,
        now: Micros,
        round: u32,
        requested: BTreeMap<Epoch, Vec<Slice>>,
        outgoing: &mut Outgoing,
    ) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        let is_voter = self.voters().contains(&self.process.member);
        for (epoch, slices) in requested {
            for chunk in slices.chunks(MAX_SLICES) {
                let request = LeaseMessage::Request { round, epoch, slices: chunk.to_vec() };
                self.send_to_voters(&request, outgoing);
            }
            for slice in slices.into_iter().filter(|_| is_voter) {
                if self.voter.vote(now, self.process, slice, epoch) == Vote::Granted {
                    changes.extend(self.record_vote(self.process.member, round, epoch, slice));
                }
            }
        }
        changes
    }

    fn send_to_voters(&self, message: &LeaseMessage, outgoing: &mut Outgoing) {
        let others = self.voters().into_iter().filter(|voter| *voter != self.process.member);
        outgoing.extend(others.map(|to| Envelope { to, message: message.clone() }));
    }

    /// Records a vote. Returns the transition if this vote completes the quorum for a new lease.
    fn record_vote(&mut self, voter: Member, round: u32, epoch: Epoch, slice: Slice) -> Option<LeaseChange> {
        let duration = self.config.lease_duration;
        let mut lease = self.leases.remove(&slice)?;
        let mut change = None;
        if lease.round.number == round && lease.epoch == epoch {
            lease.round.granted.insert(voter);
            if self.is_quorum(&lease.round.granted) {
                if lease.expires_at.is_none() {
                    lease.due_at = lease.round.sent_at + self.config.heartbeat_interval();
                    change = Some(LeaseChange::Gained { slice, epoch });
                }
                // Counted from the request, as the vote may have been delayed.
                lease.expires_at = Some(lease.round.sent_at + duration);
            }
        }
        self.leases.insert(slice, lease);
        change
    }

    /// Handles a message from another member of the region.
    pub fn receive(
        &mut self,
        now: Micros,
        from: ProcessId,
        message: &LeaseMessage,
        outgoing: &mut Outgoing,
    ) -> Vec<LeaseChange> {
        match message {
            LeaseMessage::Request { round, epoch, slices } => {
                self.answer_request(now, from, *round, *epoch, slices, outgoing);
            }
            LeaseMessage::Granted { to, round, epoch, slices } if *to == self.process.incarnation => {
                return self.record_votes(now, from.member, *round, *epoch, slices);
            }
            // Addressed to this member's previous process.
            LeaseMessage::Granted { .. } => {}
            LeaseMessage::Denied { known, .. } => {
                for known in known {
                    self.voter.observe_epoch(known.slice, known.epoch);
                }
            }
            LeaseMessage::Released { epoch, slices } => {
                for slice in slices {
                    self.voter.release(from, *slice, *epoch);
                }
            }
        }
        Vec::new()
    }

    /// Answers a request if this gateway is a voter.
    fn answer_request(
        &mut self,
        now: Micros,
        from: ProcessId,
        round: u32,
        epoch: Epoch,
        slices: &[Slice],
        outgoing: &mut Outgoing,
    ) {
        if !self.voters().contains(&self.process.member) {
            return;
        }
        let (mut granted, mut denied) = (Vec::new(), Vec::new());
        for slice in slices.iter().copied().take(MAX_SLICES) {
            match self.voter.vote(now, from, slice, epoch) {
                Vote::Granted => granted.push(slice),
                Vote::Denied(epoch) => denied.push(KnownEpoch { slice, epoch }),
                Vote::Abstained => {}
            }
        }
        let mut answer = |message| outgoing.push(Envelope { to: from.member, message });
        if !granted.is_empty() {
            answer(LeaseMessage::Granted { to: from.incarnation, round, epoch, slices: granted });
        }
        for chunk in denied.chunks(MAX_DENIALS) {
            answer(LeaseMessage::Denied { round, known: chunk.to_vec() });
        }
    }

    fn record_votes(
        &mut self,
        now: Micros,
        voter: Member,
        round: u32,
        epoch: Epoch,
        slices: &[Slice],
    ) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for slice in slices {
            changes.extend(self.record_vote(voter, round, epoch, *slice));
        }
        // A lease that expired before the quorum was complete does not count as gained.
        changes.retain(|change| match change {
            LeaseChange::Gained { slice, .. } => self.held_epoch(now, *slice).is_some(),
            LeaseChange::Lost { .. } => true,
        });
        changes
    }
}

#[cfg(test)]
mod tests;
