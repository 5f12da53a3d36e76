//! Steps the wall clocks of a running gateway (through the fault injector) and of the machines that stamp events.
//! Guards against purged copies that are served, and against a store that loses its slow start.

#[allow(dead_code, reason = "the feed tests use the other items")]
#[path = "stand/relay.rs"]
mod relay;
mod stand;

use relay::Relay;
use rstest::rstest;
use sagearch_clock::unix_millis;
use sagearch_faults::{FaultPlan, Injector};
use serde_json::json;
use stand::*;
use std::net::TcpStream;
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The duration of a store's slow start.
const WARM_UP: Duration = Duration::from_secs(4);
/// The number of requests of a round.
const ROUND_REQUESTS: u64 = 150;
/// The minimum number of a round's requests that go to one of two warm stores.
const MIN_WARM_REQUESTS: usize = 40;
/// The maximum number of a round's requests that go to a cold store.
const MAX_COLD_REQUESTS: usize = 20;

/// The machines whose wall clocks are stepped.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SteppedClocks {
    Gateway,
    Others,
    All,
}

/// A gateway and the machines that stamp events, whose wall clocks can be stepped.
struct Machines {
    gateway: Program,
    injector: Injector,
    stepped: SteppedClocks,
    step_ms: i64,
    _folder: Folder,
}

impl Machines {
    fn start(bus: &Bus, stepped: SteppedClocks, step_seconds: i64) -> Machines {
        let folder = Folder::default();
        let injector = Injector::new(&folder.0, 1).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sagearch"));
        injector.apply_to(&mut command);
        let gateway = Program::start_where(bus, command, |config| {
            config["settings"]["Obligations"]["WarmUp"] = json!(WARM_UP.as_micros() as u64);
        });
        wait_for("the gateway to listen", || TcpStream::connect(gateway.at).is_ok());
        Machines { gateway, injector, stepped, step_ms: step_seconds * 1_000, _folder: folder }
    }

    /// Steps the gateway's clock, unless only the others' are stepped.
    fn step_clocks(&self) {
        if self.stepped != SteppedClocks::Others {
            self.injector.set(&FaultPlan::new().wall_clock_step(self.step_ms * 1_000)).unwrap();
        }
    }

    /// Whether the gateway has read its clock after the step, if its clock is stepped.
    fn gateway_has_read_the_step(&self) -> bool {
        self.stepped == SteppedClocks::Others || self.injector.counters().unwrap().stepped_readings() > 0
    }

    /// The time stamp of the machines that stamp events, after the step, in Unix milliseconds.
    fn stamp(&self) -> u64 {
        let step = if self.stepped == SteppedClocks::Gateway { 0 } else { self.step_ms };
        unix_millis().checked_add_signed(step).unwrap()
    }
}

/// The age limit in milliseconds in a store's log line of a pull.
fn max_age(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("maxage=")?;
    Some(rest.split([',', ' ']).next()?.parse().unwrap())
}

#[rstest]
fn purge_received_after_a_clock_step_excludes_older_copies(
    #[values(5, -5, 60, 3_600, -3_600)] step_seconds: i64,
    #[values(SteppedClocks::Gateway, SteppedClocks::Others, SteppedClocks::All)] stepped: SteppedClocks,
) {
    let (bus, cache) = (Bus::default(), Store::new(1, |_, _| ok(b"x")));
    bus.list(&[cache.cache()]);
    let machines = Machines::start(&bus, stepped, step_seconds);
    let gateway_address = machines.gateway.at;
    assert_eq!(ask(gateway_address, "video/a", 1).status, 200);
    assert_eq!(max_age(&cache.lines("PULL")[0]), None);
    machines.step_clocks();
    let purged_at = Instant::now();
    bus.push("ban", json!({"url": "a", "ts": machines.stamp()}));
    for id in [2, 3] {
        sleep(Duration::from_millis(500));
        assert_eq!(ask(gateway_address, "video/a", id).status, 200);
        let line = cache.lines("PULL").pop().unwrap();
        let elapsed_millis = purged_at.elapsed().as_millis() as u64;
        let limit =
            max_age(&line).unwrap_or_else(|| panic!("request without an age limit after a purge: {line}"));
        assert!(
            limit <= elapsed_millis,
            "age limit {limit} ms, but the purge was {elapsed_millis} ms ago: {line}"
        );
        assert!(
            limit + 400 >= elapsed_millis,
            "age limit {limit} ms, but the purge was {elapsed_millis} ms ago: {line}"
        );
    }
    assert!(machines.gateway_has_read_the_step());
}

