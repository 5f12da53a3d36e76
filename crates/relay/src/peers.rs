//! Fetches the reports of peer relays, which state the offsets that their subscribers have acknowledged.

use crate::client::HttpClient;
use crate::state::{State, increment};
use sagearch_feed::relay::report::Report;
use sagearch_operators::relay::Peer;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::MissedTickBehavior;

/// The interval at which each peer relay's report is fetched.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout for fetching a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// An error of fetching a peer relay's report.
#[derive(Debug, Error)]
enum ReportError {
    #[error("the call timed out")]
    TimedOut,
    #[error(transparent)]
    Call(#[from] crate::client::CallError),
    #[error("the report is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the report is from another relay: {0:?}")]
    UnexpectedRelay(String),
}

/// Fetches and applies the reports of one peer relay for as long as the relay runs.
pub async fn poll_reports(state: Arc<State>, peer: Peer, client: HttpClient) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_failure: Option<String> = None;
    loop {
        interval.tick().await;
        let result = fetch_report(&peer, &client).await.map(|report| apply_report(&state, &peer, &report));
        log_change(&state, &peer, result, &mut last_failure);
    }
}

async fn fetch_report(peer: &Peer, client: &HttpClient) -> Result<Report, ReportError> {
    let call = client.get(peer.address, "/feed/report");
    let answer = tokio::time::timeout(REPORT_TIMEOUT, call).await.map_err(|_| ReportError::TimedOut)??;
    let report: Report = serde_json::from_slice(&answer.body)?;
    if report.relay == peer.name { Ok(report) } else { Err(ReportError::UnexpectedRelay(report.relay)) }
}

fn apply_report(state: &State, peer: &Peer, report: &Report) {
    let mut locked = state.lock();
    let now = state.clock.now();
    locked.relay.apply_peer_report(now, &peer.name, report);
}

/// Logs a failure if it differs from the previous one, and the first success after a failure.
fn log_change(
    state: &State,
    peer: &Peer,
    result: Result<(), ReportError>,
    last_failure: &mut Option<String>,
) {
    match result {
        Ok(()) => {
            increment(&state.counters.reports_heard, 1);
            if last_failure.take().is_some() {
                tracing::info!(peer = peer.name, "peer relay reports again");
            }
        }
        Err(error) => {
            increment(&state.counters.report_failures, 1);
            let cause = error.to_string();
            if last_failure.as_ref() != Some(&cause) {
                tracing::warn!(peer = peer.name, cause, "can't fetch the peer relay's report");
                *last_failure = Some(cause);
            }
        }
    }
}
