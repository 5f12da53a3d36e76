//! Simulation of a fleet with several regions in virtual time: leases, claims and fences under message loss, delay and
//! duplication, network partitions, suspended processes and restarts.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use sagearch_homes::lease_holder::LeaseHolder;
use sagearch_homes::message::{Claims, Envelope, LeaseMessage, Outgoing, ProcessId};
use sagearch_homes::region_claims::{ClaimChange, ReceivedClaims};
use sagearch_homes::{
    Claim, Epoch, Incarnation, LeaseConfig, Member, Region, RegionClaims, Slice, placement,
};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const MILLISECOND_MICROS: u64 = 1_000;
const SECOND_MICROS: u64 = 1_000 * MILLISECOND_MICROS;

enum Body {
    Lease(ProcessId, LeaseMessage),
    Claims(Region, Claims),
}

struct Gateway {
    incarnation: Incarnation,
    holder: LeaseHolder,
    region_claims: RegionClaims,
    suspended_until: u64,
    /// The rate of the clock, in thousandths of true time.
    clock_rate_per_mille: u64,
    next_tick_at: u64,
}

/// A simulated fleet. Its failure detector knows network partitions within a region at once, but not suspended processes:
/// such an error may leave slices without a lease holder.
struct Fleet {
    config: LeaseConfig,
    region_count: usize,
    members_per_region: usize,
    gateways: Vec<Gateway>,
    /// Delivery times and numbers of the messages in flight.
    deliveries: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, (usize, Body)>,
    messages_sent: u64,
    random: Pcg64Mcg,
    /// The probability that a message is lost, and that it is duplicated.
    loss_rate: f64,
    max_delay: u64,
    /// Pairs of regions that can't reach each other.
    partitioned_regions: BTreeSet<(usize, usize)>,
    /// The region whose two halves can't reach each other.
    halved_region: Option<usize>,
    fenced_claims: usize,
    split_brains: usize,
}

