//! HTTP calls to relays.

use crate::commands::error::NegativeDuration;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use ureq::http::StatusCode;

/// Timeout of connecting to a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit of an answer: enough for the status of some ten thousand subscribers.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Error of a command to the relays.
#[derive(Debug, Error)]
pub enum FeedError {
    /// An option's duration is negative.
    #[error(transparent)]
    Duration(#[from] NegativeDuration),
    /// A relay answered with an error or with invalid JSON.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// Every relay is unreachable or overloaded.
    #[error("{}", ErrorLines(.0))]
    NoRelay(Vec<RelayError>),
}

/// Error of a call to one relay.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The relay can't be reached, or its answer is truncated, too long or too late.
    #[error("{relay}: {source}")]
    Call {
        /// Address of the relay.
        relay: SocketAddr,
        /// Error of the HTTP client.
        source: ureq::Error,
    },
    /// The relay answered with an error status.
    #[error("{relay}: {} {}", .status.as_u16(), .answer.trim())]
    Status {
        /// Address of the relay.
        relay: SocketAddr,
        /// HTTP status of the answer.
        status: StatusCode,
        /// Body of the answer, which is a message for operators.
        answer: String,
    },
    /// The answer is not valid JSON.
    #[error("{relay}: expected a JSON answer: {source}")]
    NotJson {
        /// Address of the relay.
        relay: SocketAddr,
        /// Error of the JSON parser, with its position.
        source: serde_json::Error,
    },
}

impl RelayError {
    /// Whether the next relay is to be called, because this one did not answer or is overloaded.
    fn is_unavailable(&self) -> bool {
        match self {
            RelayError::Call { .. } => true,
            RelayError::Status { status, .. } => *status == StatusCode::SERVICE_UNAVAILABLE,
            RelayError::NotJson { .. } => false,
        }
    }
}

/// Displays errors one per line.
struct ErrorLines<'a>(&'a [RelayError]);

impl fmt::Display for ErrorLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(RelayError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// HTTP method of a call.
#[derive(Clone, Copy)]
pub enum Method {
    Get,
    Post,
}

/// HTTP request that any relay can answer.
pub struct RelayCall {
    pub method: Method,
    /// Path and query of the URL.
    pub path: String,
    /// Timeout of the complete call, including the connection.
    pub timeout: Duration,
}

impl RelayCall {
    /// Calls the relays in order until one answers. An overloaded relay counts as unavailable.
    pub fn first_answer(&self, relays: &[SocketAddr]) -> Result<Value, FeedError> {
        let mut unavailable = Vec::new();
        for relay in relays {
            match self.send(*relay) {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_unavailable() => unavailable.push(error),
                Err(error) => return Err(error.into()),
            }
        }
        Err(FeedError::NoRelay(unavailable))
    }

    fn send(&self, relay: SocketAddr) -> Result<Value, RelayError> {
        let (status, body) = self.exchange(relay).map_err(|source| RelayError::Call { relay, source })?;
        if status != StatusCode::OK {
            return Err(RelayError::Status { relay, status, answer: body });
        }
        serde_json::from_str(&body).map_err(|source| RelayError::NotJson { relay, source })
    }

    fn exchange(&self, relay: SocketAddr) -> Result<(StatusCode, String), ureq::Error> {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(self.timeout))
            .http_status_as_error(false)
            .max_redirects(0)
            .build();
        let agent = ureq::Agent::new_with_config(config);
        let url = format!("http://{relay}{}", self.path);
        let mut response = match self.method {
            Method::Get => agent.get(&url).call(),
            Method::Post => agent.post(&url).send_empty(),
        }?;
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_string()?;
        Ok((response.status(), body))
    }
}
