//! Injected failures of system calls, with the errnos that Linux documents: the gateway still answers each request.

#[path = "stand/identity.rs"]
mod identity_stand;
mod stand;
use identity_stand::*;
use rstest::rstest;
use sagearch::consensus::{ProposeError, propose};
use sagearch_faults::{Call, FaultPlan, Injector};
use serde_json::json;
use stand::*;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Requests of all clients together in a case; the environment variable `SYSTEM_CALL_REQUESTS` overrides it.
const REQUESTS: u64 = 400;
const CLIENTS: u64 = 16;
/// The pause between two requests of a client, in which its connection is idle.
const PAUSE: Duration = Duration::from_millis(5);
/// A client opens a new connection after this many requests.
const REQUESTS_PER_CONNECTION: u64 = 5;
/// The store closes its connection after one answer in this many.
const ANSWERS_PER_STORE_CLOSE: u64 = 4;
const DEADLINE_MS: u64 = 2_500;

/// A store that closes some of its connections, so that the gateway has to reconnect.
fn store() -> Store {
    let answered = AtomicU64::new(0);
    Store::new(1, move |line, _| {
        let id = line.split(' ').nth(1).unwrap_or_default();
        match answered.fetch_add(1, Ordering::SeqCst) % ANSWERS_PER_STORE_CLOSE {
            0 => Do::Break(format!("{id} ok res=TCP_HIT,etag=e1,made=1 1\r\nx\r\n").into_bytes()),
            _ => ok(b"x"),
        }
    })
}

/// A client that reuses its connection until the gateway closes it.
struct Client {
    address: SocketAddr,
    connection: Option<TcpStream>,
}

impl Client {
    /// Sends a request and returns the status of its answer, or `None` if there was no answer.
    fn ask(&mut self, id: u64) -> Option<u16> {
        let text = request(&format!("video/o{}", id % 16), id, DEADLINE_MS, "");
        let stream = match self.connection.take() {
            Some(mut stream) => {
                std::io::Write::write_all(&mut stream, text.as_bytes()).ok()?;
                stream
            }
            None => send(self.address, &text),
        };
        let answer = read_answer(&stream, Instant::now())?;
        let closes = answer.fields.get("connection").is_some_and(|value| value == "close");
        self.connection = Some(stream).filter(|_| !closes);
        Some(answer.status)
    }
}

