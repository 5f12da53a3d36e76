//! Operators' calls on real sockets.

mod stand;
use serde_json::json;
use stand::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const SEGMENT: &str = "video/7f3a/block-3";

fn two_caches() -> [Store; 2] {
    [1, 2].map(|id| Store::new(id, |_, _| ok(b"x")))
}

/// Asks for many objects, each new.
fn ask_many(at: std::net::SocketAddr, from: u64) {
    (from..from + 40).for_each(|id| assert_eq!(ask(at, &format!("video/o{id}"), id).status, 200));
}

#[test]
fn a_store_out_by_hand_gets_nothing_until_it_is_put_back_once() {
    let (bus, folder) = (Bus::default(), Folder::default());
    let [first, second] = two_caches();
    let origin = Store::new(9, |_, _| ok(b"x"));
    let gateway = gateway_for_operators(&bus, &[first.cache(), second.cache(), origin.origin()], &folder);
    let (at, admin) = (gateway.listen, gateway.admin.unwrap());
    ask_many(at, 1);
    assert!(first.pulls() > 0 && second.pulls() > 0);
    let out = format!("POST /v1/stores/{}/suspend", first.name);
    assert_eq!([call(admin, &out), call(admin, &out)], [200, 200]);
    // The list names it again, as started anew: it stays out.
    let before = first.pulls();
    let mut entry = first.cache();
    entry["startedAtMs"] = json!(u64::MAX / 2_000);
    bus.list(&[entry]);
    std::thread::sleep(Duration::from_millis(300));
    ask_many(at, 100);
    assert_eq!(first.pulls(), before);
    assert!(second.lines("PULL").iter().all(|line| !line.contains(&format!("src={}", first.name))));
    assert_eq!(call(admin, &format!("POST /v1/stores/{}/resume", first.name)), 200);
    assert_eq!(call(admin, &format!("POST /v1/stores/{}/resume", first.name)), 200);
    wait_for("it is used again", || {
        static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1_000);
        let id = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        ask(at, &format!("video/p{id}"), id);
        first.pulls() > before
    });
}

/// Another process of the same gateway, side by side or later: what was stored holds there too.
#[test]
fn what_operators_want_lasts() {
    let (bus, folder) = (Bus::default(), Folder::default());
    let [first, second] = two_caches();
    let list = [first.cache(), second.cache()];
    let old = gateway_for_operators(&bus, &list, &folder);
    let out = format!("POST /v1/stores/{}/suspend", first.name);
    assert_eq!(call(old.admin.unwrap(), &out), 200);
    let new = gateway_for_operators(&bus, &list, &folder);
    ask_many(new.listen, 1);
    assert_eq!(first.pulls(), 0);
    // What one is told the other hears of.
    assert_eq!(call(new.admin.unwrap(), "POST /v1/gateway/drain"), 200);
    wait_for("both are drained", || call(old.admin.unwrap(), "GET /v1/readyz") == 503);
    // A broken file stops no start.
    std::fs::write(folder.0.join("sagearch-n0.json"), "{\"out\":[").unwrap();
    let next = gateway_for_operators(&bus, &list, &folder);
    assert_eq!(call(next.admin.unwrap(), "GET /v1/readyz"), 200);
}

#[test]
fn a_drained_gateway_sends_its_clients_away_and_serves_what_crosses() {
    let (bus, folder) = (Bus::default(), Folder::default());
    let cache = Store::new(1, |line, _| {
        std::thread::sleep(Duration::from_millis(if line.contains("obj=slow") { 500 } else { 0 }));
        ok(b"x")
    });
    let gateway = gateway_for_operators(&bus, &[cache.cache()], &folder);
    let (at, admin) = (gateway.listen, gateway.admin.unwrap());
    let idle = send(at, &request(SEGMENT, 1, 1_500, ""));
    assert_eq!(read_answer(&idle, Instant::now()).unwrap().fields.get("connection"), None);
    let silent = TcpStream::connect(at).unwrap();
    let slow = send(at, &request("video/slow", 2, 1_500, ""));
    wait_for("the attempt", || cache.pulls() == 2);
    assert_eq!(call(admin, "GET /v1/readyz"), 200);
    assert_eq!(call(admin, "POST /v1/gateway/drain"), 200);
    let since = Instant::now();
    assert_eq!(call(admin, "GET /v1/readyz"), 503);
    let live = "GET /status/live HTTP/1.1\r\n\r\n";
    assert_eq!(ask_text(at, live).unwrap().status, 503);
    let crossing = ask(at, SEGMENT, 3);
    assert_eq!((crossing.status, crossing.fields["connection"].as_str()), (200, "close"));
    let answer = read_answer(&slow, since).unwrap();
    assert_eq!((answer.status, answer.fields["connection"].as_str()), (200, "close"));
    for held in [&idle, &silent] {
        assert!(read_answer(held, since).is_none());
    }
    assert!(since.elapsed() < Duration::from_millis(3_500), "{:?}", since.elapsed());
    assert_eq!(call(admin, "POST /v1/gateway/activate"), 200);
    assert_eq!(call(admin, "GET /v1/readyz"), 200);
    assert_eq!(ask_text(at, live).unwrap().status, 200);
    assert_eq!(ask(at, SEGMENT, 4).fields.get("connection"), None);
}

#[test]
fn calls_are_answered_whatever_others_hold() {
    let (bus, folder) = (Bus::default(), Folder::default());
    let cache = Store::new(1, |_, _| ok(b"x"));
    let gateway = gateway_for_operators(&bus, &[cache.cache()], &folder);
    let admin = gateway.admin.unwrap();
    let held: Vec<TcpStream> = (0..60).map(|_| send(admin, "POST /v1/gateway/dr")).collect();
    for (line, status) in [
        ("GET /v1/readyz", 200),
        ("GET /v1/gateway/drain", 405),
        ("GET /v1/none", 404),
        ("POST /v1/stores/s-0000dead/suspend", 404),
        ("POST /v1/stores/s-0000dead/resume", 404),
        ("POST /v1/stores/1/suspend", 404),
        ("POST", 400),
    ] {
        assert_eq!(call(admin, line), status, "{line}");
    }
    drop(held);
}
