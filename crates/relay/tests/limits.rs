//! Invalid input, limits, and the shutdown of a relay.

mod support;

use sagearch_relay::client::{CallError, HttpClient, MAX_BODY_BYTES};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{
    BusMode, FakeBus, Subscriber, connect_from, get_json, relay_file, request, send_and_read, start,
    start_stub_server, wait_until,
};
use tokio::net::TcpStream;

/// The status and the body of an HTTP answer.
fn status_and_body(answer: &str) -> (&str, &str) {
    let status = answer.split(' ').nth(1).unwrap_or_default();
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, body)
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_query_is_answered_400_with_position() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    Subscriber::new(relay.address, "g1").catch_up(1).await;
    let long_value = "x".repeat(2_000);
    let cases = [
        ("/bus/read", "`from` is missing"),
        ("/bus/read?hold=100", "`from` is missing"),
        ("/bus/read?from=-1", "byte 5: not a whole number"),
        ("/bus/read?from=99999999999999999999", "byte 5: not a whole number"),
        ("/bus/read?from=1&hold=soon", "byte 12: not a whole number"),
        ("/bus/read?from=1&from=2", "byte 7: given twice"),
        ("/bus/read?from=1&feed=a/b", "byte 12: not an identity"),
        ("/bus/read?from=1&name=g1", "only given together"),
        ("/bus/read?from=1&name=%zz&incarnation=1", "not a name"),
        (&format!("/bus/read?from=1&other={long_value}"), "longer than 1024 bytes"),
        ("/feed/wait?offset=1", "within_ms"),
        ("/feed/wait?offset=x&within_ms=1", "offset"),
        ("/feed/wait?offset=1&within_ms=3600000", "within_ms is over 60000"),
        ("/feed/status?offset=x", "offset"),
    ];
    for (path, cause) in cases {
        let answer = request(relay.address, "GET", path).await;
        let (status, body) = status_and_body(&answer);
        assert_eq!(status, "400", "{path}: {answer}");
        assert!(body.contains(cause), "{path}: {body}");
    }
    for (method, path, status) in
        [("GET", "/feed/forget?name=g1", "405"), ("POST", "/feed/forget", "400"), ("GET", "/bus", "404")]
    {
        let answer = request(relay.address, method, path).await;
        assert_eq!(status_and_body(&answer).0, status, "{method} {path}: {answer}");
    }
    let status = get_json(relay.address, "/feed/status").await;
    assert_eq!(status["counters"]["bad"], 10, "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_parameters_and_huge_offset_are_accepted() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    Subscriber::new(relay.address, "g1").catch_up(1).await;
    let answer = get_json(relay.address, "/bus/read?from=0&hold=0&colour=red&x").await;
    assert_eq!(answer["offset"], 1, "{answer}");

    let path_of_poll_ahead = format!("/bus/read?from={}&hold=50&feed=feed-a", u64::MAX);
    let started_at = Instant::now();
    let answer = get_json(relay.address, &path_of_poll_ahead).await;
    assert!(
        started_at.elapsed() >= Duration::from_millis(50),
        "a poll from an offset above the log must stay pending"
    );
    assert_eq!((&answer["offset"], &answer["batch"]), (&json!(1), &json!([])), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_head_over_8_kb_is_refused() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let head = |length: usize| format!("GET /feed/status HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(length));
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let answer = send_and_read(&mut stream, &head(9_000)).await;
    assert_eq!(status_and_body(&answer).0, "431", "{answer}");

    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let answer = send_and_read(&mut stream, &head(7_000)).await;
    assert_eq!(status_and_body(&answer).0, "200", "{answer}");

    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let answer = send_and_read(&mut stream, "no HTTP at all\r\n\r\n").await;
    assert_eq!(status_and_body(&answer).0, "400", "{answer}");
}

/// Asserts that a relay applies nothing of a malformed answer, and then polls its next upstream. Returns the relay's
/// status after the failures.
async fn assert_answer_is_rejected(answer: Vec<u8>) -> Value {
    let stub = start_stub_server(answer).await;
    let bus = FakeBus::start(Some("feed-a")).await;
    bus.set_mode(BusMode::Failing);
    let relay = start(&relay_file("r1", &[stub, bus.address], ""));
    wait_until("three failures", async || {
        get_json(relay.address, "/feed/status").await["counters"]["upstream_failures"].as_u64().unwrap() >= 3
    })
    .await;
    let status = get_json(relay.address, "/feed/status").await;
    assert_eq!(status["offset"], 0, "{status}");

    // The relay polls its next upstream.
    bus.set_mode(BusMode::Answering);
    Subscriber::new(relay.address, "g1").catch_up(1).await;
    status
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_upstream_answer_changes_nothing() {
    let body = json!({"offset": 1, "feed": "feed-x", "batch": [{"offset": 1, "ban": {"tag": 1, "ts": 1}}]})
        .to_string();
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let truncated = format!("{}{body}", head(body.len() + 10));
    let incomplete_json = format!("{}{}", head(20), "{\"offset\":1,\"batch\":");
    let no_offset = format!("{}{}", head(12), "{\"batch\":[]}");
    let bad_feed = r#"{"offset":1,"feed":"a b","batch":[]}"#;
    let bad_feed = format!("{}{bad_feed}", head(bad_feed.len()));
    let looped =
        format!("HTTP/1.1 200 OK\r\nFeed-Via: r0, r1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    for answer in [
        truncated,
        incomplete_json,
        no_offset,
        bad_feed,
        looped,
        "HTTP/1.1 200".into(),
        "nothing known\r\n\r\n".into(),
    ] {
        assert_answer_is_rejected(answer.into_bytes()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_upstream_answer_changes_nothing() {
    let length = MAX_BODY_BYTES + 1;
    let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    // The JSON itself is valid: only the length can cause the rejection.
    answer.extend_from_slice(br#"{"offset":1,"feed":"feed-x","batch":[]}"#);
    answer.resize(answer.len() + length, b' ');
    let stub = start_stub_server(answer.clone()).await;
    let call = HttpClient::new().get(stub, "/bus/read").await;
    assert!(matches!(call, Err(CallError::TooLong)), "{:?}", call.err());
    assert_answer_is_rejected(answer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_times_out_and_next_is_polled() {
    let silent = FakeBus::start(Some("feed-a")).await;
    silent.set_mode(BusMode::Silent);
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[silent.address, bus.address], ""));
    Subscriber::new(relay.address, "g1").catch_up(1).await;
    assert!(silent.polls() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_of_one_address_leave_capacity_for_others() {
    rlimit::increase_nofile_limit(8_192).unwrap();
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], "per-address=64 sessions=200"));
    let mut other = Subscriber::new(relay.address, "g1");
    other.catch_up(1).await;
    drop(other);

    let mut connections_of_first_address = Vec::new();
    for _ in 0..1_000 {
        connections_of_first_address.push(connect_from("127.0.0.2", relay.address).await);
    }
    wait_until("64 served connections", async || {
        get_json(relay.address, "/feed/status").await["connections"].as_u64().unwrap() >= 64
    })
    .await;
    let status = get_json(relay.address, "/feed/status").await;
    let connections = status["connections"].as_u64().unwrap();
    assert!((64..64 + 10).contains(&connections), "{connections} connections are served");

    let started_at = Instant::now();
    let mut stream = connect_from("127.0.0.3", relay.address).await;
    let answer =
        send_and_read(&mut stream, "GET /bus/read?from=0&hold=0 HTTP/1.1\r\nConnection: close\r\n\r\n").await;
    assert_eq!(status_and_body(&answer).0, "200", "{answer}");
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "another address waited {:?}",
        started_at.elapsed()
    );

    // A further connection from the first address is answered 503 with a Retry-After once the refusals in progress have
    // ended.
    wait_until("a refusal with a Retry-After", async || {
        let mut stream = connect_from("127.0.0.2", relay.address).await;
        let answer = send_and_read(&mut stream, "GET /bus/read?from=0&hold=0 HTTP/1.1\r\n\r\n").await;
        assert_ne!(status_and_body(&answer).0, "200", "{answer}");
        status_and_body(&answer).0 == "503" && answer.contains("Retry-After: 1\r\n")
    })
    .await;

    // Connections from the first address are admitted again once the others have closed.
    drop(connections_of_first_address);
    wait_until("an admitted connection after the others have closed", async || {
        let mut stream = connect_from("127.0.0.2", relay.address).await;
        let answer =
            send_and_read(&mut stream, "GET /bus/read?from=0&hold=0 HTTP/1.1\r\nConnection: close\r\n\r\n")
                .await;
        status_and_body(&answer).0 == "200"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_pending_poll_releases_its_session() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], "sessions=20"));
    Subscriber::new(relay.address, "g1").catch_up(1).await;
    for _ in 0..5 {
        let mut streams = Vec::new();
        for _ in 0..10 {
            let mut stream = TcpStream::connect(relay.address).await.unwrap();
            let poll = b"GET /bus/read?from=1&hold=20000&feed=feed-a HTTP/1.1\r\nHost: r\r\n\r\n";
            tokio::io::AsyncWriteExt::write_all(&mut stream, poll).await.unwrap();
            streams.push(stream);
        }
        let pending = async || get_json(relay.address, "/feed/status").await["held_polls"].as_u64().unwrap();
        wait_until("ten pending polls", async || pending().await == 10).await;
        drop(streams);
        wait_until("no pending poll", async || pending().await == 0).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_relay_answers_pending_polls_at_once() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    gateway.catch_up(1).await;
    let address = relay.address;
    let polling = tokio::spawn(async move { gateway.send_poll(20_000).await });
    wait_until("a pending poll", async || get_json(address, "/feed/status").await["held_polls"] == 1).await;

    let started_at = Instant::now();
    relay.stop().await;
    let result = polling.await.unwrap();
    assert!(started_at.elapsed() < Duration::from_secs(2), "the shutdown took {:?}", started_at.elapsed());
    let error = result.expect_err("a relay that shuts down answers 503").to_string();
    assert!(error.contains("503"), "{error}");
    assert!(TcpStream::connect(address).await.is_err(), "the relay still listens");
}

#[tokio::test(flavor = "multi_thread")]
async fn pending_polls_share_one_body() {
    const POLLS: usize = 2_000;
    rlimit::increase_nofile_limit(16_384).unwrap();
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], "per-address=3000"));
    Subscriber::new(relay.address, "g1").catch_up(1).await;
    let mut streams = Vec::new();
    for _ in 0..POLLS {
        let mut stream = TcpStream::connect(relay.address).await.unwrap();
        let poll =
            b"GET /bus/read?from=1&hold=30000&feed=feed-a HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, poll).await.unwrap();
        streams.push(stream);
    }
    let status = async || get_json(relay.address, "/feed/status").await;
    wait_until("2000 pending polls", async || status().await["held_polls"] == POLLS).await;
    let bodies = async || status().await["counters"]["bodies"].as_u64().unwrap();
    let bodies_before = bodies().await;

    bus.drain("store-1");
    let mut received = std::collections::HashSet::new();
    for mut stream in streams {
        let answer = send_and_read(&mut stream, "").await;
        received.insert(status_and_body(&answer).1.to_string());
    }
    assert_eq!(received.len(), 1, "{received:?}");
    assert!(received.iter().all(|body| body.contains("draining")), "{received:?}");
    assert_eq!(bodies().await, bodies_before + 1);
}
