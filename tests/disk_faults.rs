//! Operator calls while the disk fails. An acknowledged call is in force after SIGKILL and a restart; one that could not
//! be stored is answered with an error and is not in force.

mod stand;
use rstest::rstest;
use sagearch_faults::{Call, FaultPlan, Injector};
use stand::*;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};

const DRAIN: &str = "POST /v1/gateway/drain";
const ACTIVATE: &str = "POST /v1/gateway/activate";
const READY: &str = "GET /v1/readyz";
/// Operator calls of a run.
const CALLS: usize = 20;
/// Calls that must succeed at once on a failing disk, by retries of the gateway: nine in ten.
const MIN_SUCCESSFUL_CALLS: usize = 18;

/// A loopback address that nothing else on the machine uses, so that a port reserved there stays free until it is bound.
fn exclusive_address() -> Ipv4Addr {
    static NEXT_OCTET: AtomicU8 = AtomicU8::new(4);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, NEXT_OCTET.fetch_add(1, Ordering::SeqCst), high, low)
}

/// The event bus, the gateway's folder, and the folder through which faults are controlled.
struct Fixture {
    bus: Bus,
    folder: Folder,
    control: Folder,
}

impl Fixture {
    fn new() -> Fixture {
        let fixture = Fixture { bus: Bus::default(), folder: Folder::default(), control: Folder::default() };
        let cache = Store::new(1, |_, _| ok(b"x"));
        fixture.bus.list(&[cache.cache()]);
        fixture
    }

    /// The injector of faults into the gateway's processes.
    fn injector(&self) -> Injector {
        Injector::new(&self.control.0, 7).unwrap()
    }

    /// A fault plan for files in the gateway's folder.
    fn plan(&self) -> FaultPlan {
        FaultPlan::new().under(&self.folder.0)
    }

    /// Starts a gateway process, and returns it with the address for operator calls.
    fn start(&self, injector: Option<&Injector>) -> (Program, SocketAddr) {
        let address = exclusive_address();
        let admin = TcpListener::bind((address, 0)).unwrap().local_addr().unwrap();
        let mut command =
            injector.map_or_else(|| Command::new(env!("CARGO_BIN_EXE_sagearch")), Program::command_under);
        command.env("NODE_ADMIN", admin.to_string()).env("TMPDIR", &self.folder.0);
        let listen = format!("{address}:0");
        let program = Program::start_where(&self.bus, command, |config| config["listen"] = listen.into());
        wait_for("the gateway accepts operator calls", || TcpStream::connect(admin).is_ok());
        // A drained gateway never becomes ready: after its start it answers with that in place of `starting`.
        let readiness = || ask_text(admin, &format!("{READY} HTTP/1.1\r\nHost: x\r\n\r\n"));
        wait_for("the gateway has started", || {
            readiness().is_some_and(|answer| answer.body != b"starting\n")
        });
        (program, admin)
    }

    /// Whether a newly started process reports the gateway as ready.
    fn ready_after_restart(&self) -> bool {
        let (program, admin) = self.start(None);
        std::thread::sleep(std::time::Duration::from_millis(300));
        let ready = call(admin, READY) == 200;
        program.signal("KILL");
        program.end();
        ready
    }
}

#[rstest]
fn call_on_an_intermittently_failing_disk_is_retried_and_outlives_sigkill(
    #[values(
        (Call::Open, libc::ENOSPC),
        (Call::FileWrite, libc::ENOSPC),
        (Call::FileWrite, libc::EIO),
        (Call::Sync, libc::EIO),
        (Call::Sync, libc::ENOSPC),
        (Call::Rename, libc::ENOSPC)
    )]
    fault: (Call, i32),
) {
    let fixture = Fixture::new();
    let injector = fixture.injector();
    let (program, admin) = fixture.start(Some(&injector));
    injector.set(&fixture.plan().errno(fault.0, &[fault.1], 0.2)).unwrap();
    let (mut successful, mut ready) = (0, true);
    for number in 0..CALLS {
        let drains = number % 2 == 0;
        if call(admin, if drains { DRAIN } else { ACTIVATE }) == 200 {
            (successful, ready) = (successful + 1, !drains);
        } else {
            // A failed call may or may not have taken effect: it is repeated until it succeeds.
            wait_for("a repeated call succeeds", || {
                call(admin, if drains { DRAIN } else { ACTIVATE }) == 200
            });
            ready = !drains;
        }
        assert_eq!(call(admin, READY) == 200, ready, "an acknowledged call is in force");
    }
    program.signal("KILL");
    program.end();
    let fired = injector.counters().unwrap().fired(fault.0);
    assert!(fired > 0, "at least one fault is injected");
    assert_eq!(fixture.ready_after_restart(), ready, "an acknowledged call is in force after a restart");
    assert!(
        successful >= MIN_SUCCESSFUL_CALLS,
        "{successful} of {CALLS} calls succeeded at once, at least {MIN_SUCCESSFUL_CALLS} expected, {fired} faults injected"
    );
}

