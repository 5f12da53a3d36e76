//! The failure detector: detects which members of the region are alive, with the SWIM protocol (`foca`). A wrong verdict may
//! leave a slice without a lease holder, but never gives it two.

use super::wire::MAX_GOSSIP_BYTES;
use foca::{AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sagearch_homes::{Incarnation, Member, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// The interval between probes; each probes one other member.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long a probed member may take to answer before other members probe it too.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a member that answered no probe is suspected before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a dead member is remembered, so that late gossip does not revive it.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(30);
/// The interval at which a member that knows no other member announces itself, in microseconds.
const ANNOUNCE_PERIOD: Micros = 1_000_000;
/// The number of members to which a member announces itself at a time.
const ANNOUNCE_TARGETS: usize = 3;

/// The identity of one incarnation of a member. A live member that was declared dead rejoins with the next `bump`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct MemberId {
    member: u16,
    incarnation: Incarnation,
    bump: u16,
}

impl Identity for MemberId {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(MemberId { bump: self.bump.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> u16 {
        self.member
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.incarnation, self.bump) > (adversary.incarnation, adversary.bump)
    }
}

/// A failure detector message to another member.
pub struct GossipMessage {
    /// The member that receives the message.
    pub to: Member,
    /// The message as encoded by `foca`, at most [`MAX_GOSSIP_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// The key of a scheduled timer. Timers that are due in the same microsecond fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: Micros,
    sequence: u64,
}

/// Detects which members of the region are alive. Performs no I/O: messages are passed in and returned.
pub struct FailureDetector {
    foca: Foca<MemberId, PostcardCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<MemberId>,
    timers: BTreeMap<TimerKey, Timer<MemberId>>,
    /// The number of timers set so far.
    timer_sequence: u64,
    /// The other members of the region.
    others: Vec<Member>,
    /// When this member announces itself next, if it knows no other member.
    next_announcement: Micros,
    /// The index in `others` of the member to which this one announced itself last.
    last_announced: usize,
}

impl FailureDetector {
    /// Creates the detector of the member `own_member` in the process `incarnation`; `others` are the region's other members.
    pub fn new(
        own_member: Member,
        incarnation: Incarnation,
        others: Vec<Member>,
        seed: u64,
        now: Micros,
    ) -> FailureDetector {
        let member_count = NonZeroU32::new(others.len() as u32 + 1).unwrap_or(NonZeroU32::MIN);
        let mut config = Config::new_lan(member_count);
        config.probe_period = PROBE_PERIOD;
        config.probe_rtt = PROBE_TIMEOUT;
        config.suspect_to_down_after = SUSPICION_TIMEOUT;
        config.remove_down_after = Some(DEAD_MEMBER_RETENTION);
        config.max_packet_size = NonZeroUsize::new(MAX_GOSSIP_BYTES).unwrap_or(NonZeroUsize::MIN);
        config.notify_down_members = true;
        let id = MemberId { member: own_member.0, incarnation, bump: 0 };
        let foca = Foca::new(id, config, SmallRng::seed_from_u64(seed), PostcardCodec);
        let last_announced = if others.is_empty() { 0 } else { seed as usize % others.len() };
        // Spreads the announcements of members that start at the same time.
        let next_announcement = now + seed % (ANNOUNCE_PERIOD / 4);
        FailureDetector {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            others,
            next_announcement,
            last_announced,
        }
    }

    /// Returns the other members that are alive.
    pub fn members(&self) -> BTreeSet<Member> {
        let is_listed = |member: &Member| self.others.contains(member);
        self.foca.iter_members().map(|member| Member(member.id().member)).filter(is_listed).collect()
    }

    /// Returns when [`FailureDetector::tick`] must be called next, or `None` if nothing is scheduled.
    pub fn next_deadline(&self) -> Option<Micros> {
        let timer = self.timers.keys().next().map(|key| key.at);
        let announcement = self.has_to_announce().then_some(self.next_announcement);
        timer.into_iter().chain(announcement).min()
    }

    /// Whether this member knows no other member although the region has others.
    fn has_to_announce(&self) -> bool {
        !self.others.is_empty() && self.foca.num_members() == 0
    }

    /// Moves pending messages and timers out of the `foca` runtime.
    fn drain_runtime(&mut self, now: Micros, outgoing: &mut Vec<GossipMessage>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            outgoing.push(GossipMessage { to: Member(to.member), bytes: bytes.to_vec() });
        }
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            self.timer_sequence += 1;
            let at = now + delay.as_micros() as Micros;
            self.timers.insert(TimerKey { at, sequence: self.timer_sequence }, timer);
        }
        while self.runtime.to_notify().is_some() {}
    }

    /// Processes a message from another member.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], outgoing: &mut Vec<GossipMessage>) {
        if let Err(error) = self.foca.handle_data(bytes, &mut self.runtime) {
            log::debug!("failure detector rejected a message: {error}");
        }
        self.drain_runtime(now, outgoing);
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, now: Micros, outgoing: &mut Vec<GossipMessage>) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().at <= now) {
            if let Err(error) = self.foca.handle_timer(entry.remove(), &mut self.runtime) {
                log::debug!("failure detector timer failed: {error}");
            }
            self.drain_runtime(now, outgoing);
        }
        if self.has_to_announce() && now >= self.next_announcement {
            self.next_announcement = now + ANNOUNCE_PERIOD;
            for _ in 0..ANNOUNCE_TARGETS.min(self.others.len()) {
                self.last_announced = (self.last_announced + 1) % self.others.len();
                let id = MemberId {
                    member: self.others[self.last_announced].0,
                    incarnation: Incarnation::default(),
                    bump: 0,
                };
                let _ = self.foca.announce(id, &mut self.runtime);
            }
            self.drain_runtime(now, outgoing);
        }
    }

    /// Announces to the other members that this one leaves.
    pub fn leave(&mut self, now: Micros, outgoing: &mut Vec<GossipMessage>) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now, outgoing);
    }
}

#[cfg(test)]
mod tests;
