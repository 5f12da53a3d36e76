//! Graceful shutdown of real processes under load: before the platform kills a process, it has answered every request
//! that it read and has exited with 0.

mod stand;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The platform kills a process after SIGTERM once the longest deadline, capped at `LONGEST_DEADLINE`, and `KILL_AFTER`
/// have passed.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Clients open new connections for this long after SIGTERM.
const NEW_CONNECTIONS_DURATION: Duration = Duration::from_millis(400);
/// A client retries a request whose connection closes within 50 ms of sending; the rest is for a busy machine.
const CLOSE_RACE: Duration = Duration::from_millis(50 + 50);
const GATEWAYS: usize = 3;
/// The pause between two actions of a misbehaving client: short, but within what the machine carries beside the rest.
const MISBEHAVIOUR_INTERVAL: Duration = Duration::from_millis(25);
const IDLE_CLIENTS: u32 = 30;
const PARTIAL_CLIENTS: u32 = 15;

/// Serializes the tests: each one runs several gateways under load.
static ONE_TEST_AT_A_TIME: Mutex<()> = Mutex::new(());
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn next_id() -> u64 {
    NEXT_ID.fetch_add(1, Ordering::SeqCst)
}

/// The outcome of a request.
#[derive(Debug)]
enum Outcome {
    Answered {
        status: u16,
        /// The answer announces that the connection closes.
        closes: bool,
    },
    /// The connection closed without an answer.
    Ended { text: String, sent: Instant, after: Duration },
    /// The connection had closed before the request was sent.
    NotSent,
}

impl Outcome {
    /// Whether the connection ended without an answer, too late for a close race.
    fn lost(&self) -> bool {
        matches!(self, Outcome::Ended { after, .. } if *after > CLOSE_RACE)
    }

    /// Whether the connection takes no further request.
    fn closes_connection(&self) -> bool {
        !matches!(self, Outcome::Answered { closes: false, .. })
    }
}

fn has_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    match peeked {
        Ok(read) => read == 0,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Writes a request, or the rest of one, unless the connection has closed, and reads the answer.
fn exchange(mut stream: &TcpStream, text: &str) -> Outcome {
    if has_ended(stream) || stream.write_all(text.as_bytes()).is_err() {
        return Outcome::NotSent;
    }
    let sent = Instant::now();
    match read_answer(stream, sent) {
        Some(answer) => {
            let closes = answer.fields.get("connection").is_some_and(|value| value == "close");
            Outcome::Answered { status: answer.status, closes }
        }
        None => Outcome::Ended { text: text.into(), sent, after: sent.elapsed() },
    }
}

fn video(object: &str, deadline: Duration) -> String {
    request(&format!("video/{object}"), next_id(), deadline.as_millis() as u64, "Req-Kb: 40\r\n")
}

/// The time at which the gateways were signalled, once they were.
type Signalled = Arc<OnceLock<Instant>>;

/// Sends requests on persistent connections, and opens new ones until the platform stops doing so after SIGTERM.
fn start_steady_client(
    address: SocketAddr,
    object: &'static str,
    deadline: Duration,
    signalled: Signalled,
) -> JoinHandle<Vec<Outcome>> {
    thread::spawn(move || {
        let mut outcomes = Vec::new();
        while signalled.get().is_none_or(|signalled| signalled.elapsed() < NEW_CONNECTIONS_DURATION) {
            let Ok(stream) = TcpStream::connect(address) else { return outcomes };
            loop {
                let outcome = exchange(&stream, &video(object, deadline));
                let closes = outcome.closes_connection();
                outcomes.push(outcome);
                if closes {
                    break;
                }
                thread::sleep(Duration::from_millis(15));
            }
        }
        outcomes
    })
}

/// Opens a connection and sends the first part of a request; the rest follows at `after` from SIGTERM.
fn start_delayed_client(
    address: SocketAddr,
    first_part: &str,
    rest: String,
    after: Duration,
    signalled: Signalled,
) -> JoinHandle<Vec<Outcome>> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(first_part.as_bytes()).unwrap();
    thread::spawn(move || {
        thread::sleep(after.saturating_sub(signalled.wait().elapsed()));
        vec![exchange(&stream, &rest)]
    })
}

