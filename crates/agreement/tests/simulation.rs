//! Instances of a group in virtual time, with clocks of different rates, lost and late messages, cuts, pauses and restarts:
//! no two of them ever act on documents that contradict each other.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use sagearch_agreement::{Agreement, Document, Timing};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const INSTANCES: usize = 5;
const SEEDS: u64 = 400;
/// One step of the simulation.
const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 3_000;
const LEASE: Duration = Duration::from_secs(1);
/// The lease and a tenth: clocks may run up to 4% fast or slow.
const TIMING: Timing = Timing { lease: LEASE, activation_delay: Duration::from_millis(1_100) };
const MAX_DRIFT: f64 = 0.04;

/// A deliberate mistake, which the simulation must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// The lease runs from the answer instead of the request.
    LeaseFromAnswer,
    /// The commit index of a confirmation is ignored.
    IndexIgnored,
    /// A new document is acted on at once.
    NoActivationDelay,
    /// The activation delay leaves no room for clocks that differ.
    NoDriftAllowance,
    /// An instance that restarts takes its first documents for settled.
    RestartForgetsDelay,
}

/// The entries that the group has committed: one document each. The state of the group itself is taken as given.
struct Log {
    committed: u64,
}

/// A message to an instance, at the step at which it arrives.
#[derive(Clone, Copy)]
enum Message {
    /// The group has committed entries up to this index.
    Committed(u64),
    /// The commit index, asked for at this time of the instance's clock.
    Confirmation { requested_at: Instant, index: u64 },
}

struct Instance {
    agreement: Agreement<u64>,
    start: Instant,
    /// How fast the clock runs: 1.0 is right.
    rate: f64,
    inbox: Vec<(u64, Message)>,
    applied: u64,
    cut_until: u64,
    paused_until: u64,
}

impl Instance {
    fn new(timing: Timing, rate: f64) -> Instance {
        Instance {
            agreement: Agreement::new(timing),
            start: Instant::now(),
            rate,
            inbox: Vec::new(),
            applied: 0,
            cut_until: 0,
            paused_until: 0,
        }
    }

    fn now(&self, step: u64) -> Instant {
        self.start + STEP.mul_f64(step as f64 * self.rate)
    }

    fn apply(&mut self, index: u64, step: u64, mistake: Mistake) {
        let now = self.now(step);
        for document in self.applied + 1..=index {
            let learned_at = if mistake == Mistake::RestartForgetsDelay { self.start } else { now };
            self.agreement.commit(document, learned_at);
            self.agreement.apply(document);
        }
        self.applied = self.applied.max(index);
    }

    fn receive(&mut self, message: Message, step: u64, mistake: Mistake) {
        match message {
            Message::Committed(index) => {
                let mistake = if mistake == Mistake::RestartForgetsDelay { Mistake::None } else { mistake };
                self.apply(index, step, mistake);
            }
            Message::Confirmation { requested_at, index } => {
                let requested_at = match mistake {
                    Mistake::LeaseFromAnswer => self.now(step),
                    _ => requested_at,
                };
                let index = if mistake == Mistake::IndexIgnored { 0 } else { index };
                self.agreement.confirm(requested_at, index);
            }
        }
    }

    /// The documents by which it acts at this moment; empty: it does not act.
    fn acts_on(&mut self, step: u64) -> BTreeSet<u64> {
        let now = self.now(step);
        let Ok(documents) = self.agreement.documents_in_force(now) else { return BTreeSet::new() };
        let mut numbers = BTreeSet::new();
        for document in documents {
            match document {
                Document::Initial => numbers.insert(0),
                Document::Committed(number) => numbers.insert(*number),
                // No action agrees with an unknown document.
                Document::Unknown => return BTreeSet::new(),
            };
        }
        numbers
    }
}

fn timing(mistake: Mistake) -> Timing {
    match mistake {
        Mistake::NoActivationDelay => Timing { activation_delay: Duration::ZERO, ..TIMING },
        Mistake::NoDriftAllowance => Timing { activation_delay: LEASE, ..TIMING },
        _ => TIMING,
    }
}

/// What a run has shown.
#[derive(Default)]
struct Outcome {
    /// Moments at which two instances could act on different documents.
    contradictions: u64,
    /// Moments at which instances acted on one document alone.
    decisive: u64,
}

