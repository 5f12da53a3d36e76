//! One client's request, with all its tries.

use super::http::{HttpAnswer, RequestFields, parse, request};
use super::{Clients, Route};
use crate::arrivals::{Arrival, Class};
use crate::harness::sync::lock;
use crate::object_body;
use crate::outcome::{Outcome, OutcomeKind};
use crate::trace::{EventKind, Micros};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A client stays for a little longer than it says, as each time limit of the platform is longer by this.
const GRACE: Duration = Duration::from_millis(50);
/// With less time left, a client tries no more.
const MIN_TIMEOUT: Duration = Duration::from_millis(20);
/// Before another gateway is tried, where one took no connection.
const NEXT_GATEWAY_DELAY: Duration = Duration::from_millis(20);
/// How long to stay away after a refusal that does not say.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Spreads the numbers of requests over all 64 bits: the golden ratio.
const ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const READ_BYTES: usize = 16 * 1024;

/// How one try ended.
enum Try {
    Served,
    /// With how long to stay away.
    Refused(Duration),
    Failed,
    /// The connection ended without an answer.
    Broken,
    TimedOut,
    /// No gateway took it.
    NotSent,
}

/// What follows from a try.
enum Next {
    Stop,
    Retry,
    RetryAfter(Duration),
}

/// A request over its tries.
struct RequestState {
    arrival: Arrival,
    /// When the client stops waiting.
    deadline: Instant,
    idempotency_key: u128,
    random: Pcg64Mcg,
    outcome: OutcomeKind,
    /// A gateway that is not to be tried next.
    avoided: Option<usize>,
}

/// A request on its way to one gateway.
struct Exchange<'a> {
    arrival: &'a Arrival,
    route: Route,
    id: u64,
    deadline: Instant,
}

impl RequestState {
    fn after(&mut self, gateway: usize, ended: &Try) -> Next {
        match ended {
            Try::Served => self.stop(OutcomeKind::Served),
            Try::Refused(away) => {
                self.outcome = OutcomeKind::Refused;
                let spread = away.mul_f64(self.random.random_range(0.5..1.5));
                if Instant::now() + spread >= self.deadline { Next::Stop } else { Next::RetryAfter(spread) }
            }
            Try::NotSent => {
                self.avoided = Some(gateway);
                Next::RetryAfter(NEXT_GATEWAY_DELAY)
            }
            // What may have run is asked again only where that does no harm.
            Try::Failed | Try::Broken if self.arrival.class == Class::Pay => self.stop(OutcomeKind::Failed),
            Try::Failed => {
                self.outcome = OutcomeKind::Failed;
                Next::Retry
            }
            Try::Broken => {
                self.outcome = OutcomeKind::Broken;
                self.avoided = Some(gateway);
                Next::Retry
            }
            Try::TimedOut => self.stop(OutcomeKind::TimedOut),
        }
    }

    fn stop(&mut self, outcome: OutcomeKind) -> Next {
        self.outcome = outcome;
        Next::Stop
    }
}

impl Clients {
    /// Asks for one arrival, with all its tries, and keeps the outcome.
    pub(super) async fn request(&self, arrival: Arrival, due: Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(self.context.seed ^ arrival.client ^ arrival.at);
        let idempotency_key = random.random();
        let at = arrival.at;
        let deadline = due + self.patience;
        let (outcome, avoided) = (OutcomeKind::NoGateway, None);
        let mut state = RequestState { arrival, deadline, idempotency_key, random, outcome, avoided };
        let mut tries = 0;
        while tries < self.max_tries {
            let Some(gateway) = self.gateway(&state.arrival, state.avoided) else { break };
            tries += 1;
            if state.deadline.saturating_duration_since(Instant::now()) < MIN_TIMEOUT {
                break;
            }
            let ended = self.try_once(&state, gateway).await;
            match state.after(gateway, &ended) {
                Next::Stop => break,
                Next::Retry => {}
                Next::RetryAfter(delay) => tokio::time::sleep(delay).await,
            }
        }
        let took = due.elapsed().as_micros() as Micros;
        lock(&self.outcomes).push(Outcome { at, kind: state.outcome, took, tries });
    }

