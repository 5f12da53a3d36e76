//! Counters and histograms, as operators read them at `GET /v1/metrics` (OpenMetrics text).
//!
//! - `identity`: callers, TLS handshakes and keys; `feed`: the event feed; `cluster`: what gateways share;
//! - `labels`: the labels of all of them.
//!
//! Labels are bounded: reasons, ends and states are constants of the program, and tenants beyond the first
//! [`MAX_TENANTS`] are counted together as `other`.

mod cluster;
mod feed;
mod identity;
mod labels;

pub use cluster::ClusterCounters;
pub use feed::{FeedCounters, StalenessCounters};

use identity::{CallerMetrics, HandshakeMetrics, KeyMetrics};
use labels::{Admitted, ByOutcome, ByReason, Ended};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sagearch_identity::authority::Report;
use sagearch_identity::{Caller, Proof, Reason};
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Tenants with counters of their own.
pub const MAX_TENANTS: usize = 512;
/// The label of all other tenants.
const OTHER_TENANTS: &str = "other";
/// The outcome of a handshake that was completed.
const HANDSHAKE_DONE: &str = "done";

/// All metrics of one gateway.
pub struct Metrics {
    registry: Registry,
    /// Tenants that have counters of their own.
    tenants: Mutex<HashSet<Arc<str>>>,
    other_tenants: Arc<str>,
    callers: CallerMetrics,
    handshakes: HandshakeMetrics,
    keys: KeyMetrics,
    apply_seconds: Histogram,
    versions: Family<ByOutcome, Counter>,
    /// The state that gateways share.
    pub shared: ClusterCounters,
    /// The event feed.
    pub feed: FeedCounters,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("sagearch"),
            tenants: Mutex::default(),
            other_tenants: OTHER_TENANTS.into(),
            callers: CallerMetrics::default(),
            handshakes: HandshakeMetrics::default(),
            keys: KeyMetrics::default(),
            // From a millisecond to 8 seconds.
            apply_seconds: Histogram::new(exponential_buckets(1e-3, 2.0, 14)),
            versions: Family::default(),
            shared: ClusterCounters::default(),
            feed: FeedCounters::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Registers all metrics under their names.
    fn register(&mut self) {
        let registry = &mut self.registry;
        self.callers.register(registry);
        self.handshakes.register(registry);
        self.keys.register(registry);
        let help = "Time from a version that has come whole to its being in force";
        registry.register("config_apply_seconds", help, self.apply_seconds.clone());
        registry.register("config_versions", "Streamed versions by outcome", self.versions.clone());
        self.feed.register(registry);
        self.shared.register(registry);
    }

    /// The label of a caller's tenant.
    fn tenant(&self, caller: &Caller) -> Arc<str> {
        let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        if tenants.contains(&caller.tenant) {
            return caller.tenant.clone();
        }
        if tenants.len() >= MAX_TENANTS {
            return self.other_tenants.clone();
        }
        tenants.insert(caller.tenant.clone());
        caller.tenant.clone()
    }

    /// Counts a decision on who called, and how long it took.
    pub fn decided(&self, decision: &Result<Arc<Caller>, Reason>, duration: Duration) {
        self.callers.decision_seconds.observe(duration.as_secs_f64());
        match decision {
            Ok(caller) => {
                let label = Admitted { tenant: self.tenant(caller), proof: proof(caller) };
                self.callers.admitted.get_or_create(&label).inc();
            }
            Err(reason) => {
                self.callers.refused.get_or_create(&ByReason { reason: reason.label() }).inc();
            }
        }
    }

    /// Counts a request that has ended.
    pub fn ended(&self, caller: &Caller, end: &'static str) {
        self.callers.ended.get_or_create(&Ended { tenant: self.tenant(caller), end }).inc();
    }

    /// Counts a TLS handshake. Only completed ones count for the histogram of durations.
    pub fn handshake(&self, outcome: &'static str, duration: Duration) {
        self.handshakes.outcomes.get_or_create(&ByOutcome { outcome }).inc();
        if outcome == HANDSHAKE_DONE {
            self.handshakes.seconds.observe(duration.as_secs_f64());
        }
    }

    /// Counts a reload of keys, certificates or lists, which succeeded or not.
    pub fn reloaded(&self, succeeded: bool) {
        let outcome = if succeeded { "taken" } else { "turned_down" };
        self.keys.reloads.get_or_create(&ByOutcome { outcome }).inc();
    }

    /// Counts a streamed version that was applied, in `duration`, or was rejected or skipped.
    pub fn version(&self, outcome: &'static str, duration: Option<Duration>) {
        self.versions.get_or_create(&ByOutcome { outcome }).inc();
        if let Some(duration) = duration {
            self.apply_seconds.observe(duration.as_secs_f64());
        }
    }

    /// Updates what is measured of issuers and their keys, at a Unix time in milliseconds.
    pub fn identity(&self, report: &Report, unix_ms: u64) {
        self.keys.update(report, unix_ms);
    }

    /// All metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The value of a gauge that shows a count: the greatest that a gauge can hold where the count is greater.
pub fn gauge_value(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}

/// The label of what a caller was recognised by.
fn proof(caller: &Caller) -> &'static str {
    match caller.proof {
        Proof::None => "none",
        Proof::Token => "token",
        Proof::Certificate => "certificate",
        Proof::Network => "network",
    }
}