/// A store that serves some objects, resets the connection for others, and never answers for the rest.
fn faulty_store(id: u32) -> Store {
    Store::new(id, |line, _| match line {
        line if line.contains("obj=quick") => ok(b"x"),
        line if line.contains("obj=resets") => Do::Break(Vec::new()),
        _ => Do::Nothing,
    })
}

/// Starts one misbehaving client of each kind; they run until `stop` is set.
fn start_misbehaving_clients(address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let kinds: [fn(SocketAddr) -> Option<TcpStream>; 4] = [partial_request, reset, flood, shutdown_at_once];
    let run = |misbehave: fn(SocketAddr) -> Option<TcpStream>| {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut open = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                open.extend(misbehave(address));
                // Fewer connections than the table holds: other tests cover the full table.
                open.drain(..open.len().saturating_sub(40));
                thread::sleep(MISBEHAVIOUR_INTERVAL);
            }
        })
    };
    kinds.into_iter().map(run).collect()
}

#[rstest]
#[case::tiny(100)]
#[case::very_short(300)]
#[case::short(1_000)]
#[case::usual(3_000)]
#[case::long(10_000)]
fn shutdown_under_load_answers_all_requests_and_exits_before_the_kill(#[case] deadline_ms: u64) {
    let _exclusive = ONE_TEST_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let deadline = Duration::from_millis(deadline_ms);
    let kill_after = deadline.min(LONGEST_DEADLINE) + KILL_AFTER;
    let (bus, signal) = (Bus::default(), Signalled::default());
    let stores: Vec<Store> = (1..=3).map(faulty_store).collect();
    let origin = faulty_store(9);
    let listed = stores.iter().map(Store::large_cache).chain([origin.origin()]);
    bus.list(&listed.collect::<Vec<_>>());
    let start = |_| {
        let command = std::process::Command::new(env!("CARGO_BIN_EXE_sagearch"));
        Program::start_where(&bus, command, |config| {
            for class in config["settings"]["Classes"].as_array_mut().unwrap() {
                class["Deadline"] = json!(deadline_ms * 1_000);
            }
        })
    };
    let mut programs: Vec<Program> = (0..GATEWAYS).map(start).collect();
    let (stop, mut clients, mut misbehaving) = (Arc::default(), Vec::new(), Vec::new());
    for program in &programs {
        let address = program.at;
        wait_for("the gateway listens", || TcpStream::connect(address).is_ok());
        misbehaving.extend(start_misbehaving_clients(address, &stop));
        for object in ["quick1", "quick2", "hangs1", "resets1"] {
            clients.push(start_steady_client(address, object, deadline, signal.clone()));
        }
        let once = request("once/hangs", next_id(), deadline_ms, "Content-Length: 1\r\n") + "x";
        clients.push(start_delayed_client(address, "", once, Duration::ZERO, signal.clone()));
        for index in 0..IDLE_CLIENTS {
            let object = if index % 2 == 0 { "quick" } else { "hangs" };
            clients.push(start_delayed_client(
                address,
                "",
                video(object, deadline),
                kill_after * index / IDLE_CLIENTS,
                signal.clone(),
            ));
        }
        for index in 0..PARTIAL_CLIENTS {
            let text = video("hangs", deadline);
            let (first_part, rest) = text.split_at(text.len() / 2);
            clients.push(start_delayed_client(
                address,
                first_part,
                rest.into(),
                kill_after * index / PARTIAL_CLIENTS,
                signal.clone(),
            ));
        }
    }
    thread::sleep(Duration::from_millis(200));
    for program in &programs {
        program.signal("TERM");
    }
    let signalled = *signal.get_or_init(Instant::now);
    let mut exits: Vec<Option<(Duration, bool)>> = vec![None; GATEWAYS];
    while signalled.elapsed() < kill_after {
        for (program, exit) in programs.iter_mut().zip(&mut exits) {
            if exit.is_none() {
                *exit = program.ended().map(|status| (signalled.elapsed(), status.success()));
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    stop.store(true, Ordering::SeqCst);
    drop(programs);
    for client in misbehaving {
        client.join().unwrap();
    }
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let answered = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Answered { .. })).count();
    let describe = |outcome: &Outcome| match outcome {
        Outcome::Ended { text, sent, after } => {
            format!("sent {:?} after the signal, ended {after:?} later: {text}", *sent - signalled)
        }
        other => format!("{other:?}"),
    };
    let lost: Vec<String> = outcomes.iter().filter(|outcome| outcome.lost()).map(describe).collect();
    println!("{answered} of {} answered, exited after {exits:?}", outcomes.len());
    assert!(
        lost.is_empty(),
        "{lost:?} of {} requests without an answer, processes exited after {exits:?}",
        outcomes.len()
    );
    assert!(
        exits.iter().all(|exit| exit.is_some_and(|(_, success)| success)),
        "all processes exit with 0 in time: {exits:?}"
    );
}

/// Stores hang, reset connections and send malformed answers, while other clients send partial requests, disconnect at
/// once, reset and flood.
#[test]
fn ordinary_requests_beside_faulty_stores_and_clients_are_all_answered() {
    let _exclusive = ONE_TEST_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let bus = Bus::default();
    let hanging = Store::new(1, |_, _| Do::Nothing);
    let resetting = Store::new(2, |_, _| Do::Break(Vec::new()));
    let malformed = Store::new(3, |_, _| Do::Raw(b"not an answer\r\n".to_vec()));
    let serving = Store::new(4, |_, _| ok(b"x"));
    let listed = [&hanging, &resetting, &malformed, &serving].map(Store::large_cache);
    bus.list(&[&listed[..], &[hanging.origin()]].concat());
    let program = Program::start(&bus);
    let (address, stop) = (program.at, Arc::new(AtomicBool::new(false)));
    let wait = Duration::from_secs(1);
    let misbehaving = start_misbehaving_clients(address, &stop);
    let ordinary = (0..10).map(|index: u64| {
        thread::spawn(move || {
            let mut persistent: Option<TcpStream> = None;
            for round in 0..40 {
                // On persistent connections and on new ones.
                let stream = persistent.take().unwrap_or_else(|| TcpStream::connect(address).unwrap());
                let started = Instant::now();
                let outcome = exchange(&stream, &video(&format!("o{index}-{round}"), wait));
                let Outcome::Answered { status, closes } = outcome else {
                    panic!("{outcome:?} in round {round}")
                };
                assert!(matches!(status, 200 | 502 | 503), "{status}");
                assert!(started.elapsed() < wait + Duration::from_millis(500), "{:?}", started.elapsed());
                persistent = Some(stream).filter(|_| !closes && round % 3 != 0);
            }
        })
    });
    let ordinary: Vec<JoinHandle<()>> = ordinary.collect();
    let results: Vec<_> = ordinary.into_iter().map(JoinHandle::join).collect();
    stop.store(true, Ordering::SeqCst);
    for client in misbehaving {
        client.join().unwrap();
    }
    assert!(results.iter().all(Result::is_ok), "{results:?}");
}

/// Sends the first half of a request, and keeps the connection open.
fn partial_request(address: SocketAddr) -> Option<TcpStream> {
    let text = video("half", Duration::from_secs(1));
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(&text.as_bytes()[..text.len() / 2]).ok()?;
    Some(stream)
}

/// Sends a complete request, and resets the connection while it is open.
fn reset(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(video("reset", Duration::from_secs(1)).as_bytes()).ok()?;
    thread::sleep(Duration::from_millis(2));
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()?;
    None
}

/// Sends a request followed by a megabyte of further bytes.
fn flood(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(200))).ok()?;
    let _ = stream.write_all(video("flood", Duration::from_secs(1)).as_bytes());
    let _ = stream.write_all(&vec![b'x'; 1_000_000]);
    None
}

/// Sends a request, and shuts the connection down at once.
fn shutdown_at_once(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.write_all(video("gone", Duration::from_secs(1)).as_bytes());
    stream.shutdown(std::net::Shutdown::Both).ok()?;
    let _ = stream.read(&mut [0]);
    None
}