    /// One try at one gateway, on an idle connection if there is one.
    async fn try_once(&self, state: &RequestState, gateway: usize) -> Try {
        let route = Route { clients: self.sites[state.arrival.site].clients, gateway };
        let Some(address) = self.addresses.get(&route).copied() else { return Try::NotSent };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed).wrapping_mul(ID_MULTIPLIER);
        let exchange = Exchange { arrival: &state.arrival, route, id, deadline: state.deadline };
        let mut idle = self.idle.take(route);
        loop {
            let is_new = idle.is_none();
            let stream = match idle.take() {
                Some(stream) => stream,
                None => match tokio::time::timeout_at(state.deadline, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => stream,
                    _ => return Try::NotSent,
                },
            };
            // Without it small messages would be late by the socket's own delay.
            let _ = stream.set_nodelay(true);
            match self.exchange(&exchange, stream, state.idempotency_key).await {
                // It crossed the close of a connection that was idle: once more, on a new one.
                None if !is_new => self.context.recorder.record(EventKind::Withdrawn { id }),
                None => return self.broken(id),
                Some(ended) => return ended,
            }
        }
    }

    fn broken(&self, id: u64) -> Try {
        self.context.recorder.record(EventKind::Broke { id });
        Try::Broken
    }

    /// `None`: the connection ended and no byte of an answer had come.
    async fn exchange(&self, exchange: &Exchange<'_>, mut stream: TcpStream, key: u128) -> Option<Try> {
        let timeout = exchange.deadline.saturating_duration_since(Instant::now());
        let (id, part_bytes) = (exchange.id, self.part_bytes);
        let fields = RequestFields { id, timeout, idempotency_key: key, part_bytes };
        let bytes = request(exchange.arrival, &fields);
        // Taken before it is written: on a busy machine its answer may come before this task goes on.
        let asked = self.context.relay.now();
        let wait = exchange.deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let written = tokio::time::timeout_at(exchange.deadline, stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return Some(Try::NotSent);
        }
        self.record_asked(exchange, asked, wait);
        self.read_answer(exchange, stream).await
    }

    fn record_asked(&self, exchange: &Exchange<'_>, at: Micros, wait: Micros) {
        let arrival = exchange.arrival;
        self.context.recorder.record_at(
            at,
            EventKind::Asked {
                id: exchange.id,
                gateway: self.gateways[exchange.route.gateway].id,
                clients: exchange.route.clients,
                effect: arrival.class.effect(),
                object: arrival.object.clone(),
                part: arrival.part.to_string(),
                wait,
                fresh: arrival.class.fresh(),
            },
        );
    }

    async fn read_answer(&self, exchange: &Exchange<'_>, mut stream: TcpStream) -> Option<Try> {
        let (id, recorder) = (exchange.id, &self.context.recorder);
        let (mut bytes, mut piece) = (Vec::new(), vec![0; READ_BYTES]);
        let until = exchange.deadline + GRACE;
        loop {
            match tokio::time::timeout_at(until, stream.read(&mut piece)).await {
                Err(_) => {
                    recorder.record(EventKind::Left { id });
                    return Some(Try::TimedOut);
                }
                Ok(Ok(0) | Err(_)) if bytes.is_empty() => return None,
                Ok(Ok(0) | Err(_)) => return Some(self.broken(id)),
                Ok(Ok(read)) => bytes.extend_from_slice(&piece[..read]),
            }
            match parse(&bytes) {
                Ok(None) => {}
                Ok(Some(answer)) => {
                    let ended = self.answered(id, &answer);
                    if answer.keep_alive {
                        self.idle.put(exchange.route, stream);
                    }
                    return Some(ended);
                }
                Err(_) => {
                    let (status, retry_after, body, whole) = (0, false, None, false);
                    recorder.record(EventKind::Answered { id, status, retry_after, body, whole });
                    return Some(Try::Failed);
                }
            }
        }
    }

    fn answered(&self, id: u64, answer: &HttpAnswer) -> Try {
        let body = if answer.status == 200 { object_body::read(&answer.body) } else { None };
        let (status, retry_after) = (answer.status, answer.retry_after.is_some());
        self.context.recorder.record(EventKind::Answered { id, status, retry_after, body, whole: true });
        match status {
            200 | 304 => Try::Served,
            429 | 503 => Try::Refused(answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            _ => Try::Failed,
        }
    }
}
