//! Cancellation on real sockets: no attempt begins more than 0.1 s after its client has closed or cancelled.

#[path = "stand/identity.rs"]
mod identity_stand;
#[path = "stand/late.rs"]
mod late;
mod stand;
use identity_stand::{Authority, Tls, client_config};
use late::{Arrival, LateStore};
use rstest::rstest;
use sagearch::net::lifecycle::gateway::Gateway;
use serde_json::{Value, json};
use stand::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An attempt may begin this long after its client's connection has ended.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(100);
const OBJECT: &str = "video/7f3a/block-3";
const WRITE: &str = "submit/f";
const DEADLINE_MS: u64 = 6_000;

/// The transport of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Transport {
    Plain,
    Secure,
}

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientEnd {
    Closes,
    Resets,
    /// Sends `close_notify` or a half-close, and keeps its socket open.
    ClosesWriteSide,
}

/// A gateway, and the settings with which its clients connect.
struct GatewayFixture {
    gateway: Gateway,
    config: Option<Arc<rustls::ClientConfig>>,
    _folder: Folder,
}

impl GatewayFixture {
    fn new(transport: Transport, bus: &Bus, instances: &[Value]) -> GatewayFixture {
        let folder = Folder::default();
        if transport == Transport::Plain {
            return GatewayFixture { gateway: gateway(bus, instances), config: None, _folder: folder };
        }
        let authority = Authority::new("ca");
        folder.put_pair("gw", &authority.server(&["gw.test"]));
        let file = "tls { clients { certificate \"gw.pem\" key=\"gw.key\"; }; }";
        let gateway = gateway_under(bus, instances, &folder, file);
        GatewayFixture {
            gateway,
            config: Some(Arc::new(client_config(&[&authority], None))),
            _folder: folder,
        }
    }

    fn send(&self, text: &str) -> Client {
        let address = self.gateway.listen;
        let mut client = match &self.config {
            None => Client::Plain(TcpStream::connect(address).unwrap()),
            Some(config) => Client::Secure(Box::new(Tls::connect(address, config, "gw.test").unwrap())),
        };
        client.write(text.as_bytes());
        client
    }

    fn wait_until_idle(&self) {
        wait_for("no request is open", || self.gateway.core.broker().open_requests() == 0);
    }
}

/// A client's connection to the gateway.
enum Client {
    Plain(TcpStream),
    Secure(Box<Tls>),
}

impl Client {
    fn write(&mut self, bytes: &[u8]) {
        match self {
            Client::Plain(stream) => stream.write_all(bytes).unwrap(),
            Client::Secure(tls) => {
                tls.0.get_mut().write_all(bytes).unwrap();
                tls.0.get_mut().flush().unwrap();
            }
        }
    }

    /// Ends the connection, and returns when. A returned client keeps its socket open until it is dropped.
    fn end(mut self, client_end: ClientEnd) -> (Instant, Option<Client>) {
        let stream = match &mut self {
            Client::Plain(stream) => &*stream,
            Client::Secure(tls) => &tls.0.get_ref().sock,
        };
        match client_end {
            ClientEnd::Closes => drop(self),
            ClientEnd::Resets => {
                socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
                drop(self);
            }
            ClientEnd::ClosesWriteSide => {
                match &mut self {
                    Client::Plain(stream) => stream.shutdown(std::net::Shutdown::Write).unwrap(),
                    Client::Secure(tls) => {
                        let tls = tls.0.get_mut();
                        tls.conn.send_close_notify();
                        tls.flush().unwrap();
                    }
                }
                return (Instant::now(), Some(self));
            }
        }
        (Instant::now(), None)
    }
}

/// Four caches, a parent and the origin, which record when each attempt arrives.
struct Stores {
    list: Vec<Store>,
    attempts: Arc<Mutex<Vec<Arrival>>>,
}

impl Stores {
    fn new(respond: impl Fn(&str) -> Do + Clone + Send + Sync + 'static) -> Stores {
        let attempts: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let store = |id| {
            let (respond, attempts) = (respond.clone(), attempts.clone());
            Store::new(id, move |line, _| {
                if !line.starts_with("PULL") {
                    return Do::Nothing;
                }
                attempts.lock().unwrap().push(Arrival { at: Instant::now(), line: line.into() });
                respond(line)
            })
        };
        let list = (1..=6).map(store).collect();
        Stores { list, attempts }
    }