fn run(seed: u64, mistake: Mistake) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut log = Log { committed: 0 };
    let mut rate = || 1.0 + random.random_range(-MAX_DRIFT..=MAX_DRIFT);
    let rates: Vec<f64> = (0..INSTANCES).map(|_| rate()).collect();
    let mut instances: Vec<Instance> =
        rates.iter().map(|rate| Instance::new(timing(mistake), *rate)).collect();
    for step in 0..STEPS {
        if random.random_bool(0.004) {
            log.committed += 1;
        }
        for instance in &mut instances {
            disturb(instance, &log, step, mistake, &mut random);
            exchange(instance, &log, step, mistake, &mut random);
        }
        judge(&mut instances, step, &mut outcome);
    }
    outcome
}

/// Cuts off, pauses or restarts an instance now and then.
fn disturb(instance: &mut Instance, log: &Log, step: u64, mistake: Mistake, random: &mut Pcg64Mcg) {
    if random.random_bool(0.002) {
        instance.cut_until = step + random.random_range(20..400);
    }
    if random.random_bool(0.001) {
        instance.paused_until = step + random.random_range(10..300);
    }
    if random.random_bool(0.001) {
        // Its folder holds a part of what is committed.
        let on_disk = instance.applied.min(random.random_range(0..=log.committed));
        let (rate, start) = (instance.rate, instance.start);
        *instance = Instance { start, ..Instance::new(timing(mistake), rate) };
        instance.apply(on_disk, step, mistake);
    }
}

/// Sends to an instance, and has it receive what has arrived.
fn exchange(instance: &mut Instance, log: &Log, step: u64, mistake: Mistake, random: &mut Pcg64Mcg) {
    if step >= instance.cut_until {
        // Most messages take a step or two, and some take very long.
        let mut delay =
            || if random.random_bool(0.05) { random.random_range(0..250) } else { random.random_range(0..3) };
        let (asked, answered) = (delay(), delay());
        instance.inbox.push((step + delay(), Message::Committed(log.committed)));
        if step.is_multiple_of(20) && step >= instance.paused_until {
            // The leader may answer as soon as the request has been sent.
            let requested_at = instance.now(step);
            let confirmation = Message::Confirmation { requested_at, index: log.committed };
            instance.inbox.push((step + asked + answered, confirmation));
        }
    }
    if step >= instance.paused_until {
        let (arrived, later): (Vec<_>, Vec<_>) = instance.inbox.drain(..).partition(|(at, _)| *at <= step);
        instance.inbox = later;
        for (_, message) in arrived {
            instance.receive(message, step, mistake);
        }
    }
}

/// Two instances can contradict each other if no document is taken into account by both.
fn judge(instances: &mut [Instance], step: u64, outcome: &mut Outcome) {
    let mut acting: Vec<BTreeSet<u64>> = Vec::new();
    for instance in instances {
        if step >= instance.paused_until {
            acting.push(instance.acts_on(step));
        }
    }
    acting.retain(|documents| !documents.is_empty());
    outcome.decisive += acting.iter().filter(|documents| documents.len() == 1).count() as u64;
    for (index, one) in acting.iter().enumerate() {
        let contradicted = acting[index + 1..].iter().filter(|other| one.is_disjoint(other));
        outcome.contradictions += contradicted.count() as u64;
    }
}

#[test]
fn instances_never_act_on_documents_that_contradict_each_other() {
    let mut decisive = 0;
    for seed in 0..SEEDS {
        let outcome = run(seed, Mistake::None);
        assert_eq!(outcome.contradictions, 0, "seed {seed}");
        decisive += outcome.decisive;
    }
    // Nobody contradicts who never acts: more than a third of all moments of all instances are decided by one document.
    assert!(decisive > SEEDS * STEPS * INSTANCES as u64 / 3, "{decisive}");
}

#[rstest]
fn deliberate_mistake_is_noticed(
    #[values(
        Mistake::LeaseFromAnswer,
        Mistake::IndexIgnored,
        Mistake::NoActivationDelay,
        Mistake::NoDriftAllowance,
        Mistake::RestartForgetsDelay
    )]
    mistake: Mistake,
) {
    let noticed = (0..SEEDS).any(|seed| run(seed, mistake).contradictions > 0);
    assert!(noticed, "{mistake:?}");
}
