//! The time budget that an attempt passes to its store, on real sockets.

#[path = "stand/late.rs"]
mod late;
mod stand;
use late::{Arrival, LateStore};
use rstest::rstest;
use serde_json::json;
use stand::*;
use std::io::BufReader;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `ms` may exceed the client's remaining time by this much.
const TOLERANCE: Duration = Duration::from_millis(150);
const CONNECT_TIMEOUT_US: u64 = 4_000_000;
/// An object so large that an attempt is given all the remaining time.
const LARGE_OBJECT: &str = "Req-Kb: 40000\r\n";

/// The field `ms` of a `PULL`.
fn time_given(line: &str) -> Duration {
    let (_, rest) = line.split_once(",ms=").expect("a PULL has the field ms");
    Duration::from_millis(rest.split([',', ' ']).next().unwrap().parse().unwrap())
}

#[test]
fn late_connection_passes_the_remaining_deadline() {
    const WAIT: Duration = Duration::from_secs(3);
    let (bus, late) = (Bus::default(), LateStore::new());
    let origin = late.listed_as(Store::new(9, |_, _| Do::Nothing).origin());
    let gateway =
        gateway_by(&bus, &[origin], |config| config.names.connections.connect_timeout = CONNECT_TIMEOUT_US);
    let sent = Instant::now();
    let _client = send(gateway.listen, &request("once/f", 1, WAIT.as_millis() as u64, LARGE_OBJECT));
    thread::sleep(Duration::from_millis(400));
    late.come_up();
    wait_for("the attempt", || !late.arrivals().is_empty());
    let attempt = &late.arrivals()[0];
    let remaining = WAIT.saturating_sub(attempt.at - sent);
    let given = time_given(&attempt.line);
    assert!(
        remaining + Duration::from_millis(400) < WAIT,
        "the connection was established late, with {remaining:?} remaining"
    );
    assert!(given <= remaining + TOLERANCE, "{given:?} given, {remaining:?} remaining");
    assert!(given + TOLERANCE >= remaining, "{given:?} given, {remaining:?} remaining");
}

/// The connection is established while the process is paused. The process resumes before the deadline or after it.
#[rstest]
#[case::in_time(1_300, true)]
#[case::expired(2_100, false)]
fn resumed_process_sends_no_expired_attempt(#[case] resumed_after_ms: u64, #[case] in_time: bool) {
    const WAIT: Duration = Duration::from_secs(2);
    let (bus, late) = (Bus::default(), LateStore::new());
    bus.list(&[late.listed_as(Store::new(9, |_, _| Do::Nothing).origin())]);
    let command = Command::new(env!("CARGO_BIN_EXE_sagearch"));
    let program = Program::start_where(&bus, command, |config| {
        config["settings"]["Limits"]["ConnectTimeout"] = json!(CONNECT_TIMEOUT_US);
    });
    wait_for("the gateway listens", || std::net::TcpStream::connect(program.at).is_ok());
    let sent = Instant::now();
    let client = send(program.at, &request("once/f", 1, WAIT.as_millis() as u64, LARGE_OBJECT));
    thread::sleep(Duration::from_millis(100));
    program.paused(true);
    late.come_up();
    wait_for("the connection", || late.connections() > 0);
    thread::sleep(Duration::from_millis(resumed_after_ms).saturating_sub(sent.elapsed()));
    program.paused(false);
    assert!(read_answer(&client, sent).unwrap().status >= 500);
    thread::sleep(Duration::from_millis(100));
    let attempts = late.arrivals();
    for attempt in attempts.iter().filter(|attempt| attempt.line.starts_with("PULL")) {
        let (remaining, given) = (WAIT.saturating_sub(attempt.at - sent), time_given(&attempt.line));
        assert!(given <= remaining + TOLERANCE, "{given:?} given, {remaining:?} remaining");
    }
    assert_eq!(!attempts.is_empty(), in_time, "{attempts:?}");
}

/// Two requests arrive at once, and the second waits behind the first while its own deadline runs.
#[test]
fn pipelined_request_keeps_its_own_deadline() {
    const WAIT: Duration = Duration::from_millis(1_500);
    const FIRST: Duration = Duration::from_millis(800);
    let attempts: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let (bus, log) = (Bus::default(), attempts.clone());
    let origin = Store::new(9, move |line, _| {
        if line.starts_with("PULL") {
            log.lock().unwrap().push(Arrival { at: Instant::now(), line: line.into() });
        }
        if line.starts_with("PULL 0000000000000001") {
            thread::sleep(FIRST);
            return ok(b"x");
        }
        Do::Nothing
    });
    let gateway = gateway(&bus, &[origin.origin()]);
    let wait_ms = WAIT.as_millis() as u64;
    let sent = Instant::now();
    let client =
        send(gateway.listen, &[1, 2].map(|id| request("once/f", id, wait_ms, LARGE_OBJECT)).concat());
    client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut answers = BufReader::new(&client);
    assert_eq!(read_answer_on(&mut answers, sent).unwrap().status, 200);
    let second = read_answer_on(&mut answers, sent).unwrap();
    assert!(second.status >= 500 && second.took <= WAIT + TOLERANCE, "{second:?}");
    let attempts = attempts.lock().unwrap();
    let (remaining, given) =
        (WAIT.checked_sub(attempts[1].at - sent).unwrap(), time_given(&attempts[1].line));
    assert!(given <= remaining + TOLERANCE, "{given:?} given, {remaining:?} remaining");
}