/// Sends the requests of all clients, and returns the statuses of their answers.
fn send_from_all_clients(address: SocketAddr, requests: u64) -> Vec<Option<u16>> {
    let clients = (0..CLIENTS).map(|client| {
        thread::spawn(move || {
            let mut sender = Client { address, connection: None };
            let ids = (0..requests / CLIENTS).map(|number| 1 + number * CLIENTS + client);
            ids.map(|id| {
                thread::sleep(PAUSE);
                if (id / CLIENTS).is_multiple_of(REQUESTS_PER_CONNECTION) {
                    sender.connection = None;
                }
                sender.ask(id)
            })
            .collect::<Vec<_>>()
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
}

#[rstest]
fn failing_system_call_leaves_no_request_unanswered(
    #[values(
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::Read,
        Call::Write,
        Call::EpollWait,
        Call::SetSocketOption
    )]
    call: Call,
    #[values(0.05, 0.3)] rate: f64,
) {
    let requests = std::env::var("SYSTEM_CALL_REQUESTS").map_or(REQUESTS, |text| text.parse().unwrap());
    let (bus, folder, store) = (Bus::default(), Folder::default(), store());
    bus.list(&[store.large_cache()]);
    let injector = Injector::new(&folder.0, 42).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sagearch"));
    injector.apply_to(&mut command);
    let program = Program::start_with(&bus, command);
    wait_for("the gateway serves", || ask_text(program.at, "GET /status/live HTTP/1.1\r\n\r\n").is_some());
    injector.set(&FaultPlan::new().errno(call, call.errnos(), rate)).unwrap();
    let statuses = send_from_all_clients(program.at, requests);
    let counters = injector.counters().unwrap();
    let unanswered = statuses.iter().filter(|status| status.is_none()).count();
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    println!(
        "{call:?} at {rate}: {} of {} calls failed, {served} of {requests} served, {unanswered} unanswered",
        counters.fired(call),
        counters.calls(call)
    );
    assert!(counters.fired(call) > 0, "at least one fault is injected");
    assert_eq!((statuses.len() as u64, unanswered), (requests, 0));
    injector.set(&FaultPlan::new()).unwrap();
    program.signal("TERM");
    assert!(program.end().success());
}

/// The clients send their requests over persistent TLS connections.
#[rstest]
fn failing_system_call_leaves_no_tls_request_unanswered(
    #[values(Call::Accept, Call::Read, Call::Write, Call::SetSocketOption)] call: Call,
) {
    const TLS_CLIENTS: u64 = 4;
    const REQUESTS_PER_CLIENT: u64 = 25;
    let (bus, folder, ca, key, store) =
        (Bus::default(), Folder::default(), Authority::new("ca"), signer("k1"), store());
    bus.list(&[store.large_cache()]);
    folder.put("keys.json", &jwks(&[(&key, json!({}))]));
    folder.put("ca.pem", &ca.0.certificate);
    folder.put_pair("gw", &ca.server(&["gw.test"]));
    let tls = r#"tls { clients client-certificates="optional" { certificate "gw.pem" key="gw.key"; }; }"#;
    let text = file("file=\"keys.json\"", "certificates { roots \"ca.pem\"; }") + tls;
    folder.put("gateway.kdl", &text);
    let injector = Injector::new(&folder.0, 42).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sagearch"));
    command.arg("--operators").arg(folder.0.join("gateway.kdl"));
    injector.apply_to(&mut command);
    let program = Program::start_with(&bus, command);
    let client_certificate = ca.client("spiffe://test/red/till", 1, life(600));
    let config = Arc::new(client_config(&[&ca], Some(&client_certificate)));
    wait_for("the gateway serves", || Tls::connect(program.at, &config, "gw.test").is_some());
    injector.set(&FaultPlan::new().errno(call, call.errnos(), 0.3)).unwrap();
    let clients = (0..TLS_CLIENTS).map(|client| {
        let (address, config) = (program.at, config.clone());
        thread::spawn(move || {
            let connect = || Tls::connect(address, &config, "gw.test").expect("the handshake succeeds");
            let (mut tls, mut answered) = (connect(), 0);
            for number in 0..REQUESTS_PER_CLIENT {
                if number.is_multiple_of(REQUESTS_PER_CONNECTION) {
                    tls = connect();
                }
                let id = 1 + number * TLS_CLIENTS + client;
                let text = request(&format!("video/o{id}"), id, DEADLINE_MS, "");
                answered += u64::from(tls.ask(&text).is_some());
            }
            answered
        })
    });
    let clients: Vec<_> = clients.collect();
    let answered: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert!(injector.counters().unwrap().fired(call) > 0, "at least one fault is injected");
    assert_eq!(answered, TLS_CLIENTS * REQUESTS_PER_CLIENT);
}

/// While file descriptors are exhausted, `accept` fails at once. A listener that retried without a pause would spin.
#[test]
fn raft_listener_with_failing_accept_pauses_between_attempts_and_recovers() {
    const OBSERVATION: Duration = Duration::from_millis(500);
    /// The limit for all accept loops together, each of which pauses for milliseconds between attempts.
    const MAX_ATTEMPTS: u64 = 1_000;
    let (bus, folder) = (Bus::default(), Folder::default());
    let listen = unused_address();
    let data = folder.0.join("data").display().to_string();
    folder.put(
        "gateway.kdl",
        &format!(
            "group id=1 listen=\"{listen}\" data=\"{data}\" {{\npeer 2 \"127.0.0.1:1\"\npeer 3 \"127.0.0.1:1\"\n}}\n"
        ),
    );
    let injector = Injector::new(&folder.0, 42).unwrap();
    let mut command = Program::command_under(&injector);
    command.arg("--operators").arg(folder.0.join("gateway.kdl"));
    let _program = Program::start_with(&bus, command);
    let is_refused = || matches!(propose(listen, b"deadline \"500ms\""), Err(ProposeError::Refused(_)));
    wait_for("the instance answers", is_refused);
    injector.set(&FaultPlan::new().errno(Call::Accept, &[libc::EMFILE], 1.0)).unwrap();
    // These connections end `accept` calls that began before the fault was set.
    let _waiting: Vec<TcpStream> = (0..4).map(|_| TcpStream::connect(listen).unwrap()).collect();
    wait_for("accept fails", || injector.counters().unwrap().fired(Call::Accept) > 4);
    let calls_before = injector.counters().unwrap().calls(Call::Accept);
    thread::sleep(OBSERVATION);
    let attempts = injector.counters().unwrap().calls(Call::Accept) - calls_before;
    assert!(
        attempts < MAX_ATTEMPTS,
        "{attempts} attempts in {OBSERVATION:?}, fewer than {MAX_ATTEMPTS} expected"
    );
    injector.set(&FaultPlan::new()).unwrap();
    wait_for("the instance answers again", is_refused);
}
