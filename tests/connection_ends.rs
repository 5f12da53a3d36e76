//! Ends of connections from which bytes were read: a complete request is answered, and a partial one is answered with
//! 408, or with 503 if the connection table is full.

#[path = "stand/identity.rs"]
mod identity_stand;
mod stand;
use identity_stand::*;
use rstest::rstest;
use sagearch::net::lifecycle::gateway::Gateway;
use serde_json::json;
use stand::*;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const OBJECT: &str = "video/7f3a/block-3";
/// File descriptors of a small gateway, and the client connections that its table then holds.
const DESCRIPTOR_LIMIT: usize = 64;
const CONNECTION_SLOTS: usize = DESCRIPTOR_LIMIT * 2 / 5;
/// The deadline of requests that keep their slots while a test runs.
const LONG_DEADLINE_MS: u64 = 4_000;

/// A store that never answers for objects named `slow`.
fn store() -> Store {
    Store::new(1, |line, _| if line.contains("obj=slow") { Do::Nothing } else { ok(b"x") })
}

/// Occupies every slot of the connection table with a waiting request.
fn fill_table(gateway: &Gateway, cache: &Store) -> Vec<TcpStream> {
    let text = |id: u64| request(&format!("video/slow{id}"), id, LONG_DEADLINE_MS, "Req-Kb: 40000\r\n");
    let waiting = (0..CONNECTION_SLOTS as u64).map(|id| send(gateway.listen, &text(id))).collect();
    wait_for("the attempts", || cache.pulls() == CONNECTION_SLOTS);
    waiting
}

/// Whether the connection ends with a close, and not with a reset.
fn ends_cleanly(stream: &TcpStream) -> bool {
    let mut stream = stream;
    stream.read(&mut [0]).is_ok_and(|read| read == 0)
}

fn status(stream: &TcpStream) -> Option<u16> {
    read_answer(stream, Instant::now()).map(|answer| answer.status)
}

#[rstest]
#[case::no_bytes(String::new())]
#[case::partial_request("GET /svc/video/a HTTP/1.1\r\nReq-Id: 0".into())]
#[case::request(request(OBJECT, 1_000, 1_500, ""))]
#[case::request_with_body(request("submit/f", 1_000, 1_500, "Req-Token: t\r\nContent-Length: 48000\r\n") + &"x".repeat(48_000))]
#[case::body_awaiting_100_continue(request(
    "submit/f",
    1_000,
    1_500,
    "Content-Length: 9\r\nExpect: 100-continue\r\n"
))]
fn client_at_a_full_table_is_rejected_without_a_reset(#[case] text: String) {
    let (bus, cache) = (Bus::default(), store());
    let gateway = gateway_with(&bus, &[cache.large_cache()], DESCRIPTOR_LIMIT, None);
    let _waiting = fill_table(&gateway, &cache);
    let rejected = send(gateway.listen, &text);
    let answer = read_answer(&rejected, Instant::now()).expect("the gateway answers");
    assert_eq!((answer.status, answer.fields["retry-after"].as_str()), (503, "1"));
    assert!(answer.took < Duration::from_millis(600), "{:?}", answer.took);
    assert!(ends_cleanly(&rejected));
}

/// More requests arrive at once than the gateway rejects at once.
#[test]
fn burst_at_a_full_table_is_rejected_request_by_request() {
    let (bus, cache) = (Bus::default(), store());
    let gateway = gateway_with(&bus, &[cache.large_cache()], DESCRIPTOR_LIMIT, None);
    let _waiting = fill_table(&gateway, &cache);
    let burst: Vec<TcpStream> =
        (0..40).map(|id| send(gateway.listen, &request(OBJECT, 1_000 + id, 1_500, ""))).collect();
    let statuses: Vec<_> = burst.iter().map(status).collect();
    assert!(statuses.iter().all(|status| *status == Some(503)), "{statuses:?}");
}

#[test]
fn partial_request_evicted_from_a_full_table_gets_408() {
    let (bus, cache) = (Bus::default(), store());
    let gateway = gateway_with(&bus, &[cache.large_cache()], DESCRIPTOR_LIMIT, None);
    let partial: Vec<TcpStream> =
        (0..CONNECTION_SLOTS).map(|_| send(gateway.listen, "GET /svc/video/a HTTP/1.1\r\n")).collect();
    thread::sleep(Duration::from_millis(200));
    assert_eq!(ask(gateway.listen, OBJECT, 1_000).status, 200);
    assert!(partial.iter().all(|stream| status(stream) == Some(408)));
}

/// Partial requests of one source hold 600 connections, more than the table has slots. The connections are opened
/// between ordinary requests.
#[test]
fn ordinary_requests_among_600_partial_ones_are_all_answered() {
    let (bus, cache) = (Bus::default(), store());
    let gateway = gateway(&bus, &[cache.large_cache()]);
    let mut partial = Vec::new();
    let mut answered = 0;
    for round in 0..50 {
        partial.extend((0..12).filter_map(|_| TcpStream::connect(gateway.listen).ok()));
        partial.iter().rev().take(12).for_each(|mut stream| {
            // The write may fail on a connection that was rejected meanwhile.
            let _ = stream.write_all(b"GET /svc/video/a HTTP/1.1\r\nReq-");
        });
        let text = request(&format!("video/o{round}"), 1_000 + round, 1_500, "");
        answered += usize::from(ask_text(gateway.listen, &text).is_some());
    }
    assert_eq!((partial.len(), answered), (600, 50));
}

