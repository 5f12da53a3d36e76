//! The HTTP router and its handlers: polls, reports, status, wait, forget and metrics.

use crate::admission::Admission;
use crate::chain::FEED_VIA;
use crate::metrics;
use crate::state::{PollOutcome, State, increment};
use crate::status::RelayStatus;
use axum::extract::{Extension, Query, RawQuery, State as Shared};
use axum::http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use axum::{Router, body::Body};
use bytes::Bytes;
use sagearch_feed::message::Poll;
use sagearch_feed::relay::SharedBody;
use sagearch_feed::relay::report::CompletionReason;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// The maximum number of concurrent calls to `/feed/wait`.
const MAX_CONCURRENT_WAITS: usize = 16;
/// The longest `within_ms` of a call to `/feed/wait`.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// The interval at which a call to `/feed/wait` checks whether its event is complete.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The client at the other end of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// The client's IP address.
    pub address: IpAddr,
}

/// State that is shared by all handlers.
#[derive(Clone)]
pub struct Context {
    state: Arc<State>,
    wait_permits: Arc<Semaphore>,
    admission: Arc<Admission>,
}

/// Builds the router for a relay's HTTP calls.
pub fn router(state: Arc<State>, admission: Arc<Admission>) -> Router {
    let context = Context { state, wait_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_WAITS)), admission };
    Router::new()
        .route("/bus/read", get(poll_events))
        .route("/feed/report", get(report))
        .route("/feed/status", get(status))
        .route("/feed/wait", get(wait))
        .route("/feed/forget", post(forget))
        .route("/metrics", get(openmetrics))
        .with_state(context)
}

async fn poll_events(
    Shared(context): Shared<Context>,
    Extension(caller): Extension<Caller>,
    RawQuery(query): RawQuery,
) -> Response {
    let state = &context.state;
    let poll = match Poll::parse(query.as_deref().unwrap_or_default()) {
        Ok(poll) => poll,
        Err(error) => return invalid_poll_response(state, &error),
    };
    match state.poll(caller.address, poll).await {
        PollOutcome::Answered(body) => answer_response(state, body),
        PollOutcome::Busy { retry_after_ms } => {
            increment(&state.counters.busy, 1);
            busy_response(retry_after_ms)
        }
        PollOutcome::Invalid(error) => invalid_poll_response(state, &error),
        PollOutcome::ShuttingDown => shutting_down_response(),
    }
}

fn invalid_poll_response(state: &State, error: &dyn std::error::Error) -> Response {
    increment(&state.counters.bad, 1);
    bad_request(&error.to_string())
}

fn answer_response(state: &State, body: SharedBody) -> Response {
    increment(&state.counters.answers, 1);
    increment(&state.counters.answer_bytes, body.len() as u64);
    let mut headers = HeaderMap::with_capacity(2);
    headers.insert(CONTENT_TYPE, JSON);
    headers.insert(FEED_VIA, state.chain_header());
    (headers, Body::from(Bytes::from_owner(body))).into_response()
}

fn busy_response(retry_after_ms: u64) -> Response {
    let mut headers = HeaderMap::with_capacity(2);
    headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
    headers.insert(RETRY_AFTER_MS, retry_after_ms.into());
    (StatusCode::SERVICE_UNAVAILABLE, headers, "busy\n").into_response()
}

fn shutting_down_response() -> Response {
    let mut response = busy_response(0);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn bad_request(cause: &str) -> Response {
    (StatusCode::BAD_REQUEST, format!("{cause}\n")).into_response()
}

async fn report(Shared(context): Shared<Context>) -> Response {
    let state = &context.state;
    let report = state.lock().relay.report(state.clock.now());
    Json(report).into_response()
}

#[derive(Deserialize)]
struct StatusQuery {
    offset: Option<u64>,
}

async fn status(Shared(context): Shared<Context>, Query(query): Query<StatusQuery>) -> Response {
    Json(context.relay_status(query.offset)).into_response()
}

async fn openmetrics(Shared(context): Shared<Context>) -> Response {
    match metrics::encode_status(&context.relay_status(None)) {
        Ok(text) => ([(CONTENT_TYPE, metrics::CONTENT_TYPE)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

impl Context {
    fn relay_status(&self, offset: Option<u64>) -> RelayStatus {
        RelayStatus::read(&self.state, &self.admission, offset)
    }
}

#[derive(Deserialize)]
struct WaitQuery {
    offset: u64,
    within_ms: u64,
}

/// The answer to `/feed/wait`: whether the event at an offset is complete.
#[derive(Serialize)]
struct WaitAnswer {
    done: bool,
    offset: u64,
    by: Option<CompletionReason>,
    /// The time from when the relay received the event until it was found complete.
    took_ms: Option<u64>,
    watermark: u64,
}

async fn wait(Shared(context): Shared<Context>, Query(query): Query<WaitQuery>) -> Response {
    let within = Duration::from_millis(query.within_ms);
    if within > MAX_WAIT {
        return bad_request(&format!("within_ms is over {}", MAX_WAIT.as_millis()));
    }
    let Ok(_permit) = context.wait_permits.try_acquire() else { return busy_response(1_000) };
    let deadline = Instant::now() + within;
    while !context.is_complete(query.offset) && Instant::now() < deadline && !context.state.is_shutting_down()
    {
        tokio::time::sleep(WAIT_POLL_INTERVAL).await;
    }
    Json(context.wait_answer(query.offset)).into_response()
}

impl Context {
    fn is_complete(&self, offset: u64) -> bool {
        self.state.lock().relay.completion(self.state.clock.now(), offset).is_some()
    }

    fn wait_answer(&self, offset: u64) -> WaitAnswer {
        let locked = self.state.lock();
        let now = self.state.clock.now();
        let completion = locked.relay.completion(now, offset);
        WaitAnswer {
            done: completion.is_some(),
            offset,
            by: completion.map(|completion| completion.reason),
            took_ms: completion.map(|completion| completion.elapsed_ms),
            watermark: locked.relay.status(now).watermark,
        }
    }
}

#[derive(Deserialize)]
struct ForgetQuery {
    name: String,
}

#[derive(Serialize)]
struct ForgetAnswer {
    name: String,
    forgotten: bool,
}

async fn forget(Shared(context): Shared<Context>, Query(query): Query<ForgetQuery>) -> Response {
    let forgotten = context.state.lock().relay.forget(&query.name);
    tracing::info!(subscriber = query.name, forgotten, "a subscriber is to be forgotten");
    Json(ForgetAnswer { name: query.name, forgotten }).into_response()
}
