//! Model checking of the event feed with `stateright`: all orders of events in small configurations.

mod feed;

use feed::{Budget, Feed, RELAYS};
use stateright::{Checker, Model};

fn check(model: &Feed) {
    let mut builder = model.clone().checker().threads(4);
    if let Some(depth) = model.depth {
        builder = builder.target_max_depth(depth);
    }
    let checker = builder.spawn_bfs().join();
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

const EXACT_RATES_PER_MILLE: [u64; RELAYS] = [1_000; RELAYS];
/// Clock rates at the drift limits: fast relays, which count leases as expired early, and a slow subscriber, which
/// counts its own lease as valid for longer.
const FAST_RATES_PER_MILLE: [u64; RELAYS] = [1_100; RELAYS];
const SLOW_RATE_PER_MILLE: u64 = 900;

/// Checks all orders of events for one relay and one subscriber, or for the configuration that `change` makes of it.
fn check_with(change: impl FnOnce(&mut Feed)) {
    let mut model = Feed {
        relays: 1,
        depth: None,
        starts_with_purge: false,
        relay_clock_rates: EXACT_RATES_PER_MILLE,
        subscriber_clock_rates: vec![1_000],
        ticks: 4,
        relay_crashes: 0,
        subscriber_crashes: 0,
        budget: Budget { bus_polls: [2; RELAYS], polls: 2, reports: 1, duplicates: 1 },
    };
    change(&mut model);
    check(&model);
}

#[test]
fn messages_lost_late_or_duplicated_keep_all_properties() {
    check_with(|_| ());
}

#[test]
fn clocks_at_drift_limits_keep_all_properties() {
    check_with(|model| {
        (model.relay_clock_rates, model.subscriber_clock_rates) =
            (FAST_RATES_PER_MILLE, vec![SLOW_RATE_PER_MILLE]);
    });
}

#[test]
fn restarted_subscriber_keeps_all_properties() {
    check_with(|model| {
        (model.subscriber_crashes, model.budget.bus_polls, model.budget.duplicates) = (1, [1; RELAYS], 0);
    });
}

#[test]
fn restarted_relay_keeps_all_properties() {
    check_with(|model| (model.relay_crashes, model.budget.duplicates) = (1, 0));
}

fn check_two_relays(depth: usize) {
    check_with(|model| {
        (model.relays, model.starts_with_purge, model.depth) = (2, true, Some(depth));
        model.budget = Budget { bus_polls: [1; RELAYS], polls: 2, reports: 2, duplicates: 0 };
        model.relay_crashes = 1;
    });
}

/// The depth keeps the run to a few seconds.
#[test]
fn two_relays_keep_all_properties() {
    check_two_relays(9);
}

/// Takes minutes: `cargo test --release -p sagearch-feed --test model -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn both_restarted_keep_all_properties() {
    check_with(|model| (model.relay_crashes, model.subscriber_crashes) = (1, 1));
}

#[test]
#[ignore = "takes minutes"]
fn two_relays_over_more_steps_keep_all_properties() {
    check_two_relays(10);
}
