//! Notifies operators of the state of streamed versions through log lines and counters.

use crate::metrics::Metrics;
use sagearch_stream::subscriber::Notice;
use std::time::Instant;

/// Logs and counts a notice of the subscriber. `assembled_at` is when the version that is being applied had been
/// received completely.
pub(super) fn report(notice: Notice, metrics: &Metrics, assembled_at: Instant) {
    match notice {
        Notice::InForce(id) => {
            let apply_duration = assembled_at.elapsed();
            metrics.version("in_force", Some(apply_duration));
            tracing::info!(version = %id, ms = apply_duration.as_millis() as u64, "control: in force");
        }
        Notice::Rejected(id, reason) => {
            metrics.version("turned_down", None);
            tracing::error!(version = %id, cause = reason.to_string(), "control: turned down");
        }
        Notice::Skipped(id) => {
            metrics.version("skipped", None);
            tracing::info!(version = %id, "control: version skipped in favor of a newer one");
        }
        Notice::Conflict { current, offered } => {
            tracing::error!(held = %current, %offered, "control: two services disagree about a version");
        }
        Notice::StoreFailed(id, error) => {
            let cause = error.to_string();
            tracing::error!(version = %id, cause, "control: in force, and not on the disk; stored again");
        }
        Notice::StoredOnRetry(id) => tracing::info!(version = %id, "control: on the disk now"),
    }
}
