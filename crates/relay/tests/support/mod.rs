//! Test support: a fake event bus, subscribers, and relays in the test process, all on loopback addresses.
#![allow(dead_code, reason = "each test file uses only some of the items")]

#[path = "../../../../tests/stand/ports.rs"]
pub mod ports;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use sagearch_operators::OneFile;
use sagearch_operators::relay::{RelayFile, relay};
use sagearch_relay::RunningRelay;
use sagearch_relay::client::{CallError, HttpClient};
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// The timeout of an awaited condition; long, as the machine that runs the tests may be busy.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The behaviour of the fake event bus towards polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BusMode {
    /// Answers each poll.
    Answering,
    /// Answers each poll with status 500.
    Failing,
    /// Accepts polls and never answers them.
    Silent,
}

struct BusState {
    feed: Option<String>,
    events: Vec<Value>,
    mode: BusMode,
}

/// A fake event bus: answers long polls with numbered events, of which the first is a topology of one store.
#[derive(Clone)]
pub struct FakeBus {
    pub address: SocketAddr,
    state: Arc<Mutex<BusState>>,
    changed: Arc<watch::Sender<u64>>,
    polls: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct PollQuery {
    from: u64,
    hold: u64,
}

pub fn store(name: &str, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "z1", "machineType": "cache", "cell": 0,
        "lifecycle": lifecycle, "weight": 8.0, "startedAtMs": 0})
}

impl FakeBus {
    /// Starts a fake event bus. Without `feed`, its answers carry no feed identity.
    pub async fn start(feed: Option<&str>) -> FakeBus {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = BusState { feed: None, events: Vec::new(), mode: BusMode::Answering };
        let bus = FakeBus {
            address,
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::channel(0).0),
            polls: Arc::default(),
        };
        bus.restart_with_empty_log(feed);
        let router = Router::new().route("/bus/read", get(read)).with_state(bus.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        bus
    }

    /// Drops all events and restarts the offsets at 1, with a topology of one store.
    pub fn restart_with_empty_log(&self, feed: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.feed = feed.map(str::to_string);
        state.events.clear();
        drop(state);
        self.publish(
            json!({"topology": {"generation": 1, "reset": true, "instances": [store("store-1", "up")]}}),
        );
    }

    /// Appends an event and returns its offset.
    pub fn publish(&self, mut event: Value) -> u64 {
        let mut state = self.state.lock().unwrap();
        let offset = state.events.len() as u64 + 1;
        event["offset"] = offset.into();
        state.events.push(event);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        offset
    }

    /// Publishes a purge and returns its offset.
    pub fn purge(&self, tag: u64) -> u64 {
        self.publish(json!({"ban": {"tag": tag, "ts": 1_000 + tag}}))
    }

    /// Publishes a topology with a draining store and returns its offset.
    pub fn drain(&self, name: &str) -> u64 {
        let instances = [store(name, "draining")];
        self.publish(json!({"topology": {"generation": 2, "reset": false, "instances": instances}}))
    }

    pub fn set_mode(&self, mode: BusMode) {
        self.state.lock().unwrap().mode = mode;
        self.changed.send_modify(|count| *count += 1);
    }

    /// The events after an offset, as published.
    pub fn events_after(&self, from: u64) -> Vec<Value> {
        self.state.lock().unwrap().events.iter().skip(from as usize).cloned().collect()
    }

    /// The offset of the last event.
    pub fn last(&self) -> u64 {
        self.state.lock().unwrap().events.len() as u64
    }

    /// The number of polls received.
    pub fn polls(&self) -> u64 {
        self.polls.load(Ordering::SeqCst)
    }

    /// The mode, and the answer to a poll from this offset if there are newer events.
    fn read_after(&self, from: u64) -> (BusMode, Option<Value>) {
        let state = self.state.lock().unwrap();
        let batch: Vec<&Value> = state.events.iter().skip(from as usize).collect();
        let body = (!batch.is_empty()).then(|| state.body(&batch));
        (state.mode, body)
    }
}

impl BusState {
    fn body(&self, batch: &[&Value]) -> Value {
        let mut body = json!({"offset": self.events.len(), "batch": batch});
        if let Some(feed) = &self.feed {
            body["feed"] = json!(feed);
        }
        body
    }
}

async fn read(State(bus): State<FakeBus>, Query(query): Query<PollQuery>) -> Response {
    bus.polls.fetch_add(1, Ordering::SeqCst);
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.hold);
    let mut changed = bus.changed.subscribe();
    loop {
        let (mode, new_events) = bus.read_after(query.from);
        match (mode, new_events) {
            (BusMode::Failing, _) => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
            (BusMode::Silent, _) => std::future::pending().await,
            (BusMode::Answering, Some(body)) => return Json(body).into_response(),
            (BusMode::Answering, None) => {}
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            let state = bus.state.lock().unwrap();
            return Json(state.body(&[])).into_response();
        }
    }
}

