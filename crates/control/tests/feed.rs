//! Commands to relays, run against a relay in this process that subscribes to a stub of the event bus.

use sagearch_operators::OneFile;
use sagearch_operators::relay::relay;
use sagearch_relay::RunningRelay;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// Starts a stub of the event bus, which runs until the process ends.
///
/// It has one event, a full topology. Polls for later offsets are answered with an empty batch after a delay.
fn start_event_bus_stub() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_event_bus(stream));
        }
    });
    address
}

fn serve_event_bus(mut stream: TcpStream) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    loop {
        let request = lines.next()?.ok()?;
        while !lines.next()?.ok()?.is_empty() {}
        let is_first_poll = request.contains("from=0&");
        if !is_first_poll {
            std::thread::sleep(Duration::from_millis(100));
        }
        let batch = if is_first_poll {
            r#"{"offset":1,"topology":{"generation":1,"reset":true,"instances":[]}}"#
        } else {
            ""
        };
        let body = format!(r#"{{"offset":1,"feed":"feed-a","batch":[{batch}]}}"#);
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
    }
}

struct Fixture {
    runtime: tokio::runtime::Runtime,
    relay: RunningRelay,
}

impl Fixture {
    /// Starts a relay with a lease long enough that the acknowledgements of the test arrive before it expires.
    fn start() -> Fixture {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let text = format!(
            "relay \"r1\" listen=\"127.0.0.1:0\" lease=\"4s\" {{\n    upstream \"{}\"\n}}\n",
            start_event_bus_stub()
        );
        let file = relay("relay.kdl", &OneFile { name: "relay.kdl", text: &text }).unwrap();
        let relay = runtime.block_on(async { RunningRelay::start(&file) }).unwrap();
        Fixture { runtime, relay }
    }

    /// Polls the relay as a gateway, until the relay has received its first event.
    fn poll(&self, from: u64) {
        let started_at = Instant::now();
        loop {
            let mut stream = TcpStream::connect(self.relay.address).unwrap();
            let path = format!("/bus/read?from={from}&hold=0&feed=feed-a&name=gate/1&incarnation=5");
            write!(stream, "GET {path} HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n").unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).unwrap();
            if answer.starts_with("HTTP/1.1 200") && answer.contains("\"offset\":1") {
                return;
            }
            assert!(started_at.elapsed() < Duration::from_secs(20), "{answer}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn feed(&self, arguments: &[&str]) -> Output {
        feed(&self.relay.address.to_string(), arguments)
    }
}

fn feed(relay: &str, arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_sagearch-control");
    Command::new(program).arg("feed").args(arguments).args(["--relay", relay]).output().unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{output:?}"))
}

#[test]
fn feed_commands_show_the_status_wait_for_an_offset_and_forget_a_subscriber() {
    let fixture = Fixture::start();
    fixture.poll(0);

    let waiting = fixture.feed(&["wait", "1", "--within", "300ms"]);
    assert_eq!(waiting.status.code(), Some(1), "{waiting:?}");
    assert!(text(&waiting).starts_with("offset 1 is not done everywhere"), "{waiting:?}");

    let status = json(&fixture.feed(&["status", "--json", "--offset", "1"]));
    assert_eq!(status["relay"], "r1");
    assert_eq!(status["offset"], 1);
    assert_eq!(status["behind"], serde_json::json!(["gate/1"]));

    let status = text(&fixture.feed(&["status"]));
    assert!(status.contains("offset: 1\n") && status.contains("name gate/1"), "{status}");

    fixture.poll(1);
    let waiting = fixture.feed(&["wait", "1", "--within", "10s"]);
    assert_eq!(waiting.status.code(), Some(0), "{waiting:?}");
    assert!(text(&waiting).starts_with("offset 1 is done everywhere"), "{waiting:?}");
    assert_eq!(json(&fixture.feed(&["wait", "1", "--json"]))["done"], true);

    let status = text(&fixture.feed(&["status"]));
    assert!(status.contains("subscribers: 1\n") && !status.contains("gate/1"), "{status}");

    let forgotten = fixture.feed(&["forget", "gate/1"]);
    assert_eq!((forgotten.status.code(), text(&forgotten).trim()), (Some(0), "gate/1 is forgotten"));
    let forgotten = fixture.feed(&["forget", "gate/1"]);
    assert_eq!((forgotten.status.code(), text(&forgotten).trim()), (Some(0), "gate/1 was not known"));
    fixture.runtime.block_on(fixture.relay.stop());
}

#[test]
fn unreachable_relay_is_skipped_and_no_reachable_relay_is_an_error() {
    let fixture = Fixture::start();
    fixture.poll(0);
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let address = fixture.relay.address.to_string();
    let second_relay_answer = feed(&unreachable, &["status", "--json", "--relay", &address]);
    assert_eq!(json(&second_relay_answer)["relay"], "r1");

    let no_answer = feed(&unreachable, &["status"]);
    assert_eq!(no_answer.status.code(), Some(2));
    assert!(String::from_utf8(no_answer.stderr).unwrap().contains(&unreachable));

    let rejected = fixture.feed(&["wait", "1", "--within", "2h"]);
    assert_eq!(rejected.status.code(), Some(2));
    assert!(String::from_utf8(rejected.stderr).unwrap().contains("within_ms is over 60000"));
}
