//! Simulation of a region in which each gateway sees only a few requests. Compares the aggregated scores with the true
//! sums, with lost, duplicated and late reports.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use sagearch_popularity::{Aggregator, AggregatorConfig, Counter, Report, ReportSource};
use std::collections::BTreeMap;

/// A simulated region: the counters of its gateways and the aggregator of their reports.
struct Region {
    gateways: Vec<Counter>,
    aggregator: Aggregator,
    /// The true sums of all reports received at least once, halved at the same times as in the aggregator.
    true_sums: BTreeMap<u64, f64>,
    random: Pcg64Mcg,
}

fn aggregator(capacity: usize, halving_period: u32) -> Aggregator {
    Aggregator::new(AggregatorConfig { capacity, max_per_gateway: 100_000, halving_period }, 0)
}

impl Region {
    /// Counts the requests of one interval and delivers the reports to the aggregator.
    fn simulate_interval(
        &mut self,
        interval: u32,
        requests: usize,
        draw_key: impl Fn(&mut Pcg64Mcg) -> u64,
        loss_probability: f64,
        halving_period: u32,
    ) {
        for _ in 0..requests {
            let key = draw_key(&mut self.random);
            let gateway = self.random.random_range(0..self.gateways.len());
            self.gateways[gateway].count(key);
        }
        let mut in_transit: Vec<(u16, Report)> = Vec::new();
        for (gateway, counter) in self.gateways.iter_mut().enumerate() {
            for report in counter.close(interval) {
                if self.random.random_bool(loss_probability) {
                    continue;
                }
                report.counts.iter().for_each(|entry| {
                    *self.true_sums.entry(entry.key).or_default() += f64::from(entry.count);
                });
                let copies = 1 + usize::from(self.random.random_bool(loss_probability));
                (0..copies).for_each(|_| in_transit.push((gateway as u16, report.clone())));
            }
        }
        in_transit.shuffle(&mut self.random);
        for (gateway, report) in in_transit {
            let delay = self.random.random_range(0..=1);
            self.aggregator.receive(
                (interval + delay).min(interval / halving_period * halving_period + halving_period - 1),
                ReportSource { gateway, incarnation: 1 },
                &report,
            );
        }
    }
}

#[rstest]
#[case::three(3, 0.0)]
#[case::sixty(60, 0.0)]
#[case::sixty_with_loss(60, 0.3)]
#[case::a_hundred_and_twenty(120, 0.1)]
fn score_with_lost_and_late_reports_is_within_its_error_above_the_true_sum(
    #[case] gateways: usize,
    #[case] loss_probability: f64,
) {
    let (capacity, halving_period) = (400, 8);
    for seed in 0..20 {
        let mut region = Region {
            gateways: vec![Counter::default(); gateways],
            aggregator: aggregator(capacity, halving_period),
            true_sums: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        let zipf = Zipf::new(5_000.0, 0.9).unwrap();
        let mut total_count = 0.0;
        for interval in 0..24 {
            region.aggregator.age(interval);
            if interval % halving_period == 0 && interval > 0 {
                region.true_sums.values_mut().for_each(|count| *count /= 2.0);
                total_count /= 2.0;
            }
            region.simulate_interval(
                interval,
                2_000,
                |random| zipf.sample(random) as u64,
                loss_probability,
                halving_period,
            );
            total_count += 2_000.0;
        }
        // Allows for the rounding up at each halving, by less than 1/256 of a request each.
        let tolerance = 0.02;
        for score in region.aggregator.top(capacity) {
            let true_sum = region.true_sums.get(&score.key).copied().unwrap_or(0.0);
            assert!(
                score.count + tolerance >= true_sum,
                "seed {seed}: {score:?} is below the true sum {true_sum}"
            );
            assert!(
                score.count - score.error <= true_sum + tolerance,
                "seed {seed}: {score:?} exceeds the true sum {true_sum} by more than its error"
            );
            assert!(
                score.error <= total_count / capacity as f64 + tolerance,
                "seed {seed}: the error of {score:?} exceeds its bound"
            );
        }
        // Each object whose true sum exceeds the bound on errors is in the table.
        let popular =
            region.true_sums.iter().filter(|(_, count)| **count > total_count / capacity as f64 + tolerance);
        let scored_keys: Vec<u64> = region.aggregator.top(capacity).iter().map(|score| score.key).collect();
        assert!(
            popular.clone().count() > 20 && popular.map(|(key, _)| key).all(|key| scored_keys.contains(key))
        );
    }
}

#[test]
fn newly_popular_object_has_the_highest_score_within_two_intervals() {
    let mut region = Region {
        gateways: vec![Counter::default(); 60],
        aggregator: aggregator(400, 8),
        true_sums: BTreeMap::new(),
        random: Pcg64Mcg::seed_from_u64(1),
    };
    let zipf = Zipf::new(5_000.0, 0.9).unwrap();
    for interval in 0..16 {
        region.aggregator.age(interval);
        region.simulate_interval(interval, 2_000, |random| zipf.sample(random) as u64, 0.0, 8);
    }
    for interval in 16..18 {
        region.aggregator.age(interval);
        let draw_key = |random: &mut Pcg64Mcg| {
            if random.random_bool(0.4) { 999_999 } else { zipf.sample(random) as u64 }
        };
        region.simulate_interval(interval, 2_000, draw_key, 0.0, 8);
    }
    assert_eq!(region.aggregator.top(1)[0].key, 999_999);
}
