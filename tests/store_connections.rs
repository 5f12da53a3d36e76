//! Connections to stores while system calls fail by injected faults.

mod stand;
use libc::{EADDRNOTAVAIL, EINTR, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
use rstest::rstest;
use sagearch_faults::{Call, FaultPlan, Injector};
use stand::*;

const SEED: u64 = 11;
const REQUESTS: u64 = 200;
const FAULT_RATE: f64 = 0.2;

/// The origin closes its connection after each answer, so that each request has to connect. Transient failures at the
/// gateway's own machine fail no request, not even one that must not run twice.
#[rstest]
#[case::connect(Call::Connect, &[EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH])]
#[case::socket(Call::Socket, &[EMFILE, ENFILE, ENOBUFS, ENOMEM])]
#[case::no_delay(Call::SetSocketOption, Call::SetSocketOption.errnos())]
fn transient_local_failure_at_connect_fails_no_request(#[case] call: Call, #[case] errnos: &[i32]) {
    let (bus, folder) = (Bus::default(), Folder::default());
    let origin = Store::new(9, |line, _| {
        let id = line.split(' ').nth(1).unwrap_or_default();
        Do::Break(format!("{id} ok res=TCP_HIT,etag=e1,made=1 1\r\nx\r\n").into_bytes())
    });
    bus.list(&[origin.origin()]);
    let injector = Injector::new(&folder.0, SEED).unwrap();
    let program = Program::start_under(&bus, &injector);
    injector.set(&FaultPlan::new().errno(call, errnos, FAULT_RATE)).unwrap();
    let status_after_close = |id| {
        let status = ask(program.at, "once/f", id).status;
        // A request sent earlier could race with the close, and would rightly not be retried.
        wait_for("the origin has closed its connection", || origin.ended() == origin.connections());
        status
    };
    let statuses: Vec<u16> = (1..=REQUESTS).map(status_after_close).collect();
    let counters = injector.counters().unwrap();
    assert!(counters.fired(call) > 0, "no fault fired: {counters:?}");
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served as u64, REQUESTS, "{} of {} calls failed", counters.fired(call), counters.calls(call));
}