#[rstest]
fn store_started_after_a_clock_step_gets_a_slow_start_of_normal_length(
    #[values(5, -5, 60, 3_600, -3_600)] step_seconds: i64,
    #[values(SteppedClocks::Gateway, SteppedClocks::Others, SteppedClocks::All)] stepped: SteppedClocks,
) {
    let bus = Bus::default();
    let [warm, cold] = [1, 2].map(|id| Store::new(id, |_, _| ok(b"x")));
    bus.list(&[warm.cache()]);
    let machines = Machines::start(&bus, stepped, step_seconds);
    let pulls_of_cold_store = |first_id: u64| {
        let before = cold.pulls();
        for id in first_id..first_id + ROUND_REQUESTS {
            let text = request(&format!("video/o{id}"), id, 1_500, "Req-Kb: 4000\r\n");
            assert_eq!(ask_text(machines.gateway.at, &text).unwrap().status, 200);
        }
        cold.pulls() - before
    };
    pulls_of_cold_store(1_000);
    machines.step_clocks();
    let mut entry = cold.cache();
    entry["startedAtMs"] = json!(machines.stamp());
    let started_at = Instant::now();
    bus.list(&[entry]);
    sleep(Duration::from_millis(200));
    let sent = pulls_of_cold_store(2_000);
    assert!((1..=MAX_COLD_REQUESTS).contains(&sent), "the cold store received {sent} of {ROUND_REQUESTS}");
    sleep((WARM_UP + Duration::from_millis(500)).saturating_sub(started_at.elapsed()));
    let sent = pulls_of_cold_store(3_000);
    assert!(sent >= MIN_WARM_REQUESTS, "the warm store received {sent} of {ROUND_REQUESTS}");
    assert!(machines.gateway_has_read_the_step());
}

/// A relay ignores acknowledgements of an earlier incarnation, so a restarted gateway must not choose a lower one after
/// its clock was stepped back.
#[test]
fn gateway_restarted_after_a_backward_clock_step_has_a_higher_incarnation() {
    let (relay, bus, folder) = (Relay::new("f1"), Bus::default(), Folder::default());
    relay.list(&[]);
    let operators_file = folder.0.join("gateway.kdl");
    std::fs::write(&operators_file, format!("feed {{\nrelay \"r0\" \"{}\"\n}}\n", relay.at)).unwrap();
    let injector = Injector::new(&folder.0, 1).unwrap();
    let incarnations = || -> Vec<u64> {
        let incarnation_of =
            |line: &str| line.split_once("incarnation=")?.1.split([' ', '&']).next()?.parse().ok();
        let mut all: Vec<u64> = relay.polls().iter().filter_map(|poll| incarnation_of(&poll.line)).collect();
        all.dedup();
        all
    };
    for (previous_starts, step_seconds) in [0, -3_600, -7_200].into_iter().enumerate() {
        injector.set(&FaultPlan::new().wall_clock_step(step_seconds * 1_000_000)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sagearch"));
        injector.apply_to(&mut command);
        command.args(["--operators".as_ref(), operators_file.as_os_str()]).env("TMPDIR", &folder.0);
        let _gateway = Program::start_where(&bus, command, |_| {});
        wait_for("polls with a new incarnation", || incarnations().len() > previous_starts);
    }
    let incarnations = incarnations();
    assert!(incarnations.is_sorted_by(|previous, next| previous < next), "{incarnations:?}");
}
