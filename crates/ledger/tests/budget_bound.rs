//! Simulation of the bound on spending, in virtual time: drifting clocks, lost, delayed and duplicated messages,
//! allocators that are killed and replaced, clients that restart, and partitions. Further tests check that the budget
//! can be used nearly fully without faults.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use sagearch_ledger::{
    Amount, Budget, Counterparty, Grant, GrantRequest, QuotaAllocator, QuotaClient, QuotaParameters,
    Requester,
};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;
const DRIFT_PER_MILLE: u64 = 10;
const BUDGET: Budget =
    Budget { amount: Amount::calls(200), window: 10 * SECOND, overdraft: 250, reserve: 20 };

enum Message {
    Request { from: usize, incarnation: u64, request: GrantRequest },
    Grant { to: usize, grant: Grant },
}

/// A simulated fleet of gateways with at most one allocator.
struct Fleet {
    parameters: QuotaParameters,
    /// Each gateway's incarnation and quota client.
    clients: Vec<(u64, QuotaClient<u64>)>,
    /// The speed of each gateway's clock, relative to true time.
    clock_rates_per_mille: Vec<u64>,
    allocator: Option<QuotaAllocator>,
    /// The speed of the allocator's clock. An allocator is always stopped before the next one starts.
    allocator_clock_rate_per_mille: u64,
    /// Messages in transit, by delivery time and sequence number.
    in_transit: BTreeMap<(u64, u64), Message>,
    sequence_number: u64,
    random: Pcg64Mcg,
    loss_probability: f64,
    max_delay_micros: u64,
    is_partitioned: Vec<bool>,
    /// The true time of each call that was paid for.
    spending_times: Vec<u64>,
    /// The gateway of each expected call, by the time of the call and sequence number.
    expected_calls: BTreeMap<(u64, u64), usize>,
}

impl Fleet {
    fn new(gateways: usize, seed: u64) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let parameters = BUDGET.parameters(gateways as u64, DRIFT_PER_MILLE).unwrap();
        let clock_rates_per_mille =
            (0..gateways).map(|_| [990, 1_000, 1_010][random.random_range(0..3)]).collect();
        let clients = (0..gateways).map(|_| (1, QuotaClient::new(parameters, 1, 0))).collect();
        let allocator = Some(QuotaAllocator::new(parameters, 0));
        let is_partitioned = vec![false; gateways];
        let (in_transit, spending_times, expected_calls) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Fleet {
            parameters,
            clients,
            clock_rates_per_mille,
            allocator,
            allocator_clock_rate_per_mille: 1_010,
            in_transit,
            sequence_number: 0,
            random,
            loss_probability: 0.0,
            max_delay_micros: 5_000,
            is_partitioned,
            spending_times,
            expected_calls,
        }
    }

    fn send(&mut self, now: u64, gateway: usize, message: impl Fn() -> Message) {
        let copies = 1 + usize::from(self.random.random_bool(self.loss_probability));
        for _ in 0..copies {
            if self.is_partitioned[gateway] || self.random.random_bool(self.loss_probability) {
                continue;
            }
            let delay = self.random.random_range(100..=self.max_delay_micros);
            self.sequence_number += 1;
            self.in_transit.insert((now + delay, self.sequence_number), message());
        }
    }

    /// The time on a gateway's clock.
    fn clock(&self, now: u64, gateway: usize) -> u64 {
        now * self.clock_rates_per_mille[gateway] / 1_000
    }

    /// Registers an expected call that is made after a backoff, as for retries.
    fn expect_call(&mut self, now: u64, gateway: usize) {
        let clock = self.clock(now + 60_000, gateway);
        self.clients[gateway].1.expect_call(clock);
        self.request(now, gateway);
        self.sequence_number += 1;
        self.expected_calls.insert((now + 60_000, self.sequence_number), gateway);
    }

    fn request(&mut self, now: u64, gateway: usize) {
        let clock = self.clock(now, gateway);
        let (incarnation, client) = &mut self.clients[gateway];
        let incarnation = *incarnation;
        if let Some(request) = client.request(clock) {
            self.send(now, gateway, || Message::Request { from: gateway, incarnation, request });
        }
    }

    fn make_due_calls(&mut self, now: u64) {
        while let Some(entry) = self.expected_calls.first_entry().filter(|entry| entry.key().0 <= now) {
            let gateway = entry.remove();
            let clock = self.clock(now, gateway);
            if self.clients[gateway].1.spend(clock, |_| false).is_some() {
                self.spending_times.push(now);
            }
            self.request(now, gateway);
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Message::Request { from, incarnation, request } => {
                    let clock = now * self.allocator_clock_rate_per_mille / 1_000;
                    let Some(allocator) = &mut self.allocator else { continue };
                    if let Some(grant) =
                        allocator.grant(clock, Requester { member: from as u16, incarnation }, request)
                    {
                        self.send(now, from, || Message::Grant { to: from, grant });
                    }
                }
                Message::Grant { to, grant } => {
                    let clock = self.clock(now, to);
                    self.clients[to].1.receive(clock, grant, 0);
                }
            }
        }
    }

    /// The highest spending in any window of true time.
    fn max_spending_in_a_window(&self) -> Amount {
        let mut first = 0;
        let mut max_calls = 0;
        for (last, time) in self.spending_times.iter().enumerate() {
            while self.spending_times[first] + BUDGET.window <= *time {
                first += 1;
            }
            max_calls = max_calls.max(last + 1 - first);
        }
        Amount::calls(max_calls as u64)
    }
}

