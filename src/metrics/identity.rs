//! Counters of callers, TLS handshakes and the keys of issuers.

use super::gauge_value;
use super::labels::{Admitted, ByIssuer, ByOutcome, ByReason, Ended, Keys};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sagearch_identity::authority::Report;
use sagearch_identity::keyring::KeyState;

const MILLISECONDS_PER_SECOND: u64 = 1_000;

/// Callers and their requests.
pub(super) struct CallerMetrics {
    pub admitted: Family<Admitted, Counter>,
    pub refused: Family<ByReason, Counter>,
    pub ended: Family<Ended, Counter>,
    pub decision_seconds: Histogram,
}

impl Default for CallerMetrics {
    fn default() -> CallerMetrics {
        CallerMetrics {
            admitted: Family::default(),
            refused: Family::default(),
            ended: Family::default(),
            // From a microsecond to a quarter of a second.
            decision_seconds: Histogram::new(exponential_buckets(1e-6, 4.0, 10)),
        }
    }
}

impl CallerMetrics {
    pub fn register(&self, registry: &mut Registry) {
        let help = "Requests whose caller was recognised";
        registry.register("identity_admitted", help, self.admitted.clone());
        registry.register("identity_refused", "Requests refused for who called", self.refused.clone());
        registry.register("requests", "Requests by tenant and end", self.ended.clone());
        let help = "Time that recognising a caller took";
        registry.register("identity_decision_seconds", help, self.decision_seconds.clone());
    }
}

/// TLS handshakes of clients.
pub(super) struct HandshakeMetrics {
    pub outcomes: Family<ByOutcome, Counter>,
    pub seconds: Histogram,
}

impl Default for HandshakeMetrics {
    fn default() -> HandshakeMetrics {
        HandshakeMetrics {
            outcomes: Family::default(),
            // From 100 microseconds to 1.6 seconds.
            seconds: Histogram::new(exponential_buckets(1e-4, 2.0, 15)),
        }
    }
}

impl HandshakeMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register("tls_handshakes", "TLS handshakes by outcome", self.outcomes.clone());
        registry.register("tls_handshake_seconds", "Time of those that ended well", self.seconds.clone());
    }
}

/// The keys of issuers, and the tokens that were verified with them.
#[derive(Default)]
pub(super) struct KeyMetrics {
    pub reloads: Family<ByOutcome, Counter>,
    keys: Family<Keys, Gauge>,
    youngest_key_age: Family<ByIssuer, Gauge>,
    key_set_age: Family<ByIssuer, Gauge>,
    lookups: Family<ByIssuer, Gauge>,
    lookups_spared: Family<ByIssuer, Gauge>,
    tokens_cached: Gauge,
    clock_steps: Gauge,
}

impl KeyMetrics {
    pub fn register(&self, registry: &mut Registry) {
        let help = "Keys, certificates and lists read again";
        registry.register("identity_reloads", help, self.reloads.clone());
        registry.register("identity_keys", "Keys by issuer and state", self.keys.clone());
        let help = "Age of the key that an issuer published last";
        registry.register("identity_youngest_key_age_seconds", help, self.youngest_key_age.clone());
        let help = "Since an issuer's keys came in";
        registry.register("identity_issuer_heard_age_seconds", help, self.key_set_age.clone());
        registry.register("identity_lookups", "Times an issuer was asked", self.lookups.clone());
        let help = "Tokens with unknown keys that caused no look-up of their own";
        registry.register("identity_lookups_spared", help, self.lookups_spared.clone());
        let help = "Verified tokens that are remembered";
        registry.register("identity_tokens_cached", help, self.tokens_cached.clone());
        let help = "Steps of the Unix clock that were noticed";
        registry.register("identity_clock_steps", help, self.clock_steps.clone());
    }

    /// Sets all gauges by a report. Issuers that are not in it any more leave no values behind.
    pub fn update(&self, report: &Report, unix_ms: u64) {
        for family in [&self.youngest_key_age, &self.key_set_age, &self.lookups, &self.lookups_spared] {
            family.clear();
        }
        self.keys.clear();
        let seconds = |ms: u64| gauge_value(ms / MILLISECONDS_PER_SECOND);
        for issuer in &report.issuers {
            let by_issuer = ByIssuer { issuer: issuer.name.clone() };
            for state in KeyState::ALL {
                let count = issuer.keys.iter().filter(|key| key.state == state).count();
                let label = Keys { issuer: issuer.name.clone(), state: state.name() };
                self.keys.get_or_create(&label).set(gauge_value(count));
            }
            if let Some(seen) = issuer.keys.iter().map(|key| key.seen).max() {
                let age = seconds(unix_ms.saturating_sub(seen));
                self.youngest_key_age.get_or_create(&by_issuer).set(age);
            }
            if let Some(ago) = issuer.heard_ms_ago {
                self.key_set_age.get_or_create(&by_issuer).set(seconds(ago));
            }
            self.lookups.get_or_create(&by_issuer).set(gauge_value(issuer.lookups));
            self.lookups_spared.get_or_create(&by_issuer).set(gauge_value(issuer.lookups_spared));
        }
        self.tokens_cached.set(gauge_value(report.tokens_cached));
        self.clock_steps.set(gauge_value(report.clock_steps));
    }
}
