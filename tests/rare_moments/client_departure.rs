//! Clients that go while their request is open, or before it is read.

use super::*;

/// The client closes its connection while the store works on the request. Each of these answers would lead to another
/// attempt at once; none must follow.
#[rstest]
#[case::store_refuses(Some("refused"), OBJECT)]
#[case::lookup_finds_nothing(Some("nothing"), OBJECT)]
#[case::attempt_stale_at_the_store(Some("stale"), OBJECT)]
#[case::store_fails(Some("error"), OBJECT)]
#[case::connection_breaks(None, OBJECT)]
#[case::origin_refuses(Some("refused"), "submit/f")]
fn client_gone_during_an_attempt_gets_no_further_attempt(
    #[case] word: Option<&'static str>,
    #[case] target: &str,
) {
    let (bus, client) = (Bus::default(), Arc::new(Mutex::new(None::<TcpStream>)));
    let held = client.clone();
    let stores = stores(move |_| {
        wait_for("the client", || held.lock().unwrap().take().is_some());
        word.map_or(Do::Break(Vec::new()), |word| Do::Answer(word, "-", Vec::new()))
    });
    let gateway = gateway(&bus, &listed(&stores));
    *client.lock().unwrap() = Some(send(gateway.listen, &request(target, 1, 2_000, "Req-Token: t\r\n")));
    wait_for("the request", || pulls(&stores) > 0);
    wait_for("its end", || gateway.core.broker().open_requests() == 0);
    assert_eq!(pulls(&stores), 1);
}

/// The end of the stream stands behind other bytes that the client has sent, and the store hangs: attempts that time
/// out are not repeated.
#[rstest]
#[case::pipelined_request(request("video/other", 2, 2_000, ""))]
#[case::flood("x".repeat(400_000))]
fn client_gone_behind_unread_bytes_gets_no_further_attempt(#[case] more: String) {
    let bus = Bus::default();
    let stores = stores(|_| Do::Nothing);
    let gateway = gateway(&bus, &listed(&stores));
    let mut client = send(gateway.listen, &request(OBJECT, 1, 6_000, ""));
    wait_for("the attempt", || pulls(&stores) == 1);
    client.write_all(more.as_bytes()).unwrap();
    drop(client);
    wait_for("its end", || gateway.core.broker().open_requests() == 0);
    assert_eq!(pulls(&stores), 1);
}

/// The process is paused while a request arrives and its client closes: no attempt is made for it, and the next
/// request is served.
#[test]
fn request_read_after_its_client_has_gone_is_not_started() {
    let bus = Bus::default();
    let cache = Store::new(1, |_, _| ok(b"x"));
    bus.list(&[cache.cache()]);
    let program = Program::start(&bus);
    program.paused(true);
    drop(send(program.at, &request(OBJECT, 1, 2_000, "")));
    let next = send(program.at, &request(OBJECT, 2, 2_000, ""));
    program.paused(false);
    assert_eq!(read_answer(&next, Instant::now()).unwrap().status, 200);
    let ids: Vec<String> = cache.lines("PULL").iter().map(|line| line[20..21].into()).collect();
    assert_eq!(ids, ["2"]);
}

/// A half-close can't be told from a close, so the attempt is cancelled (docs/questions.md).
#[test]
fn half_closed_client_is_treated_as_gone() {
    let bus = Bus::default();
    let slow = Store::new(1, |_, _| Do::Nothing);
    let gateway = gateway(&bus, &[slow.cache()]);
    let mut asked = send(gateway.listen, &request(OBJECT, 7, 5_000, ""));
    wait_for("the attempt", || slow.pulls() == 1);
    asked.shutdown(Shutdown::Write).unwrap();
    assert_eq!(asked.read(&mut [0]).unwrap(), 0);
    wait_for("the KILL", || slow.lines("KILL") == ["KILL 0000000000000007"]);
}

/// A connection to a store that comes up after the client has gone carries no request.
#[test]
fn connection_up_after_its_client_has_gone_carries_nothing() {
    let bus = Bus::default();
    let late = LateStore::new();
    let entry = late.listed_as(Store::new(1, |_, _| ok(b"x")).cache());
    let gateway = gateway_by(&bus, &[entry], |config| config.names.connections.connect_timeout = 4_000_000);
    let asked = send(gateway.listen, &request(OBJECT, 1, 5_000, "Req-Kb: 40000\r\n"));
    wait_for("it is taken", || gateway.core.broker().open_requests() == 1);
    thread::sleep(Duration::from_millis(50));
    drop(asked);
    wait_for("its end", || gateway.core.broker().open_requests() == 0);
    late.come_up();
    wait_for("the connection", || late.connections() > 0);
    thread::sleep(Duration::from_millis(500));
    assert!(late.arrivals().is_empty(), "{:?}", late.arrivals());
}