/// The highest spending permitted in a window: the budget and its overdraft.
const SPENDING_LIMIT: Amount =
    Amount::from_thousandths(BUDGET.amount.thousandths() * (1_000 + BUDGET.overdraft) / 1_000);

#[rstest]
#[case::three(3, 60)]
#[case::twelve(12, 40)]
#[case::hundred(100, 6)]
fn spending_in_any_window_stays_within_budget_and_overdraft(#[case] gateways: usize, #[case] seeds: u64) {
    let mut highest = Amount::ZERO;
    for seed in 0..seeds {
        let mut fleet = Fleet::new(gateways, seed);
        fleet.loss_probability = if seed % 2 == 0 { 0.2 } else { 0.0 };
        fleet.max_delay_micros = if seed % 3 == 0 { 400_000 } else { 20_000 };
        for step in 0..30_000_u64 {
            let now = step * 2_000;
            fleet.deliver(now);
            fleet.make_due_calls(now);
            fleet.make_due_calls(now);
            for _ in 0..2 {
                // The demand far exceeds the quota. In alternating periods it comes from a single gateway or from all.
                let from_single_gateway = (now / (5 * SECOND)).is_multiple_of(2);
                let gateway = if from_single_gateway { 0 } else { fleet.random.random_range(0..gateways) };
                fleet.expect_call(now, gateway);
            }
            match fleet.random.random_range(0..4_000) {
                0 => {
                    let gateway = fleet.random.random_range(0..gateways);
                    let clock = fleet.clock(now, gateway);
                    let incarnation = fleet.clients[gateway].0 + 1;
                    fleet.clients[gateway] =
                        (incarnation, QuotaClient::new(fleet.parameters, incarnation, clock));
                }
                1 => fleet.allocator = None,
                2..=9 if fleet.allocator.is_none() => {
                    fleet.allocator_clock_rate_per_mille = [990, 1_010][fleet.random.random_range(0..2)];
                    fleet.allocator = Some(QuotaAllocator::new(
                        fleet.parameters,
                        now * fleet.allocator_clock_rate_per_mille / 1_000,
                    ));
                }
                10 => {
                    let gateway = fleet.random.random_range(0..gateways);
                    fleet.is_partitioned[gateway] ^= true;
                }
                _ => {}
            }
        }
        let spending = fleet.max_spending_in_a_window();
        assert!(
            spending <= SPENDING_LIMIT,
            "seed {seed}: spending is {spending}, expected at most {SPENDING_LIMIT}"
        );
        highest = highest.max(spending);
    }
    // Ensures that the simulation comes near the bound, since otherwise it would not test it.
    assert!(highest >= BUDGET.amount * 3 / 4, "highest spending is {highest}");
}