/// All 600 partial requests are open before the first ordinary request arrives.
#[test]
fn ordinary_requests_after_600_partial_ones_are_all_answered() {
    let (bus, cache) = (Bus::default(), store());
    let gateway = gateway(&bus, &[cache.large_cache()]);
    let _partial: Vec<TcpStream> =
        (0..600).map(|_| send(gateway.listen, "GET /svc/video/a HTTP/1.1\r\nReq-")).collect();
    let ordinary: Vec<TcpStream> = (0..50)
        .map(|id| send(gateway.listen, &request(&format!("video/o{id}"), 1_000 + id, 1_500, "")))
        .collect();
    let answered = ordinary.iter().filter_map(status).count();
    assert_eq!(answered, 50);
}

/// Bytes that arrive after the answer must not reset the connection before the client has read it.
#[test]
fn partial_request_with_trickling_bytes_gets_408_and_no_reset() {
    let (bus, cache) = (Bus::default(), store());
    let gateway = gateway(&bus, &[cache.cache()]);
    let mut stream = send(gateway.listen, "GET /svc/video/a HTTP/1.1\r\nX: ");
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let (mut text, mut buffer, started) = (Vec::new(), [0; 512], Instant::now());
    let end = loop {
        let _ = stream.write_all(b"x");
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => text.extend_from_slice(&buffer[..read]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            // The client goes on writing for a while, like one that has not read the answer yet.
            Ok(_) if started.elapsed() < Duration::from_millis(2_900) => {
                thread::sleep(Duration::from_millis(20));
            }
            end => break end.map_err(|e| e.kind()),
        }
        assert!(started.elapsed() < Duration::from_secs(6));
    };
    assert!(text.starts_with(b"HTTP/1.1 408 "), "{:?}", String::from_utf8_lossy(&text));
    assert_eq!(end, Ok(0));
}

/// A request of the largest permitted size is pipelined behind an open one.
#[test]
fn large_request_pipelined_behind_an_open_one_is_answered() {
    let bus = Bus::default();
    let slow = Store::new(9, |_, body| {
        thread::sleep(Duration::from_millis(300));
        ok(&body[..body.len().min(3)])
    });
    let gateway = gateway(&bus, &[slow.origin()]);
    let put = |id: u64, body: &str| {
        let fields = format!("Req-Token: t{id}\r\nContent-Length: {}\r\n", body.len());
        request("submit/f", id, 2_500, &fields) + body
    };
    let mut stream = send(gateway.listen, &put(1, "one"));
    wait_for("the first attempt", || slow.pulls() == 1);
    stream.write_all(put(2, &"two".repeat(16_000)).as_bytes()).unwrap();
    let mut reader = io::BufReader::new(&stream);
    let bodies = [0; 2].map(|_| read_answer_on(&mut reader, Instant::now()).map(|answer| answer.body));
    assert_eq!(bodies, [Some(b"one".to_vec()), Some(b"two".to_vec())]);
}

#[test]
fn partial_operator_call_gets_408() {
    let (bus, folder) = (Bus::default(), Folder::default());
    let gateway = gateway_for_operators(&bus, &[], &folder);
    let answer = ask_text(gateway.admin.unwrap(), "GET /v1/rea").expect("the gateway answers");
    assert_eq!(answer.status, 408);
    assert!(answer.took < Duration::from_millis(3_500), "{:?}", answer.took);
}

// ---- TLS ----

/// A small gateway with TLS, the settings of a client, and its store.
fn tls_gateway() -> (Bus, Folder, Gateway, Arc<rustls::ClientConfig>, Store) {
    let (bus, folder, ca, key, cache) =
        (Bus::default(), Folder::default(), Authority::new("ca"), signer("k1"), store());
    folder.put("keys.json", &jwks(&[(&key, json!({}))]));
    folder.put("ca.pem", &ca.0.certificate);
    folder.put_pair("gw", &ca.server(&["gw.test"]));
    let tls = r#"tls { clients client-certificates="optional" { certificate "gw.pem" key="gw.key"; }; }"#;
    let text = file("file=\"keys.json\"", "certificates { roots \"ca.pem\"; }") + tls;
    let gateway = gateway_by(&bus, &[cache.large_cache()], |config| {
        config.sockets = DESCRIPTOR_LIMIT;
        config.operators = operators_in(&folder, &text, config);
    });
    let client_certificate = ca.client("spiffe://test/red/till", 1, life(600));
    let config = Arc::new(client_config(&[&ca], Some(&client_certificate)));
    (bus, folder, gateway, config, cache)
}

#[test]
fn tls_client_at_a_full_table_is_rejected_with_an_answer() {
    let (_bus, _folder, gateway, config, cache) = tls_gateway();
    let connect = || Tls::connect(gateway.listen, &config, "gw.test");
    let waiting: Vec<Tls> = (0..CONNECTION_SLOTS as u64)
        .map(|id| {
            let mut tls = connect().expect("a free slot");
            let text = request(&format!("video/slow{id}"), id, LONG_DEADLINE_MS, "Req-Kb: 40000\r\n");
            tls.0.get_mut().write_all(text.as_bytes()).unwrap();
            tls
        })
        .collect();
    wait_for("the attempts", || cache.pulls() == CONNECTION_SLOTS);
    let rejected = connect().expect("the handshake succeeds").ask(&request(OBJECT, 1_000, 1_500, ""));
    assert_eq!(rejected.map(|answer| answer.status), Some(503));
    drop(waiting);
}

#[test]
fn partial_request_over_tls_gets_408() {
    let (_bus, _folder, gateway, config, _cache) = tls_gateway();
    let mut tls = Tls::connect(gateway.listen, &config, "gw.test").unwrap();
    let answer = tls.ask("GET /svc/video/a HTTP/1.1\r\n").expect("the gateway answers");
    assert_eq!(answer.status, 408);
}
