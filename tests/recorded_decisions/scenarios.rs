//! Scenarios: the settings of two deployments, and the workloads of a gateway.

use super::common::{MS, SECOND, settings};
use sagearch::interface::*;

/// The number of seeds of each scenario in each deployment.
pub const SEEDS: u64 = 3;

/// Settings with an idempotency key for writes, one attempt at a time and no `Retry-After`.
fn keyed_settings() -> Settings {
    let mut settings = settings();
    settings.classes[1].idempotency =
        Idempotency::Keyed { group: DeduplicationGroup::All, window: 3 * SECOND };
    settings.classes[3].fresh = Some(8 * SECOND);
    settings.cache_slow_start =
        SlowStartRule { floor: 0.15, warm_up: 13 * SECOND, multiple: 2.5, window: 3 * SECOND };
    settings.parent_slow_start =
        SlowStartRule { floor: 0.065, warm_up: 22 * SECOND, multiple: 2.0, window: 3 * SECOND };
    Settings { sibling_fills: true, max_backoff: None, ..settings }
}

/// Settings with writes that must not run twice, hedged requests and `Retry-After`.
fn non_idempotent_settings() -> Settings {
    let mut settings = settings();
    settings.classes[1].idempotency = Idempotency::NotIdempotent;
    settings.cache_slow_start =
        SlowStartRule { floor: 0.16, warm_up: 15 * SECOND, multiple: 4.0, window: 2 * SECOND };
    settings.parent_slow_start =
        SlowStartRule { floor: 0.066, warm_up: 20 * SECOND, multiple: 2.0, window: 2 * SECOND };
    Settings { sibling_fills: true, hedging: true, max_backoff: Some(2 * SECOND), ..settings }
}

/// Returns the settings of each deployment, with the name under which its hashes are recorded.
pub fn deployments() -> [(&'static str, Settings); 2] {
    [("keyed", keyed_settings()), ("once", non_idempotent_settings())]
}

/// The events around a gateway. Each rate is the chance per mille that the event takes place in a round of 2 ms.
#[derive(Clone, Copy)]
pub struct Workload {
    pub requests: u64,
    pub lookups: u64,
    /// Requests abandoned by their client.
    pub abandons: u64,
    /// Members that start draining, leave, or start again.
    pub member_changes: u64,
    /// Members that were never listed before.
    pub new_members: u64,
    /// Complete member lists, of which one in four lacks a member.
    pub complete_lists: u64,
    pub object_purges: u64,
    pub group_purges: u64,
    pub slice_purges: u64,
    /// Drains of the gateway that an operator starts or ends, and members taken out of service or returned.
    pub operator_changes: u64,
    pub settings_changes: u64,
    pub lease_renewals: u64,
    /// Upgrades: a new process receives the learned state of the previous process.
    pub upgrades: u64,
    /// A second process of the gateway starts or ends.
    pub process_changes: u64,
    /// The chance per mille that an attempt fails.
    pub failures: u64,
    /// The chance per mille that an attempt gets no response.
    pub unanswered: u64,
    /// The longest time that a response takes.
    pub max_response_time: Micros,
    /// Whether the gateway shares its retry budget.
    pub shared_budget: bool,
    /// Whether the process is suspended halfway, for longer than state about gone members is kept.
    pub suspends: bool,
    /// Whether the process shuts down at the end of the scenario.
    pub shuts_down: bool,
}

/// The workload from which the scenarios differ: requests to a stable member list, with few failures.
const BASELINE: Workload = Workload {
    requests: 150,
    lookups: 0,
    abandons: 0,
    member_changes: 0,
    new_members: 0,
    complete_lists: 0,
    object_purges: 0,
    group_purges: 0,
    slice_purges: 0,
    operator_changes: 0,
    settings_changes: 0,
    lease_renewals: 0,
    upgrades: 0,
    process_changes: 0,
    failures: 20,
    unanswered: 5,
    max_response_time: 400 * MS,
    shared_budget: false,
    suspends: false,
    shuts_down: false,
};

/// Returns the workload of each scenario, with the name under which its hashes are recorded.
pub fn scenarios() -> Vec<(&'static str, Workload)> {
    vec![
        ("steady", BASELINE),
        ("overload", Workload { requests: 900, max_response_time: 1_500 * MS, ..BASELINE }),
        ("members", Workload { member_changes: 8, new_members: 3, complete_lists: 2, ..BASELINE }),
        ("pause", Workload { suspends: true, member_changes: 8, failures: 100, ..BASELINE }),
        ("purges", Workload { object_purges: 20, group_purges: 6, slice_purges: 1, ..BASELINE }),
        ("retries", Workload { failures: 450, unanswered: 60, ..BASELINE }),
        ("hedging", Workload { unanswered: 150, max_response_time: 900 * MS, ..BASELINE }),
        ("rare-losses", Workload { unanswered: 12, failures: 5, max_response_time: 250 * MS, ..BASELINE }),
        ("abandons", Workload { abandons: 60, failures: 200, ..BASELINE }),
        ("settings", Workload { settings_changes: 4, member_changes: 2, ..BASELINE }),
        ("operators", Workload { operator_changes: 6, member_changes: 2, ..BASELINE }),
        ("freshness", Workload { lease_renewals: 1, object_purges: 6, ..BASELINE }),
        ("shared-budget", Workload { shared_budget: true, failures: 350, process_changes: 1, ..BASELINE }),
        ("takeover", Workload { upgrades: 1, process_changes: 2, failures: 60, ..BASELINE }),
        ("lookups", Workload { lookups: 120, requests: 60, member_changes: 4, failures: 150, ..BASELINE }),
        ("ending", Workload { shuts_down: true, requests: 400, unanswered: 60, failures: 150, ..BASELINE }),
        ("everything", combined_workload()),
    ]
}

/// A workload with all kinds of events except upgrades and suspensions.
fn combined_workload() -> Workload {
    Workload {
        requests: 300,
        lookups: 10,
        abandons: 10,
        member_changes: 4,
        new_members: 1,
        complete_lists: 1,
        object_purges: 6,
        group_purges: 2,
        slice_purges: 1,
        operator_changes: 1,
        settings_changes: 1,
        lease_renewals: 2,
        upgrades: 0,
        process_changes: 1,
        failures: 100,
        unanswered: 30,
        max_response_time: 700 * MS,
        shared_budget: true,
        suspends: false,
        shuts_down: true,
    }
}
