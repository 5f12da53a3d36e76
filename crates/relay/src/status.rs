//! What a relay tells operators: its decisions' status, its counters and its process.

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
    #[serde(flatten)]
    pub feed: Status,
    /// The address that is polled, and the relays from this one to the bus.
    pub upstream: Option<SocketAddr>,
    pub chain: Vec<String>,
    /// Connections that are served.
    pub connections: usize,
    /// Subscribers of this relay whose freshness lease is over, as far as this relay knows.
    pub in_doubt: usize,
    /// Subscribers that have not acknowledged the offset asked for, as far as `lagging` names them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behind: Option<Vec<String>>,
    pub counters: CounterValues,
    pub process: ProcessUsage,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CounterValues {
    pub answers: u64,
    pub answer_bytes: u64,
    /// Bodies made for held polls, each shared by all that are as far.
    pub bodies: u64,
    /// Polls answered 503.
    pub busy: u64,
    /// Connections that found no place.
    pub refused_connections: u64,
    /// Polls answered 400.
    pub bad: u64,
    pub upstream_failures: u64,
    pub loops_refused: u64,
    pub reports_heard: u64,
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
    /// The status now; with `offset`, also who has not acknowledged it.
    pub fn read(state: &State, admission: &Admission, offset: Option<u64>) -> RelayStatus {
        let decisions = state.decisions();
        let now = state.clock.now();
        let feed = decisions.relay.status(now);
        let in_doubt = in_doubt(&decisions.relay.report(now), state.lease);
        let (upstream, chain) = (decisions.upstream, decisions.chain.relays().to_vec());
        drop(decisions);
        let behind = offset.map(|offset| {
            let behind = feed.lagging.iter().filter(|subscriber| subscriber.offset < offset);
            behind.map(|subscriber| subscriber.name.clone()).collect()
        });
        RelayStatus {
            feed,
            upstream,
            chain,
            connections: admission.connections(),
            in_doubt,
            behind,
            counters: CounterValues::read(&state.counters, admission.refused()),
            process: ProcessUsage::read(),
        }
    }
}

/// A subscriber's lease is over when it has been silent for longer; all leases are when this relay is older itself.
fn in_doubt(report: &Report, lease: Micros) -> usize {
    let over = |millis: u64| millis.saturating_mul(sagearch_feed::MILLISECOND) >= lease;
    if report.age_ms.is_none_or(over) {
        return report.subscribers.len();
    }
    report.subscribers.iter().filter(|subscriber| over(subscriber.silent_ms)).count()
}