    fn entries(&self) -> Vec<Value> {
        let caches = self.list[..4].iter().map(Store::cache);
        caches.chain([self.list[4].entry("parent", "hub", "up"), self.list[5].origin()]).collect()
    }

    fn attempts(&self, id: u64) -> Vec<Arrival> {
        let prefix = format!("PULL {id:016x} ");
        let all = self.attempts.lock().unwrap();
        all.iter().filter(|attempt| attempt.line.starts_with(&prefix)).cloned().collect()
    }
}

fn assert_no_late_attempt(attempts: &[Arrival], closed_at: Instant) {
    for attempt in attempts {
        let delay = attempt.at.saturating_duration_since(closed_at);
        assert!(
            delay <= MAX_ATTEMPT_DELAY,
            "began {delay:?} after its client's end, at most {MAX_ATTEMPT_DELAY:?} allowed: {}",
            attempt.line
        );
    }
}

fn refused() -> Do {
    Do::Answer("refused", "-", Vec::new())
}

/// The origin refuses a write, and a retry waits for its backoff. A client that closes during the backoff gets no retry;
/// one that stays gets it.
#[rstest]
#[case::plain_closes(Transport::Plain, Some(ClientEnd::Closes))]
#[case::plain_resets(Transport::Plain, Some(ClientEnd::Resets))]
#[case::plain_ends(Transport::Plain, Some(ClientEnd::ClosesWriteSide))]
#[case::secure_closes(Transport::Secure, Some(ClientEnd::Closes))]
#[case::secure_resets(Transport::Secure, Some(ClientEnd::Resets))]
#[case::secure_ends(Transport::Secure, Some(ClientEnd::ClosesWriteSide))]
#[case::plain_stays(Transport::Plain, None)]
#[case::secure_stays(Transport::Secure, None)]
fn client_end_during_backoff_prevents_the_retry(
    #[case] transport: Transport,
    #[case] client_end: Option<ClientEnd>,
) {
    let (bus, stores) =
        (Bus::default(), Stores::new(|line| if line.contains("obj=f,") { refused() } else { ok(b"x") }));
    let fixture = GatewayFixture::new(transport, &bus, &stores.entries());
    // Successful requests fill the retry budget.
    for id in 100..160 {
        let mut client = fixture.send(&request("submit/warm", id, DEADLINE_MS, "Req-Token: t\r\n"));
        wait_for("the request is sent to a store", || stores.attempts(id).len() == 1);
        fixture.wait_until_idle();
        client.write(b"");
    }
    let client = fixture.send(&request(WRITE, 1, DEADLINE_MS, "Req-Token: t\r\n"));
    wait_for("the first attempt", || stores.attempts(1).len() == 1);
    let Some(client_end) = client_end else {
        return wait_for("the retry", || stores.attempts(1).len() > 1);
    };
    let (closed_at, _open_client) = client.end(client_end);
    fixture.wait_until_idle();
    thread::sleep(Duration::from_millis(400));
    assert_no_late_attempt(&stores.attempts(1), closed_at);
}

/// The client sends a second request behind the open one, in some cases with so many bytes that its end cannot be read
/// at once, and ends its connection. The store answers later, with a refusal that would lead to a retry.
#[rstest]
#[case::plain_request(Transport::Plain, 0, ClientEnd::Closes)]
#[case::plain_request_and_reset(Transport::Plain, 0, ClientEnd::Resets)]
#[case::plain_flood(Transport::Plain, 24_000_000, ClientEnd::Closes)]
#[case::secure_request(Transport::Secure, 0, ClientEnd::Closes)]
#[case::secure_request_and_close_notify(Transport::Secure, 0, ClientEnd::ClosesWriteSide)]
#[case::secure_many_bytes(Transport::Secure, 40_000, ClientEnd::Closes)]
#[case::secure_many_bytes_and_close_notify(Transport::Secure, 40_000, ClientEnd::ClosesWriteSide)]
#[case::secure_flood(Transport::Secure, 2_000_000, ClientEnd::Closes)]
fn client_end_behind_a_pipelined_request_prevents_attempts(
    #[case] transport: Transport,
    #[case] trailing_bytes: usize,
    #[case] client_end: ClientEnd,
) {
    let (bus, ended_at) = (Bus::default(), Arc::new(Mutex::new(None::<Instant>)));
    let ended_at_for_stores = ended_at.clone();
    let stores = Stores::new(move |_| {
        wait_for("the client's connection has ended", || {
            ended_at_for_stores.lock().unwrap().is_some_and(|ended| ended.elapsed() > MAX_ATTEMPT_DELAY)
        });
        refused()
    });
    let fixture = GatewayFixture::new(transport, &bus, &stores.entries());
    let mut client = fixture.send(&request(OBJECT, 1, DEADLINE_MS, ""));
    wait_for("the attempt", || stores.attempts(1).len() == 1);
    client.write(request("video/other", 2, DEADLINE_MS, "").as_bytes());
    client.write(&vec![b'x'; trailing_bytes]);
    let (closed_at, _open_client) = client.end(client_end);
    *ended_at.lock().unwrap() = Some(closed_at);
    fixture.wait_until_idle();
    thread::sleep(Duration::from_millis(400));
    assert_no_late_attempt(&[stores.attempts(1), stores.attempts(2)].concat(), closed_at);
}

