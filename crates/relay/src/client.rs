//! The HTTP client for upstreams and peer relays. It returns complete answers of bounded size only.

use crate::chain::{Chain, FEED_VIA};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self as client, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sagearch_feed::Micros;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error as ThisError;

/// The maximum size of a body; a snapshot of thousands of stores with all purges fits.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest backoff that an upstream can request; a longer Retry-After is capped to it.
const MAX_RETRY_AFTER_MILLIS: u64 = 10_000;

/// An HTTP client with a connection pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

/// A complete answer with status 200.
pub struct HttpAnswer {
    /// The answer's body.
    pub body: Bytes,
    /// The relay chain of the answer's `Feed-Via` header.
    pub chain: Chain,
}

/// An error of reading a body: that of the connection, or [`LengthLimitError`].
type BodyError = Box<dyn Error + Send + Sync>;

/// An error of a call without a complete answer of status 200.
#[derive(Debug, ThisError)]
pub enum CallError {
    /// The server's address and the path don't form a valid request.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] http::Error),
    /// The connection could not be opened.
    #[error("can't connect: {}", root_cause(.0))]
    Unreachable(#[source] client::Error),
    /// The connection was closed before the answer.
    #[error("the connection was lost: {}", root_cause(.0))]
    ConnectionLost(#[source] client::Error),
    /// The answer has a status other than 200.
    #[error("answered with status {status}")]
    UnexpectedStatus {
        /// The answer's status.
        status: StatusCode,
        /// The backoff that the answer requests, if any.
        retry_after: Option<Micros>,
    },
    /// The body ended before its full length.
    #[error("the answer is truncated: {0}")]
    Truncated(#[source] BodyError),
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the answer is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
}

impl CallError {
    fn from_client(error: client::Error) -> CallError {
        if error.is_connect() { CallError::Unreachable(error) } else { CallError::ConnectionLost(error) }
    }

    fn from_body(error: BodyError) -> CallError {
        if error.is::<LengthLimitError>() { CallError::TooLong } else { CallError::Truncated(error) }
    }
}

impl HttpClient {
    /// A client with an empty connection pool.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a GET request for an absolute path, `/...`, to a server.
    ///
    /// # Errors
    /// [`CallError`] if there is no complete answer of status 200.
    pub async fn get(&self, server: SocketAddr, path: &str) -> Result<HttpAnswer, CallError> {
        let request = Request::get(format!("http://{server}{path}")).body(Empty::new())?;
        let response = self.client.request(request).await.map_err(CallError::from_client)?;
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Err(CallError::UnexpectedStatus {
                status: head.status,
                retry_after: retry_after(&head.headers),
            });
        }
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(CallError::from_body)?;
        let via_header = head.headers.get(FEED_VIA).and_then(|value| value.to_str().ok());
        Ok(HttpAnswer { body: body.to_bytes(), chain: Chain::parse(via_header) })
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new()
    }
}

/// The root cause, such as "connection refused"; the outer errors only say that a call failed.
fn root_cause(error: &client::Error) -> &dyn Error {
    let mut cause: &dyn Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause
}

/// The backoff that an answer requests: `Retry-After-Ms`, or else `Retry-After` in whole seconds.
fn retry_after(headers: &HeaderMap) -> Option<Micros> {
    let header_number = |name: &str| headers.get(name)?.to_str().ok()?.trim().parse::<u64>().ok();
    let millis = header_number("retry-after-ms")
        .or_else(|| Some(header_number("retry-after")?.saturating_mul(1_000)))?;
    Some(millis.min(MAX_RETRY_AFTER_MILLIS) * 1_000)
}