#[rstest]
fn call_on_a_persistently_failing_disk_is_rejected_and_not_in_force(
    #[values(
        (Call::Open, libc::ENOSPC),
        (Call::FileWrite, libc::ENOSPC),
        (Call::Sync, libc::EIO),
        (Call::Rename, libc::EIO)
    )]
    fault: (Call, i32),
) {
    let fixture = Fixture::new();
    let injector = fixture.injector();
    let (program, admin) = fixture.start(Some(&injector));
    assert_eq!([call(admin, DRAIN), call(admin, ACTIVATE)], [200, 200]);
    injector.set(&fixture.plan().errno(fault.0, &[fault.1], 1.0)).unwrap();
    assert_eq!(call(admin, DRAIN), 500, "a call that cannot be stored is not acknowledged");
    assert!(injector.counters().unwrap().fired(fault.0) > 2, "the write is tried several times");
    assert_eq!(call(admin, READY), 200);
    assert!(fixture.ready_after_restart());
    injector.set(&fixture.plan()).unwrap();
    assert_eq!((call(admin, DRAIN), call(admin, READY)), (200, 503));
    program.signal("KILL");
    program.end();
    assert!(!fixture.ready_after_restart());
}

#[test]
fn process_killed_within_a_write_restarts_with_acknowledged_state() {
    let fixture = Fixture::new();
    let injector = fixture.injector();
    for kills in 1..=3 {
        let (program, admin) = fixture.start(Some(&injector));
        assert_eq!(call(admin, DRAIN), 200);
        injector.set(&fixture.plan().kill_in_write(1.0)).unwrap();
        let _ = ask_text(admin, &format!("{ACTIVATE} HTTP/1.1\r\nHost: x\r\n\r\n"));
        assert!(!program.end().success());
        assert_eq!(injector.counters().unwrap().torn_writes(), kills);
        injector.set(&fixture.plan()).unwrap();
        assert!(!fixture.ready_after_restart(), "the acknowledged drain is in force after a restart");
    }
}

#[test]
fn truncated_file_falls_back_to_the_previous_state() {
    let fixture = Fixture::new();
    let (program, admin) = fixture.start(None);
    let file = fixture.folder.0.join("sagearch-n0.json");
    // Two drains, so that the previous version of the file holds the drain as well.
    assert_eq!([call(admin, DRAIN), call(admin, DRAIN)], [200, 200]);
    program.signal("KILL");
    program.end();
    let contents = std::fs::read(&file).unwrap();
    for length in [0, 1, contents.len() / 2, contents.len() - 1] {
        std::fs::write(&file, &contents[..length]).unwrap();
        assert!(
            !fixture.ready_after_restart(),
            "the drain is in force with a file truncated to {length} bytes"
        );
    }
}

#[rstest]
#[case::forward(3_600)]
#[case::back(-3_600)]
fn resume_time_keeps_its_age_when_the_wall_clock_steps(#[case] step_seconds: i64) {
    let fixture = Fixture::new();
    let injector = fixture.injector();
    let (program, admin) = fixture.start(Some(&injector));
    let store = "s-00000001";
    for action in ["suspend", "resume"] {
        assert_eq!(call(admin, &format!("POST /v1/stores/{store}/{action}")), 200);
    }
    injector.set(&fixture.plan().wall_clock_step(step_seconds * 1_000_000)).unwrap();
    assert_eq!(call(admin, DRAIN), 200);
    let text = std::fs::read(fixture.folder.0.join("sagearch-n0.json")).unwrap();
    let stored: serde_json::Value = serde_json::from_slice(&text).unwrap();
    let stepped_ms = sagearch_clock::unix_millis().cast_signed() + step_seconds * 1_000;
    let age_ms =
        stepped_ms - stored["back"][store].as_i64().expect("the file holds the resume time of the store");
    assert!((0..5_000).contains(&age_ms), "{age_ms} ms old by the stepped clock, less than 5 s expected");
    program.signal("KILL");
    program.end();
}