/// The client sends a part of its body, or all of it, and closes before the gateway has read it.
#[rstest]
#[case::partial_plain(Transport::Plain, 20_000)]
#[case::complete_plain(Transport::Plain, 40_000)]
#[case::partial_secure(Transport::Secure, 20_000)]
#[case::complete_secure(Transport::Secure, 40_000)]
fn client_end_within_its_body_prevents_late_attempts(
    #[case] transport: Transport,
    #[case] sent_bytes: usize,
) {
    let (bus, stores) = (Bus::default(), Stores::new(|_| refused()));
    let fixture = GatewayFixture::new(transport, &bus, &stores.entries());
    let head = request(WRITE, 1, DEADLINE_MS, "Req-Token: t\r\nContent-Length: 40000\r\n");
    let mut client = fixture.send(&head);
    client.write(&vec![b'x'; sent_bytes]);
    let (closed_at, _open_client) = client.end(ClientEnd::Closes);
    thread::sleep(Duration::from_millis(600));
    assert_no_late_attempt(&stores.attempts(1), closed_at);
    if sent_bytes < 40_000 {
        assert!(stores.attempts(1).is_empty());
    }
}

fn allow_slow_connections(config: &mut Value, sockets: usize) {
    config["settings"]["Limits"]["ConnectTimeout"] = json!(4_000_000);
    config["limits"]["sockets"] = json!(sockets);
}

/// The process is paused while it dials connections to a store, for one attempt or with more attempts queued behind it.
/// The clients close, the connections are established, and the process resumes long after that.
#[rstest]
#[case::dialling(1, Some(ClientEnd::Closes))]
#[case::dialling_and_reset(1, Some(ClientEnd::Resets))]
#[case::dialling_and_stays(1, None)]
#[case::queued(34, Some(ClientEnd::Closes))]
#[case::queued_and_stays(34, None)]
fn resumed_process_begins_no_attempt_for_closed_clients(
    #[case] clients: u64,
    #[case] client_end: Option<ClientEnd>,
) {
    let (bus, late) = (Bus::default(), LateStore::new());
    bus.list(&[late.listed_as(Store::new(9, |_, _| Do::Nothing).origin())]);
    let command = Command::new(env!("CARGO_BIN_EXE_sagearch"));
    let program = Program::start_where(&bus, command, |config| allow_slow_connections(config, 96));
    wait_for("the gateway listens", || TcpStream::connect(program.at).is_ok());
    let connect =
        |id| Client::Plain(send(program.at, &request("once/f", id, DEADLINE_MS, "Req-Kb: 40000\r\n")));
    let clients: Vec<Client> = (1..=clients).map(connect).collect();
    thread::sleep(Duration::from_millis(300));
    program.paused(true);
    let (mut closed_at, mut staying) = (Instant::now(), Vec::new());
    for client in clients {
        match client_end {
            Some(client_end) => closed_at = client.end(client_end).0,
            None => staying.push(client),
        }
    }
    late.come_up();
    wait_for("a connection to the store", || late.connections() > 0);
    thread::sleep(MAX_ATTEMPT_DELAY * 2);
    program.paused(false);
    if !staying.is_empty() {
        return wait_for("all attempts", || late.attempts() == staying.len());
    }
    thread::sleep(Duration::from_millis(600));
    assert_no_late_attempt(&late.arrivals(), closed_at);
    assert!(status_without_store(program.at).is_some(), "other clients are answered");
}

/// The status of a request that the gateway answers without a store.
fn status_without_store(address: SocketAddr) -> Option<u16> {
    ask_text(address, "GET /status/live HTTP/1.1\r\n\r\n").map(|answer| answer.status)
}