/// The configuration file of a relay without peers, on a free port. `properties` is the text after the listen address.
pub fn relay_file(name: &str, upstreams: &[SocketAddr], properties: &str) -> RelayFile {
    relay_file_with(name, "127.0.0.1:0".parse().unwrap(), upstreams, &[], properties)
}

/// The configuration file of a relay with a listen address, upstreams and named peer relays.
pub fn relay_file_with(
    name: &str,
    listen: SocketAddr,
    upstreams: &[SocketAddr],
    peers: &[(&str, SocketAddr)],
    properties: &str,
) -> RelayFile {
    let upstreams = upstreams.iter().map(|address| format!("    upstream \"{address}\"\n"));
    let peers = peers.iter().map(|(name, address)| format!("    peer \"{name}\" \"{address}\"\n"));
    let lines: Vec<String> = upstreams.chain(peers).collect();
    let text = format!("relay \"{name}\" listen=\"{listen}\" {properties} {{\n{}}}\n", lines.concat());
    relay("relay.kdl", &OneFile { name: "relay.kdl", text: &text })
        .unwrap_or_else(|diagnostics| panic!("{diagnostics}"))
}

pub fn start(file: &RelayFile) -> RunningRelay {
    RunningRelay::start(file).unwrap()
}

/// A subscriber, such as a gateway: polls a relay and applies its answers.
pub struct Subscriber {
    client: HttpClient,
    pub relay: SocketAddr,
    pub name: String,
    pub incarnation: u64,
    pub from: u64,
    pub feed: Option<String>,
}

impl Subscriber {
    pub fn new(relay: SocketAddr, name: &str) -> Subscriber {
        Subscriber {
            client: HttpClient::new(),
            relay,
            name: name.to_string(),
            incarnation: 1,
            from: 0,
            feed: None,
        }
    }

    /// Sends one poll without applying its answer, so that the next poll does not acknowledge it.
    pub async fn send_poll(&self, hold_ms: u64) -> Result<Value, CallError> {
        let feed = self.feed.as_ref().map_or(String::new(), |feed| format!("&feed={feed}"));
        let identity = format!("&name={}&incarnation={}", self.name, self.incarnation);
        let path = format!("/bus/read?from={}&hold={hold_ms}{feed}{identity}", self.from);
        let answered = self.client.get(self.relay, &path).await?;
        Ok(serde_json::from_slice(&answered.body).unwrap())
    }

    /// Sends one poll and applies its answer.
    pub async fn poll(&mut self, hold_ms: u64) -> Result<Value, CallError> {
        let answer = self.send_poll(hold_ms).await?;
        self.apply(&answer);
        Ok(answer)
    }

    /// Applies an answer: the next poll acknowledges its offset.
    pub fn apply(&mut self, answer: &Value) {
        let feed = answer["feed"].as_str().map(str::to_string);
        let offset = answer["offset"].as_u64().unwrap();
        if answer["snapshot"] == true || offset > self.from {
            self.from = offset;
        }
        self.feed = feed;
    }

    /// Polls until an offset is applied. Returns the answers.
    pub async fn catch_up(&mut self, offset: u64) -> Vec<Value> {
        let started_at = Instant::now();
        let mut answers = Vec::new();
        while self.from < offset {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "timed out waiting for offset {offset}; the subscriber is at {}",
                self.from
            );
            match self.poll(100).await {
                Ok(answer) => answers.push(answer),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        answers
    }
}

/// The events of all answers, in order.
pub fn events(answers: &[Value]) -> Vec<Value> {
    answers.iter().flat_map(|answer| answer["batch"].as_array().unwrap().clone()).collect()
}

/// Waits until a condition holds; panics after [`TEST_TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "timed out waiting for {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Gets a path and returns the JSON body; panics if the status is not 200.
pub async fn get_json(relay: SocketAddr, path: &str) -> Value {
    let answered = HttpClient::new().get(relay, path).await.unwrap();
    serde_json::from_slice(&answered.body).unwrap()
}

/// Sends a request and reads until the server closes the connection or sends nothing for 2 s. Returns the bytes read.
pub async fn send_and_read(stream: &mut TcpStream, request: &str) -> String {
    // The server may refuse the connection before it has read the request.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(Ok(length)) = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut buffer)).await {
        if length == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends one request on a new connection and returns the whole answer.
pub async fn request(relay: SocketAddr, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(relay).await.unwrap();
    send_and_read(
        &mut stream,
        &format!("{method} {path} HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n"),
    )
    .await
}

/// Opens a connection from another loopback address.
pub async fn connect_from(address: &str, relay: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(format!("{address}:0").parse().unwrap()).unwrap();
    socket.connect(relay).await.unwrap()
}

/// Starts a stub server that answers each request with the same bytes and closes the connection, for malformed answers.
pub async fn start_stub_server(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let _ = stream.read(&mut buffer).await;
                let _ = stream.write_all(&answer).await;
            });
        }
    });
    address
}
