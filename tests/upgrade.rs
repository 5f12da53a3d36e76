//! Upgrades: two processes of one gateway accept connections at a listening socket that both inherit.

mod stand;
use stand::*;
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The new process starts before the previous one drains. Every request is answered, and request ids and stores that an
/// operator suspended are known to the new process.
#[test]
fn upgrade_under_requests_answers_all_and_keeps_learned_state() {
    let (bus, folder) = (Bus::default(), Folder::default());
    let cache = Store::new(1, |line, _| {
        std::thread::sleep(Duration::from_millis(if line.contains("obj=slow") { 500 } else { 0 }));
        ok(b"x")
    });
    let suspended = Store::new(2, |_, _| ok(b"x"));
    bus.list(&[cache.cache(), suspended.cache()]);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, admins) = (socket.local_addr().unwrap(), [unused_address(), unused_address()]);
    let previous = Program::inherit(&bus, &socket, admins[0], &folder);
    let first_request = request("video/a", 1, 1_500, "");
    let mut idle = send(address, &first_request);
    assert_eq!(read_answer(&idle, Instant::now()).unwrap().status, 200);
    assert_eq!(call(admins[0], &format!("POST /v1/stores/{}/suspend", suspended.name)), 200);
    let pulls_before = suspended.pulls();
    let slow = send(address, &request("video/slow", 2, 1_500, ""));
    wait_for("the slow attempt", || cache.lines("PULL").iter().any(|line| line.contains("obj=slow")));

    let current = Program::inherit(&bus, &socket, admins[1], &folder);
    previous.signal("TERM");
    wait_for("the previous process is not ready", || call(admins[0], "GET /v1/readyz") == 503);
    for id in 10..50 {
        let answer = ask(address, &format!("video/o{id}"), id);
        assert_eq!((answer.status, answer.fields.get("connection")), (200, None), "the new process answers");
    }
    // The previous process serves its open requests and new ones on its open connections, and closes each connection.
    assert_eq!(read_answer(&slow, Instant::now()).unwrap().fields["connection"], "close");
    idle.write_all(request("video/b", 3, 1_500, "").as_bytes()).unwrap();
    let last_answer = read_answer(&idle, Instant::now()).unwrap();
    assert_eq!((last_answer.status, last_answer.fields["connection"].as_str()), (200, "close"));
    drop((idle, slow));
    assert!(previous.end().success());
    // The new process knows the request ids of the previous one, and a suspended store stays suspended.
    assert_eq!(ask_text(address, &first_request).unwrap().status, 409);
    assert_eq!(suspended.pulls(), pulls_before);
    assert_eq!(call(admins[1], &format!("POST /v1/stores/{}/resume", suspended.name)), 200);
    current.signal("TERM");
    assert!(current.end().success());
}