#[rstest]
#[case::one_of_three(3, 1)]
#[case::one_of_a_hundred(100, 1)]
#[case::all_of_twelve(12, 12)]
#[case::all_of_a_hundred(100, 100)]
fn budget_without_faults_is_nearly_fully_usable(#[case] gateways: usize, #[case] active_gateways: usize) {
    let mut fleet = Fleet::new(gateways, 7);
    let seconds = 60;
    for step in 0..seconds * 500 {
        let now = step * 2_000;
        fleet.deliver(now);
        fleet.make_due_calls(now);
        // Total demand is one and a half times the budget.
        for _ in 0..6 {
            if fleet.random.random_bool(0.01) {
                let gateway = fleet.random.random_range(0..active_gateways);
                fleet.expect_call(now, gateway);
            }
        }
    }
    // Excludes the first window, because reserves and allocators start empty.
    let paid_calls = fleet.spending_times.iter().filter(|time| **time >= BUDGET.window).count();
    let spent = Amount::calls(paid_calls as u64);
    let available = BUDGET.amount * (seconds - 10) / 10;
    let used_share = spent.thousandths() as f64 / available.thousandths() as f64;
    println!("{gateways} gateways, {active_gateways} active: used share {used_share:.3}");
    assert!(used_share >= 0.95, "used share is {used_share}, expected at least 0.95");
}

#[test]
fn partitioned_gateway_spends_only_its_reserve() {
    let mut fleet = Fleet::new(4, 1);
    fleet.is_partitioned[2] = true;
    for step in 0..30_000_u64 {
        let now = step * 2_000;
        fleet.deliver(now);
        fleet.make_due_calls(now);
        fleet.expect_call(now, 2);
    }
    // One of 4 gateways has a quarter of the reserves, which are a fiftieth of 200 calls per 10 s. That makes 6 calls
    // in 60 s, less the thousandths that are rounded down.
    assert!(
        (4..=6).contains(&fleet.spending_times.len()),
        "{} calls were paid for, expected 4 to 6",
        fleet.spending_times.len()
    );
}

/// Guards against a transferred rate that both regions issue. One region transfers rate to another while half of its
/// answers are lost; together they must not issue more than the sum of their rates.
#[test]
fn transferred_rate_with_lost_answers_is_issued_by_one_region_only() {
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let parameters = BUDGET.parameters(10, DRIFT_PER_MILLE).unwrap();
        let (mut sender, mut receiver) =
            (QuotaAllocator::new(parameters, 0), QuotaAllocator::new(parameters, 0));
        let mut issued = Vec::new();
        for step in 0..6_000_u64 {
            let now = step * 10_000;
            if random.random_bool(0.03) {
                let requested_at = now.saturating_sub(random.random_range(0..200_000));
                let want =
                    Amount::from_thousandths(random.random_range(0..parameters.rate.thousandths() * 2));
                let rate = sender.transfer_out(now, Counterparty(9), want, 600_000 * 1_021 / 1_000);
                if random.random_bool(0.5) {
                    receiver.transfer_in(now, Counterparty(1), rate, requested_at + 600_000);
                }
            }
            for (member, allocator) in [(1, &mut sender), (2, &mut receiver)] {
                let request = GrantRequest {
                    number: step as u32 + 1,
                    want: if random.random_bool(0.3) { Amount::calls(5) } else { Amount::ZERO },
                };
                let grant = allocator.grant(now, Requester { member, incarnation: 1 }, request).unwrap();
                issued.push((now, grant.amount));
            }
        }
        // Within each second, the limit is the sum of both rates and both bucket capacities.
        for from in (0..60).map(|second| second * SECOND) {
            let in_second = issued.iter().filter(|(time, _)| (from..from + SECOND).contains(time));
            let issued_in_second: Amount = in_second.map(|(_, amount)| *amount).sum();
            assert!(
                issued_in_second <= (parameters.rate + parameters.capacity) * 2,
                "seed {seed}: issued {issued_in_second} in one second"
            );
        }
        let total: Amount = issued.iter().map(|(_, amount)| *amount).sum();
        assert!(
            total <= (parameters.rate * 60 + parameters.capacity) * 2,
            "seed {seed}: issued {total} in 60 s"
        );
    }
}
