//! Model checking of small fleets with `stateright`, by exhaustive exploration of all orders of events. Messages are lost,
//! duplicated, delayed and reordered: a sent message stays in the network and may be delivered any number of times, or
//! never. Processes are suspended (a step may never be taken), and lose all state when they crash.

use sagearch_homes::lease_holder::LeaseHolder;
use sagearch_homes::message::{Claims, Envelope, LeaseMessage, Outgoing, ProcessId};
use sagearch_homes::{
    Claim, Epoch, Incarnation, LeaseConfig, Member, Region, RegionClaims, Slice, placement,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const SLICE: Slice = Slice(0);
const CONFIG: LeaseConfig = LeaseConfig { slices: 1, lease_duration: 2_000, drift_per_mille: 100 };
const LEASE_HELD: &str = "one member holds the lease";
const NO_KNOWN_LOSER_IS_ACTIVE: &str = "no claimant that knows a higher claim has an active claim";
const NO_FENCED_OR_LOWER_CLAIM: &str = "no claimant acts under a fenced claim or returns to a lower one";
/// The true time that passes with each tick.
const TICK_MICROS: u64 = 1_000;

/// A region of three members with one slice. Two of the members request its lease.
#[derive(Clone)]
struct LeaseModel {
    /// The rate of each member's clock, in thousandths of true time.
    clock_rates_per_mille: [u64; 3],
    max_ticks: u64,
    max_crashes: u8,
    max_membership_updates: u8,
    /// How many different messages may be in the network at the same time. Further ones are lost.
    max_messages: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseState {
    tick: u64,
    members: Vec<(ProcessId, LeaseHolder)>,
    network: BTreeSet<(ProcessId, Member, LeaseMessage)>,
    remaining_crashes: u8,
    remaining_membership_updates: u8,
    /// The process that held the lease of each epoch: no epoch may have two.
    holder_of_epoch: BTreeMap<Epoch, ProcessId>,
    epoch_reused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LeaseAction {
    Tick,
    Step(usize),
    Deliver(ProcessId, Member, LeaseMessage),
    Crash(usize),
    /// A member learns that all members are alive, and that the slice belongs to another one.
    UpdateMembership(usize),
}

impl LeaseModel {
    fn clock(&self, state: &LeaseState, member: usize) -> u64 {
        1_000_000 + state.tick * TICK_MICROS * self.clock_rates_per_mille[member] / 1_000
    }

    fn lease_holders(&self, state: &LeaseState) -> usize {
        let is_holder =
            |member: &usize| state.members[*member].1.held_epoch(self.clock(state, *member), SLICE).is_some();
        (0..3).filter(is_holder).count()
    }

    fn start_process(process: ProcessId, now: u64) -> LeaseHolder {
        let voters = (0..3).map(Member).collect();
        // The minimum epoch is the Unix time: it increases even if all members lose their state.
        let mut holder = LeaseHolder::new(CONFIG, process, vec![voters], now, Epoch(now));
        if process.member == Member(2) {
            holder.set_alive_members((0..2).map(Member).collect());
        }
        holder
    }

    fn record_lease(&self, state: &mut LeaseState, member: usize) {
        let now = self.clock(state, member);
        let (process, holder) = &state.members[member];
        if let Some(epoch) = holder.held_epoch(now, SLICE) {
            let process = *process;
            state.epoch_reused |= *state.holder_of_epoch.entry(epoch).or_insert(process) != process;
        }
    }

    fn send(&self, state: &mut LeaseState, member: usize, outgoing: Outgoing) {
        let from = state.members[member].0;
        for Envelope { to, message } in outgoing {
            if state.network.len() < self.max_messages {
                state.network.insert((from, to, message));
            }
        }
    }
}

impl Model for LeaseModel {
    type State = LeaseState;
    type Action = LeaseAction;

    fn init_states(&self) -> Vec<LeaseState> {
        let member = |member| {
            let process = ProcessId { member: Member(member), incarnation: Incarnation(1) };
            // Started so long ago that its voter no longer abstains.
            (process, LeaseModel::start_process(process, 1_000_000 - CONFIG.promise_duration()))
        };
        let members = (0..3).map(member).collect();
        let (network, holder_of_epoch) = (BTreeSet::new(), BTreeMap::new());
        let (remaining_crashes, remaining_membership_updates) =
            (self.max_crashes, self.max_membership_updates);
        vec![LeaseState {
            tick: 0,
            members,
            network,
            remaining_crashes,
            remaining_membership_updates,
            holder_of_epoch,
            epoch_reused: false,
        }]
    }

    fn actions(&self, state: &LeaseState, actions: &mut Vec<LeaseAction>) {
        if state.tick < self.max_ticks {
            actions.push(LeaseAction::Tick);
        }
        actions.extend((0..2).map(LeaseAction::Step));
        actions.extend(
            state.network.iter().map(|(from, to, message)| LeaseAction::Deliver(*from, *to, message.clone())),
        );
        if state.remaining_crashes > 0 {
            actions.extend((0..3).map(LeaseAction::Crash));
        }
        if state.remaining_membership_updates > 0 {
            actions.extend((0..2).map(LeaseAction::UpdateMembership));
        }
    }

    fn next_state(&self, last: &LeaseState, action: LeaseAction) -> Option<LeaseState> {
        let mut state = last.clone();
        let mut outgoing = Outgoing::new();
        match action {
            LeaseAction::Tick => state.tick += 1,
            LeaseAction::Step(member) => {
                let now = self.clock(&state, member);
                if state.members[member].1.next_deadline(now).is_some_and(|deadline| now < deadline) {
                    return None;
                }
                state.members[member].1.tick(now, 0.0, &mut outgoing);
                self.send(&mut state, member, outgoing);
                self.record_lease(&mut state, member);
            }
            LeaseAction::Deliver(from, to, message) => {
                let member = usize::from(to.0);
                let now = self.clock(&state, member);
                state.members[member].1.receive(now, from, &message, &mut outgoing);
                self.send(&mut state, member, outgoing);
                self.record_lease(&mut state, member);
            }
            LeaseAction::Crash(member) => {
                let now = self.clock(&state, member);
                let previous = state.members[member].0;
                let process = ProcessId { incarnation: Incarnation(previous.incarnation.0 + 1), ..previous };
                state.members[member] = (process, LeaseModel::start_process(process, now));
                state.remaining_crashes -= 1;
            }
            LeaseAction::UpdateMembership(member) => {
                let preferred = placement::preferred_member(SLICE, (0..3).map(Member))?;
                if usize::from(preferred.0) == member {
                    return None;
                }
                state.members[member].1.set_alive_members((0..3).map(Member).collect());
                state.remaining_membership_updates -= 1;
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two members hold the lease at the same time",
                |model: &LeaseModel, state| model.lease_holders(state) < 2,
            ),
            Property::always("no two processes hold a lease of the same epoch", |_, state: &LeaseState| {
                !state.epoch_reused
            }),
            Property::sometimes(LEASE_HELD, |model: &LeaseModel, state| model.lease_holders(state) == 1),
            Property::sometimes("the lease is granted again under another epoch", |_, state: &LeaseState| {
                state.holder_of_epoch.len() > 1
            }),
        ]
    }
}

fn check_all_properties(model: LeaseModel) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states, {} different", checker.state_count(), checker.unique_state_count());
}

const NO_DRIFT_PER_MILLE: [u64; 3] = [1_000; 3];
/// The clock of the first member, which requests the lease, is as slow as the drift permits; the other voters' clocks are
/// as fast.
const LARGEST_DRIFT_PER_MILLE: [u64; 3] = [909, 1_100, 1_100];

#[test]
fn lease_under_lost_and_reordered_messages_has_at_most_one_holder() {
    check_all_properties(LeaseModel {
        clock_rates_per_mille: NO_DRIFT_PER_MILLE,
        max_ticks: 3,
        max_crashes: 0,
        max_membership_updates: 0,
        max_messages: 7,
    });
}

#[test]
fn lease_under_the_largest_drift_has_at_most_one_holder() {
    check_all_properties(LeaseModel {
        clock_rates_per_mille: LARGEST_DRIFT_PER_MILLE,
        max_ticks: 4,
        max_crashes: 0,
        max_membership_updates: 0,
        max_messages: 6,
    });
}

#[test]
fn lease_after_a_crash_has_at_most_one_holder() {
    // This model is too small for a second lease holder after the first one; the larger model covers it.
    let model = LeaseModel {
        clock_rates_per_mille: NO_DRIFT_PER_MILLE,
        max_ticks: 4,
        max_crashes: 1,
        max_membership_updates: 0,
        max_messages: 5,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    let discoveries: Vec<_> = checker.discoveries().into_keys().collect();
    assert_eq!(discoveries, [LEASE_HELD], "an invariant was violated, or no state had a lease holder");
    println!("{} states, {} different", checker.state_count(), checker.unique_state_count());
}

#[test]
fn lease_after_a_release_has_at_most_one_holder() {
    check_all_properties(LeaseModel {
        clock_rates_per_mille: NO_DRIFT_PER_MILLE,
        max_ticks: 3,
        max_crashes: 0,
        max_membership_updates: 1,
        max_messages: 7,
    });
}

/// Takes minutes and gigabytes of memory. Run with
/// `cargo test --release -p sagearch-homes --test model -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn lease_in_larger_models_has_at_most_one_holder() {
    check_all_properties(LeaseModel {
        clock_rates_per_mille: NO_DRIFT_PER_MILLE,
        max_ticks: 4,
        max_crashes: 0,
        max_membership_updates: 0,
        max_messages: 9,
    });
    check_all_properties(LeaseModel {
        clock_rates_per_mille: LARGEST_DRIFT_PER_MILLE,
        max_ticks: 4,
        max_crashes: 0,
        max_membership_updates: 0,
        max_messages: 9,
    });
    check_all_properties(LeaseModel {
        clock_rates_per_mille: NO_DRIFT_PER_MILLE,
        max_ticks: 4,
        max_crashes: 1,
        max_membership_updates: 0,
        max_messages: 6,
    });
    check_all_properties(LeaseModel {
        clock_rates_per_mille: NO_DRIFT_PER_MILLE,
        max_ticks: 3,
        max_crashes: 0,
        max_membership_updates: 1,
        max_messages: 7,
    });
}

#[test]
#[ignore = "takes minutes"]
fn losing_claim_in_a_longer_run_is_fenced() {
    check_claims(9);
}

/// Two regions, each with a lease holder that claims the same slice.
#[derive(Clone)]
struct ClaimModel {
    max_ticks: u64,
    max_crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClaimState {
    tick: u64,
    claimants: Vec<(Epoch, RegionClaims)>,
    network: BTreeSet<(usize, Claims)>,
    remaining_crashes: u8,
    /// The latest active claim of each claimant.
    last_active: Vec<Option<Claim>>,
    /// Whether some claimant had an active claim that it had fenced, or returned to a lower claim.
    violated: bool,
}

impl ClaimState {
    fn active_claim(&self, claimant: usize) -> Option<Claim> {
        let (epoch, region_claims) = &self.claimants[claimant];
        region_claims.active_claim(1_000_000 + self.tick * TICK_MICROS, SLICE, Some(*epoch))
    }

    fn both_active(&self) -> Option<(Claim, Claim)> {
        Some((self.active_claim(0)?, self.active_claim(1)?))
    }

    /// Whether both claims are active although one of the claimants has received the higher one.
    fn has_known_loser(&self) -> bool {
        let Some((first, second)) = self.both_active() else { return false };
        let fences = |claimant: usize| self.claimants[claimant].1.fences();
        fences(0).is_fenced(SLICE, &first)
            || fences(1).is_fenced(SLICE, &second)
            || fences(0).get(SLICE).map(|highest| highest.claim)
                == fences(1).get(SLICE).map(|highest| highest.claim)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClaimAction {
    Tick,
    Step(usize),
    Deliver(usize, Claims),
    Crash(usize),
}

const CLAIM_LEASE_MICROS: u64 = 3_000;

impl ClaimModel {
    fn new_claimant(region: usize, incarnation: u64) -> RegionClaims {
        RegionClaims::new(
            Region(region as u8),
            vec![Region(0), Region(1)],
            1,
            CLAIM_LEASE_MICROS,
            Incarnation(incarnation),
        )
    }

    fn record_active_claim(state: &mut ClaimState, claimant: usize) {
        let now = 1_000_000 + state.tick * TICK_MICROS;
        let (epoch, region_claims) = &state.claimants[claimant];
        let Some(claim) = region_claims.active_claim(now, SLICE, Some(*epoch)) else { return };
        let regions = [Region(0), Region(1)];
        let is_lower_than =
            |last: &Claim| sagearch_homes::claim::compare(SLICE, &claim, last, &regions).is_lt();
        state.violated |= state.last_active[claimant].as_ref().is_some_and(is_lower_than)
            || region_claims.fences().is_fenced(SLICE, &claim);
        state.last_active[claimant] = Some(claim);
    }
}

impl Model for ClaimModel {
    type State = ClaimState;
    type Action = ClaimAction;

    fn init_states(&self) -> Vec<ClaimState> {
        let claimants = (0..2).map(|region| (Epoch(1), ClaimModel::new_claimant(region, 1))).collect();
        let network = BTreeSet::new();
        vec![ClaimState {
            tick: 0,
            claimants,
            network,
            remaining_crashes: self.max_crashes,
            last_active: vec![None; 2],
            violated: false,
        }]
    }

    fn actions(&self, state: &ClaimState, actions: &mut Vec<ClaimAction>) {
        if state.tick < self.max_ticks {
            actions.push(ClaimAction::Tick);
        }
        actions.extend((0..2).map(ClaimAction::Step));
        actions
            .extend(state.network.iter().map(|(from, claims)| ClaimAction::Deliver(*from, claims.clone())));
        if state.remaining_crashes > 0 {
            actions.extend((0..2).map(ClaimAction::Crash));
        }
    }

    fn next_state(&self, last: &ClaimState, action: ClaimAction) -> Option<ClaimState> {
        let mut state = last.clone();
        let now = 1_000_000 + state.tick * TICK_MICROS;
        match action {
            ClaimAction::Tick => state.tick += 1,
            ClaimAction::Step(claimant) => {
                let (epoch, region_claims) = &mut state.claimants[claimant];
                let tick = region_claims.tick(now, &BTreeMap::from([(SLICE, *epoch)]));
                state.network.extend(tick.broadcast.into_iter().map(|claims| (claimant, claims)));
                ClaimModel::record_active_claim(&mut state, claimant);
            }
            ClaimAction::Deliver(from, claims) => {
                let to = 1 - from;
                let received = state.claimants[to].1.receive(now, Region(from as u8), &claims);
                state.network.extend(received.answer.map(|claims| (to, claims)));
                ClaimModel::record_active_claim(&mut state, to);
            }
            ClaimAction::Crash(claimant) => {
                // The region's next lease holder has a later epoch and knows no claims.
                let epoch = state.claimants[claimant].0.next();
                state.claimants[claimant] = (epoch, ClaimModel::new_claimant(claimant, epoch.0));
                state.last_active[claimant] = None;
                state.remaining_crashes -= 1;
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_KNOWN_LOSER_IS_ACTIVE, |_, state: &ClaimState| !state.has_known_loser()),
            Property::always(NO_FENCED_OR_LOWER_CLAIM, |_, state: &ClaimState| !state.violated),
            Property::sometimes(
                "two partitioned regions both have an active claim",
                |_, state: &ClaimState| state.both_active().is_some(),
            ),
            Property::sometimes("one of two claims is fenced", |_, state: &ClaimState| {
                let is_active = |claimant: usize| state.active_claim(claimant).is_some();
                state.last_active.iter().all(Option::is_some) && is_active(0) != is_active(1)
            }),
        ]
    }
}

fn check_claims(max_ticks: u64) {
    let checker = ClaimModel { max_ticks, max_crashes: 0 }.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states, {} different", checker.state_count(), checker.unique_state_count());
}

#[test]
fn losing_claim_in_every_order_of_events_is_fenced() {
    check_claims(7);
}

#[test]
fn claimant_after_a_crash_never_acts_under_a_known_losing_claim() {
    let checker = ClaimModel { max_ticks: 6, max_crashes: 1 }
        .checker()
        .threads(4)
        .target_max_depth(14)
        .spawn_bfs()
        .join();
    let discoveries = checker.discoveries();
    assert!(
        !discoveries.contains_key(NO_KNOWN_LOSER_IS_ACTIVE)
            && !discoveries.contains_key(NO_FENCED_OR_LOWER_CLAIM),
        "{:?}",
        discoveries.keys()
    );
    println!("{} states, {} different", checker.state_count(), checker.unique_state_count());
}
