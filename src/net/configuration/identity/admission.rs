//! Admission of callers: identifies the sender of a request, a DNS look-up or an operator's call, and checks the
//! caller's rights. The decisions are made by [`sagearch_identity`].

use super::version::ActiveVersion;
use crate::metrics::Metrics;
use crate::net::lock;
use crate::net::snapshot::Snapshot;
use sagearch_identity::authority::OperatorCaller;
use sagearch_identity::{Caller, Credentials, Presented, Reason};
use sagearch_stream::RequestCounts;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// At most one rejection per reason is logged in this interval; the metrics count all of them.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A certificate expires soon in the last tenth of its lifetime.
const EXPIRY_WARNING_DIVISOR: u64 = 10;
/// Upper limit of the time before expiry in which a certificate expires soon.
const MAX_EXPIRY_WARNING_MILLIS: u64 = 5_000;

/// Method by which rights refer to a resolver's look-up.
const LOOKUP_METHOD: &str = "LOOKUP";

/// The access that a caller requests.
#[derive(Clone, Copy)]
struct RequestedAccess<'a> {
    class: &'a str,
    method: &'a str,
    object: &'a str,
}

/// The last logged rejection for one reason, and the number of rejections since.
struct RejectionLog {
    logged_at: Instant,
    /// Rejections including the logged one; 0 if none has been logged.
    count: u64,
}

/// Admits callers under the version in force, and counts the outcomes.
pub(in crate::net) struct Admission {
    version: Arc<ActiveVersion>,
    metrics: Arc<Metrics>,
    rejection_logs: Mutex<HashMap<Reason, RejectionLog>>,
    /// Number of answered requests.
    requests: AtomicU64,
    /// Number of answered requests that failed.
    failed: AtomicU64,
}

impl Admission {
    pub(super) fn new(version: Arc<ActiveVersion>, metrics: Arc<Metrics>) -> Admission {
        Admission {
            version,
            metrics,
            rejection_logs: Mutex::default(),
            requests: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    /// Identifies the caller of a request and checks the caller's rights. Also returns the snapshot under which the
    /// decision was made.
    pub fn admit(
        &self,
        credentials: Credentials,
        class: &str,
        method: &str,
        object: &str,
    ) -> (Arc<Snapshot>, Result<Arc<Caller>, Reason>) {
        if !self.version.requires_admission()
            && let Some(snapshot) = self.version.snapshot_without_admission()
        {
            return (snapshot, Ok(Caller::anonymous()));
        }
        let began = Instant::now();
        let now = self.version.now();
        let (snapshot, identified) = {
            let state = &mut *self.version.state();
            let identified = match state.authority() {
                Ok(None) => Ok(Caller::anonymous()),
                Ok(Some(authority)) => authority.identify(credentials, now),
                Err(reason) => Err(reason),
            };
            (state.snapshot.clone(), identified)
        };
        (snapshot, self.decide(identified, began, RequestedAccess { class, method, object }))
    }

    /// Identifies the caller of a resolver's look-up by network address and checks the caller's rights.
    pub fn admit_network(&self, address: IpAddr, class: &str, object: &str) -> Result<Arc<Caller>, Reason> {
        if !self.version.requires_admission() {
            return Ok(Caller::anonymous());
        }
        let began = Instant::now();
        let identified = self.identify_network(address);
        self.decide(identified, began, RequestedAccess { class, method: LOOKUP_METHOD, object })
    }

    fn identify_network(&self, address: IpAddr) -> Result<Arc<Caller>, Reason> {
        match self.version.state().authority()? {
            Some(authority) => authority.identify_network(address),
            None => Ok(Caller::anonymous()),
        }
    }

    /// Returns whether the network of a resolver's address belongs to a tenant.
    pub fn knows_network(&self, address: IpAddr) -> bool {
        self.identify_network(address).is_ok()
    }

    fn decide(
        &self,
        identified: Result<Arc<Caller>, Reason>,
        began: Instant,
        RequestedAccess { class, method, object }: RequestedAccess<'_>,
    ) -> Result<Arc<Caller>, Reason> {
        let check_rights = |caller: Arc<Caller>| {
            if caller.may(class, method, object) {
                return Ok(caller);
            }
            tracing::debug!(tenant = %caller.tenant, class, method, "caller lacks the required right");
            Err(Reason::RightMissing)
        };
        let decision = identified.and_then(check_rights);
        self.metrics.decided(&decision, began.elapsed());
        if let Err(reason) = &decision {
            self.log_rejection(*reason);
        }
        decision
    }

    /// Logs a rejection, unless one for the same reason was logged within [`LOG_INTERVAL`].
    fn log_rejection(&self, reason: Reason) {
        let mut rejection_logs = lock(&self.rejection_logs);
        let log = rejection_logs
            .entry(reason)
            .or_insert_with(|| RejectionLog { logged_at: Instant::now(), count: 0 });
        if log.logged_at.elapsed() < LOG_INTERVAL && log.count > 0 {
            log.count += 1;
            return;
        }
        let not_logged_before = log.count.saturating_sub(1);
        *log = RejectionLog { logged_at: Instant::now(), count: 1 };
        drop(rejection_logs);
        tracing::info!(reason = reason.label(), not_logged_before, "refused for who called");
    }

    /// Counts an answered request. A control service judges a version by these counts.
    pub fn count(&self, failed: bool) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.failed.fetch_add(u64::from(failed), Ordering::Relaxed);
    }

    /// Returns the number of answered requests, and of those that failed.
    pub fn counts(&self) -> RequestCounts {
        RequestCounts {
            requests: self.requests.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }

    /// Returns whether a connection's certificate still identifies its caller.
    pub fn is_certificate_valid(&self, presented: &Presented) -> bool {
        let now = self.version.now();
        match self.version.state().authority() {
            Ok(Some(authority)) => authority.is_certificate_valid(presented, now),
            Ok(None) => true,
            Err(_) => false,
        }
    }

    /// Returns whether a certificate expires so soon that its connection should be replaced: in the last tenth of its
    /// lifetime, limited to 5 s.
    pub fn expires_soon(&self, presented: &Presented) -> bool {
        let lifetime = presented.not_after.saturating_sub(presented.not_before);
        self.version.now().unix + (lifetime / EXPIRY_WARNING_DIVISOR).min(MAX_EXPIRY_WARNING_MILLIS)
            >= presented.not_after
    }

    /// Identifies the operator who calls. Returns `None` if operators are not identified.
    pub fn identify_operator(&self, credentials: Credentials) -> Result<Option<OperatorCaller>, Reason> {
        let now = self.version.now();
        match self.version.state().authority()? {
            Some(authority) if authority.has_operators() => {
                authority.identify_operator(credentials, now).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Returns all metrics as OpenMetrics text.
    pub fn metrics_text(&self) -> String {
        if let Some(report) = self.version.report() {
            self.metrics.identity(&report, self.version.now().unix);
        }
        self.metrics.text()
    }
}
