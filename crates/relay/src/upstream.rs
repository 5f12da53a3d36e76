//! Subscribes to the event bus or to another relay with one long poll at a time.

use crate::chain::{Chain, ChainError};
use crate::client::{CallError, HttpAnswer, HttpClient};
use crate::state::{State, increment};
use http::StatusCode;
use sagearch_feed::Micros;
use sagearch_feed::message::{Answer, Poll};
use sagearch_feed::relay::UpstreamAnswerError;
use sagearch_feed::subscription::{AcceptedAnswer, PollFailure, RejectedAnswer, Step, Subscription};
use std::collections::HashSet;
use std::mem::{Discriminant, discriminant};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// An error of a poll of an upstream.
#[derive(Debug, Error)]
enum PollError {
    #[error("the poll timed out")]
    TimedOut,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the answer is invalid: {0}")]
    InvalidAnswer(#[from] InvalidAnswer),
    #[error(transparent)]
    Chain(#[from] ChainError),
    #[error("the answer is rejected: {0}")]
    Rejected(#[from] RejectedAnswer),
}

/// An error in the content of a complete answer.
#[derive(Debug, Error)]
enum InvalidAnswer {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error(transparent)]
    NotApplicable(#[from] UpstreamAnswerError),
}

impl PollError {
    fn failure(&self) -> PollFailure {
        match self {
            PollError::TimedOut => PollFailure::TimedOut,
            PollError::Call(CallError::Unreachable(_) | CallError::InvalidRequest(_)) => {
                PollFailure::Unreachable
            }
            PollError::Call(CallError::ConnectionLost(_)) => PollFailure::ConnectionLost,
            PollError::Call(CallError::UnexpectedStatus {
                status: StatusCode::SERVICE_UNAVAILABLE,
                retry_after,
            }) => PollFailure::Refused { retry_after: *retry_after },
            _ => PollFailure::InvalidAnswer,
        }
    }
}

/// A decoded answer of an upstream, with the relay chain that includes this relay.
struct UpstreamAnswer {
    answer: Answer,
    chain: Chain,
}

/// Polls the upstreams and applies their answers: the relay's own subscription.
pub struct Follower {
    /// The relay's state, to which the answers are applied.
    pub state: Arc<State>,
    /// The state machine of the subscription, which schedules the polls.
    pub subscription: Subscription,
    /// The upstreams' addresses, in the order in which the subscription numbers its relays.
    pub upstreams: Vec<SocketAddr>,
    /// The HTTP client for the polls.
    pub client: HttpClient,
}

impl Follower {
    /// Polls the upstreams for as long as the relay runs.
    pub async fn run(mut self) {
        let mut logged_failures = LoggedFailures::default();
        loop {
            match self.subscription.next_step(self.state.clock.now()) {
                Step::Wait { until } => tokio::time::sleep_until(self.state.clock.instant(until)).await,
                Step::Poll { relay, poll, timeout } => {
                    let upstream = self.upstreams[relay];
                    let result = self.poll(upstream, &poll, timeout).await;
                    logged_failures.log(upstream, &result);
                }
            }
        }
    }

    /// Polls an upstream once. On success, the events of the answer have been applied.
    async fn poll(&mut self, upstream: SocketAddr, poll: &Poll, timeout: Micros) -> Result<(), PollError> {
        let sent_at = self.state.clock.now();
        let result = match self.send_poll(upstream, poll, timeout).await {
            Ok(answer) => self.apply_answer(upstream, sent_at, answer),
            Err(error) => {
                self.subscription.poll_failed(self.state.clock.now(), error.failure());
                Err(error)
            }
        };
        if let Err(error) = &result {
            let counters = &self.state.counters;
            increment(&counters.upstream_failures, 1);
            if matches!(error, PollError::Chain(ChainError::Loop(_))) {
                increment(&counters.loops_refused, 1);
            }
        }
        result
    }

    async fn send_poll(
        &self,
        upstream: SocketAddr,
        poll: &Poll,
        timeout: Micros,
    ) -> Result<UpstreamAnswer, PollError> {
        let path = poll.path();
        let call = self.client.get(upstream, &path);
        let HttpAnswer { body, chain } = tokio::time::timeout(Duration::from_micros(timeout), call)
            .await
            .map_err(|_| PollError::TimedOut)??;
        let chain = chain.prepended_with(&self.state.name)?;
        let answer = serde_json::from_slice(&body).map_err(InvalidAnswer::from)?;
        Ok(UpstreamAnswer { answer, chain })
    }

    /// Applies an answer: subscribers receive its events from now on, and the next poll acknowledges them.
    fn apply_answer(
        &mut self,
        upstream: SocketAddr,
        sent_at: Micros,
        upstream_answer: UpstreamAnswer,
    ) -> Result<(), PollError> {
        let UpstreamAnswer { answer, chain } = upstream_answer;
        let mut locked = self.state.lock();
        let now = self.state.clock.now();
        let accepted = self.subscription.poll_answered(now, sent_at, &answer.head)?;
        let as_of = match accepted {
            AcceptedAnswer::NoNewEvents => self.subscription.lease().as_of(),
            AcceptedAnswer::NewEvents { .. } | AcceptedAnswer::Snapshot => {
                self.subscription.unapplied_as_of()
            }
        };
        if let Err(not_applicable) = locked.relay.apply_upstream_answer(now, as_of, accepted, &answer) {
            let error = PollError::from(InvalidAnswer::from(not_applicable));
            self.subscription.poll_failed(now, error.failure());
            return Err(error);
        }
        self.subscription.events_applied(now);
        self.state.set_upstream(&mut locked, upstream, chain);
        self.state.wake_ticker(&locked);
        Ok(())
    }
}

/// Failures that have been logged: each kind of error is logged once for an upstream until it answers again.
#[derive(Default)]
struct LoggedFailures {
    logged: HashSet<(SocketAddr, Discriminant<PollError>)>,
}

impl LoggedFailures {
    fn log(&mut self, upstream: SocketAddr, result: &Result<(), PollError>) {
        match result {
            Ok(()) => {
                let previous_count = self.logged.len();
                self.logged.retain(|(failing_upstream, _)| *failing_upstream != upstream);
                if self.logged.len() < previous_count {
                    tracing::info!(%upstream, "the upstream answers again");
                }
            }
            Err(error) => {
                if self.logged.insert((upstream, discriminant(error))) {
                    tracing::warn!(%upstream, cause = %error, "the upstream brings nothing");
                }
            }
        }
    }
}