impl Fleet {
    fn new(
        config: LeaseConfig,
        region_count: usize,
        members_per_region: usize,
        voters_per_region: usize,
        seed: u64,
    ) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let regions: Vec<Region> = (0..region_count).map(|region| Region(region as u8)).collect();
        let gateways = (0..region_count * members_per_region)
            .map(|index| {
                let clock_rate_per_mille = [990, 1_000, 1_010][random.random_range(0..3)];
                let voters = (0..voters_per_region)
                    .map(|voter| Member((index / members_per_region * members_per_region + voter) as u16))
                    .collect();
                let process = ProcessId { member: Member(index as u16), incarnation: Incarnation(1) };
                Gateway {
                    incarnation: Incarnation(1),
                    holder: LeaseHolder::new(config, process, vec![voters], 0, Epoch(0)),
                    region_claims: RegionClaims::new(
                        regions[index / members_per_region],
                        regions.clone(),
                        config.slices,
                        config.lease_duration,
                        Incarnation(1),
                    ),
                    suspended_until: 0,
                    clock_rate_per_mille,
                    next_tick_at: 0,
                }
            })
            .collect();
        let (deliveries, bodies, partitioned_regions) = (BinaryHeap::new(), BTreeMap::new(), BTreeSet::new());
        let mut fleet = Fleet {
            config,
            region_count,
            members_per_region,
            gateways,
            deliveries,
            bodies,
            messages_sent: 0,
            random,
            loss_rate: 0.0,
            max_delay: 20 * MILLISECOND_MICROS,
            partitioned_regions,
            halved_region: None,
            fenced_claims: 0,
            split_brains: 0,
        };
        (0..region_count).for_each(|region| fleet.update_alive_members(region));
        fleet
    }

    fn region(&self, gateway: usize) -> usize {
        gateway / self.members_per_region
    }

    fn members(&self, region: usize) -> std::ops::Range<usize> {
        region * self.members_per_region..(region + 1) * self.members_per_region
    }

    fn clock(&self, now: u64, gateway: usize) -> u64 {
        now * self.gateways[gateway].clock_rate_per_mille / 1_000
    }

    fn is_in_first_half(&self, gateway: usize) -> bool {
        gateway % self.members_per_region * 2 < self.members_per_region
    }

    /// Reports the live members of a region to each of them: those that are not partitioned from it.
    fn update_alive_members(&mut self, region: usize) {
        let members: BTreeSet<Member> = self.members(region).map(|index| Member(index as u16)).collect();
        for index in self.members(region) {
            let is_reachable = |member: &Member| {
                self.halved_region != Some(region)
                    || self.is_in_first_half(usize::from(member.0)) == self.is_in_first_half(index)
            };
            let alive = members.iter().copied().filter(is_reachable).collect();
            self.gateways[index].holder.set_alive_members(alive);
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, body: impl Fn() -> Body) {
        let (source, target) = (self.region(from), self.region(to));
        let is_partitioned = self.partitioned_regions.contains(&(source.min(target), source.max(target)))
            || (source == target
                && self.halved_region == Some(source)
                && self.is_in_first_half(from) != self.is_in_first_half(to));
        let copies = 1 + usize::from(self.random.random_bool(self.loss_rate));
        for _ in 0..copies {
            if is_partitioned || self.random.random_bool(self.loss_rate) {
                continue;
            }
            let delay = self.random.random_range(MILLISECOND_MICROS..=self.max_delay);
            self.messages_sent += 1;
            self.deliveries.push(std::cmp::Reverse((now + delay, self.messages_sent)));
            self.bodies.insert(self.messages_sent, (to, body()));
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(std::cmp::Reverse((delivery_time, number))) =
            self.deliveries.peek().copied().filter(|delivery| delivery.0.0 <= now)
        {
            self.deliveries.pop();
            let Some((to, body)) = self.bodies.remove(&number) else { continue };
            let _ = delivery_time;
            if now < self.gateways[to].suspended_until {
                // The message waits in the socket until the process resumes.
                self.messages_sent += 1;
                self.deliveries
                    .push(std::cmp::Reverse((self.gateways[to].suspended_until, self.messages_sent)));
                self.bodies.insert(self.messages_sent, (to, body));
                continue;
            }
            let clock = self.clock(now, to);
            match body {
                Body::Lease(from, message) => {
                    let mut outgoing = Outgoing::new();
                    self.gateways[to].holder.receive(clock, from, &message, &mut outgoing);
                    self.send_lease_messages(now, to, outgoing);
                }
                Body::Claims(region, claims) => {
                    let ReceivedClaims { answer, changes } =
                        self.gateways[to].region_claims.receive(clock, region, &claims);
                    self.count_changes(&changes);
                    if let Some(answer) = answer {
                        self.send_claims(now, to, &[answer], Some(usize::from(region.0)));
                    }
                }
            }
        }
    }

    fn count_changes(&mut self, changes: &[ClaimChange]) {
        self.fenced_claims +=
            changes.iter().filter(|change| matches!(change, ClaimChange::Fenced { .. })).count();
        self.split_brains +=
            changes.iter().filter(|change| matches!(change, ClaimChange::SplitBrain { .. })).count();
    }

    fn send_lease_messages(&mut self, now: u64, from: usize, outgoing: Outgoing) {
        let sender = ProcessId { member: Member(from as u16), incarnation: self.gateways[from].incarnation };
        for Envelope { to, message } in outgoing {
            self.send(now, from, usize::from(to.0), || Body::Lease(sender, message.clone()));
        }
    }

    /// Sends claims to the preferred holder of each slice in the other regions, or in `only_region`. In a real fleet any
    /// member may receive them first, and forwards them to the lease holder.
    fn send_claims(&mut self, now: u64, from: usize, claims: &[Claims], only_region: Option<usize>) {
        let own = self.region(from);
        for region in (0..self.region_count)
            .filter(|region| *region != own && only_region.is_none_or(|only| only == *region))
        {
            for status in claims.iter().flat_map(|claims| &claims.0) {
                let members = self.members(region).map(|index| Member(index as u16));
                let Some(holder) = placement::preferred_member(status.slice, members) else { continue };
                let message = Claims(vec![*status]);
                self.send(now, from, usize::from(holder.0), || {
                    Body::Claims(Region(own as u8), message.clone())
                });
            }
        }
    }

    fn tick(&mut self, now: u64) {
        for index in 0..self.gateways.len() {
            if now < self.gateways[index].suspended_until || now < self.gateways[index].next_tick_at {
                continue;
            }
            let (clock, jitter) = (self.clock(now, index), self.random.random::<f64>());
            let gateway = &mut self.gateways[index];
            let mut outgoing = Outgoing::new();
            gateway.holder.tick(clock, jitter, &mut outgoing);
            let held: BTreeMap<Slice, Epoch> = gateway.holder.held_leases(clock).collect();
            let tick = gateway.region_claims.tick(clock, &held);
            // The gateway ticks at each deadline; the simulation ticks ten times during a lease.
            gateway.next_tick_at = now + self.config.lease_duration / 10;
            self.count_changes(&tick.changes);
            self.send_lease_messages(now, index, outgoing);
            self.send_claims(now, index, &tick.broadcast, None);
        }
    }

    fn restart(&mut self, now: u64, index: usize) {
        let (region, members_per_region) = (self.region(index), self.members_per_region);
        let clock = self.clock(now, index);
        let incarnation = Incarnation(self.gateways[index].incarnation.0 + 1);
        let process = ProcessId { member: Member(index as u16), incarnation };
        let regions: Vec<Region> = (0..self.region_count).map(|region| Region(region as u8)).collect();
        let voters = self.gateways[index].holder.voters();
        let gateway = &mut self.gateways[index];
        gateway.incarnation = incarnation;
        gateway.holder = LeaseHolder::new(self.config, process, vec![voters], clock, Epoch(now));
        gateway.region_claims = RegionClaims::new(
            regions[index / members_per_region],
            regions.clone(),
            self.config.slices,
            self.config.lease_duration,
            incarnation,
        );
        gateway.next_tick_at = 0;
        self.update_alive_members(region);
    }

    /// The current lease holders of each slice of a region. A suspended process keeps its leases until they expire.
    fn lease_holders(&self, now: u64, region: usize) -> BTreeMap<Slice, Vec<(usize, Epoch)>> {
        let mut holders: BTreeMap<Slice, Vec<(usize, Epoch)>> = BTreeMap::new();
        for index in self.members(region) {
            for (slice, epoch) in self.gateways[index].holder.held_leases(self.clock(now, index)) {
                holders.entry(slice).or_default().push((index, epoch));
            }
        }
        holders
    }

    fn claimants(&self, now: u64, slice: Slice) -> Vec<(usize, Claim)> {
        let active_claim = |index: usize| {
            let clock = self.clock(now, index);
            let gateway = &self.gateways[index];
            Some((
                index,
                gateway.region_claims.active_claim(clock, slice, gateway.holder.held_epoch(clock, slice))?,
            ))
        };
        (0..self.gateways.len()).filter_map(active_claim).collect()
    }

    /// Asserts that no slice has two lease holders in one region.
    fn assert_single_lease_holders(&self, now: u64, seed: u64) {
        for region in 0..self.region_count {
            for (slice, holders) in self.lease_holders(now, region) {
                assert!(
                    holders.len() < 2,
                    "seed {seed}, {} ms: {slice:?} has lease holders {holders:?}",
                    now / MILLISECOND_MICROS
                );
            }
        }
    }

    fn run(
        &mut self,
        start: u64,
        end: u64,
        step: u64,
        seed: u64,
        mut inject_faults: impl FnMut(&mut Fleet, u64),
    ) {
        for now in (start..end).step_by(step as usize) {
            self.deliver(now);
            self.tick(now);
            inject_faults(self, now);
            self.assert_single_lease_holders(now, seed);
        }
    }

    /// Whether every slice of every region has a lease holder.
    fn all_slices_are_leased(&self, now: u64) -> bool {
        (0..self.region_count)
            .all(|region| self.lease_holders(now, region).len() == usize::from(self.config.slices))
    }
}

const CONFIG: LeaseConfig =
    LeaseConfig { slices: 16, lease_duration: 3 * SECOND_MICROS, drift_per_mille: 10 };

/// Injects random faults for a minute, then none. Leases must recover within eight seconds and three promise durations, and
/// claims within ten more lease durations, as slices claimed during a partition are released to their preferred regions.
#[rstest]
#[case::two_regions_of_three_members(2, 3, 3, 300)]
#[case::three_regions_of_five_members(3, 5, 4, 150)]
fn slices_under_faults_never_have_two_holders_and_recover_afterwards(
    #[case] region_count: usize,
    #[case] members_per_region: usize,
    #[case] voters_per_region: usize,
    #[case] seeds: u64,
) {
    let (mut fenced_claims, mut split_brains) = (0, 0);
    for seed in 0..seeds {
        let mut fleet = Fleet::new(CONFIG, region_count, members_per_region, voters_per_region, seed);
        fleet.loss_rate = if seed % 2 == 0 { 0.15 } else { 0.0 };
        fleet.max_delay = if seed % 3 == 0 { 1_500 * MILLISECOND_MICROS } else { 50 * MILLISECOND_MICROS };
        fleet.run(0, 60 * SECOND_MICROS, 20 * MILLISECOND_MICROS, seed, |fleet, now| {
            match fleet.random.random_range(0..300) {
                0 => {
                    let index = fleet.random.random_range(0..fleet.gateways.len());
                    fleet.restart(now, index);
                }
                1 => {
                    let index = fleet.random.random_range(0..fleet.gateways.len());
                    fleet.gateways[index].suspended_until =
                        now + fleet.random.random_range(SECOND_MICROS..8 * SECOND_MICROS);
                }
                2 => {
                    let other = fleet.random.random_range(1..fleet.region_count);
                    if !fleet.partitioned_regions.remove(&(0, other)) {
                        fleet.partitioned_regions.insert((0, other));
                    }
                }
                3 => {
                    let region = fleet.random.random_range(0..fleet.region_count);
                    let already_halved =
                        fleet.halved_region.replace(region).filter(|previous| *previous == region);
                    if already_halved.is_some() {
                        fleet.halved_region = None;
                    }
                    (0..fleet.region_count).for_each(|region| fleet.update_alive_members(region));
                }
                _ => {}
            }
        });
        (fleet.loss_rate, fleet.max_delay, fleet.halved_region) = (0.0, 20 * MILLISECOND_MICROS, None);
        fleet.partitioned_regions.clear();
        (0..region_count).for_each(|region| fleet.update_alive_members(region));
        let faults_end = 60 * SECOND_MICROS;
        let leases_deadline = faults_end + 8 * SECOND_MICROS + 3 * CONFIG.promise_duration();
        fleet.run(faults_end, leases_deadline, 20 * MILLISECOND_MICROS, seed, |_, _| {});
        assert!(fleet.all_slices_are_leased(leases_deadline), "seed {seed}: some slices are not leased");
        let claims_deadline = leases_deadline + 10 * CONFIG.lease_duration;
        fleet.run(leases_deadline, claims_deadline, 20 * MILLISECOND_MICROS, seed, |_, _| {});
        for slice in CONFIG.all_slices() {
            let claimants = fleet.claimants(claims_deadline, slice);
            assert_eq!(claimants.len(), 1, "seed {seed}: {slice:?} has claimants {claimants:?}");
        }
        fenced_claims += fleet.fenced_claims;
        split_brains += fleet.split_brains;
    }
    // Otherwise the test would not exercise conflicting claims.
    assert!(
        fenced_claims > 0 && split_brains > 0,
        "{fenced_claims} fenced claims, {split_brains} split brains"
    );
}

/// Ten regions of 100 gateways, with five voters each, start at the same time. Later, members restart or are suspended and
/// one region is partitioned from the others.
#[test]
fn thousand_gateways_starting_at_once_lease_all_slices_in_time() {
    let config = LeaseConfig { slices: 256, ..CONFIG };
    let mut fleet = Fleet::new(config, 10, 100, 5, 1);
    let start_deadline = 2 * config.promise_duration();
    fleet.run(0, start_deadline, 100 * MILLISECOND_MICROS, 1, |_, _| {});
    assert!(fleet.all_slices_are_leased(start_deadline));
    // Bounds the traffic at start: requests and votes for about three slices per gateway, with five voters, each heartbeat,
    // and claims to nine regions.
    let datagrams_per_second = fleet.messages_sent as f64 / 1_000.0 / (start_deadline / SECOND_MICROS) as f64;
    assert!(datagrams_per_second < 40.0, "{datagrams_per_second} datagrams per second and gateway");
    (0..100).for_each(|index| fleet.restart(start_deadline, index * 10 + 7));
    let restart_deadline = start_deadline + 3 * config.promise_duration();
    fleet.run(start_deadline, restart_deadline, 100 * MILLISECOND_MICROS, 1, |_, _| {});
    assert!(fleet.all_slices_are_leased(restart_deadline));
    // Two minutes of restarts, suspended processes and partitions of one region.
    let end = restart_deadline + 120 * SECOND_MICROS;
    fleet.run(restart_deadline, end, 100 * MILLISECOND_MICROS, 1, |fleet, now| {
        let index = fleet.random.random_range(0..1_000);
        match fleet.random.random_range(0..20) {
            0 => fleet.restart(now, index),
            1 => fleet.gateways[index].suspended_until = now + 5 * SECOND_MICROS,
            2 => drop((1..10).map(|other| fleet.partitioned_regions.insert((0, other))).collect::<Vec<_>>()),
            3 => fleet.partitioned_regions.clear(),
            _ => {}
        }
    });
    println!("{datagrams_per_second:.1} datagrams per second and gateway");
}
