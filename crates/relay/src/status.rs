//! The status of a relay for operators: the event feed, connections, counters and the process.

use crate::admission::Admission;
use crate::process::ProcessUsage;
use crate::state::{Counters, State};
use sagearch_feed::Micros;
use sagearch_feed::relay::report::{Report, Status};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

/// The answer to `/feed/status`.
#[derive(Debug, Serialize)]
pub struct RelayStatus {
    /// The status of the event feed.
    #[serde(flatten)]
    pub feed: Status,
    /// The address of the upstream of the last applied answer; `None` before the first one.
    pub upstream: Option<SocketAddr>,
    /// The names of the relays from this one to the event bus.
    pub chain: Vec<String>,
    /// The number of connections that are served.
    pub connections: usize,
    /// The number of this relay's subscribers whose freshness lease has expired, as far as this relay knows.
    #[serde(rename = "in_doubt")]
    pub expired_leases: usize,
    /// The names of the subscribers in `lagging` that have not acknowledged the requested offset.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behind: Option<Vec<String>>,
    /// Counters since the start.
    pub counters: CounterValues,
    /// The resource usage of the process.
    pub process: ProcessUsage,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CounterValues {
    /// Polls answered 200.
    pub answers: u64,
    /// Total size of the bodies of polls answered 200.
    pub answer_bytes: u64,
    /// Bodies encoded for pending polls; polls with the same answer share one.
    pub bodies: u64,
    /// Polls answered 503.
    pub busy: u64,
    /// Connections that were not admitted.
    pub refused_connections: u64,
    /// Polls answered 400.
    pub bad: u64,
    /// Polls of upstreams that failed or had an invalid answer.
    pub upstream_failures: u64,
    /// Answers of upstreams that were refused because of a loop of relays.
    pub loops_refused: u64,
    /// Reports of peer relays that were applied.
    pub reports_heard: u64,
    /// Failed attempts to fetch the report of a peer relay.
    pub report_failures: u64,
}

impl CounterValues {
    fn read(counters: &Counters, refused_connections: u64) -> CounterValues {
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CounterValues {
            answers: value(&counters.answers),
            answer_bytes: value(&counters.answer_bytes),
            bodies: value(&counters.bodies),
            busy: value(&counters.busy),
            refused_connections,
            bad: value(&counters.bad),
            upstream_failures: value(&counters.upstream_failures),
            loops_refused: value(&counters.loops_refused),
            reports_heard: value(&counters.reports_heard),
            report_failures: value(&counters.report_failures),
        }
    }
}

impl RelayStatus {
    /// Reads the status now; with `offset`, it includes the subscribers that have not acknowledged that offset.
    pub fn read(state: &State, admission: &Admission, offset: Option<u64>) -> RelayStatus {
        let locked = state.lock();
        let now = state.clock.now();
        let feed = locked.relay.status(now);
        let expired_leases = count_expired_leases(&locked.relay.report(now), state.lease);
        let (upstream, chain) = (locked.upstream, locked.chain.relays().to_vec());
        drop(locked);
        let behind = offset.map(|offset| {
            let behind = feed.lagging.iter().filter(|subscriber| subscriber.offset < offset);
            behind.map(|subscriber| subscriber.name.clone()).collect()
        });
        RelayStatus {
            feed,
            upstream,
            chain,
            connections: admission.connections(),
            expired_leases,
            behind,
            counters: CounterValues::read(&state.counters, admission.refused()),
            process: ProcessUsage::read(),
        }
    }
}

/// Counts the subscribers that have been silent for the duration of their lease. If the relay's own lease has expired,
/// all its subscribers count.
fn count_expired_leases(report: &Report, lease: Micros) -> usize {
    let expired = |millis: u64| millis.saturating_mul(sagearch_feed::MILLISECOND) >= lease;
    if report.age_ms.is_none_or(expired) {
        return report.subscribers.len();
    }
    report.subscribers.iter().filter(|subscriber| expired(subscriber.silent_ms)).count()
}
