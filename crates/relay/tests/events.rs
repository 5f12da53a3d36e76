//! Delivery of events through relays: unchanged content, batching delay, snapshots, restarts and loops.

mod support;

use sagearch_relay::client::CallError;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::ports::unused_address;
use support::{
    BusMode, FakeBus, Subscriber, events, get_json, relay_file, relay_file_with, start, wait_until,
};

#[tokio::test(flavor = "multi_thread")]
async fn events_are_passed_on_unchanged_with_offsets_and_feed() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    gateway.catch_up(1).await;
    assert_eq!(gateway.feed.as_deref(), Some("feed-a"));

    bus.publish(json!({"ban": {"url": "/a", "ts": 7, "why": ["news", 1]}, "later": {"word": 1.5}}));
    bus.publish(json!({"quota": {"of": "another kind"}}));
    bus.publish(json!({"topology": {"generation": 9, "reset": false, "new": true, "instances": []}}));
    let last = bus.publish(json!({"ban": {"tag": "no number", "ts": "never"}}));
    let answers = gateway.catch_up(last).await;
    assert_eq!(events(&answers), bus.events_after(1));
    assert!(answers.iter().all(|answer| answer["feed"] == "feed-a" && answer["snapshot"].is_null()));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_relay_passes_on_same_events_with_greater_age() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let near = start(&relay_file("near", &[bus.address], ""));
    let far = start(&relay_file("far", &[near.address], ""));
    let last = bus.purge(5);
    let mut gateway = Subscriber::new(far.address, "g1");
    gateway.catch_up(last).await;
    assert_eq!(gateway.feed.as_deref(), Some("feed-a"));

    let next = bus.drain("store-1");
    assert_eq!(events(&gateway.catch_up(next).await), bus.events_after(last));
    let status = get_json(far.address, "/feed/status").await;
    assert_eq!(status["chain"], json!(["far", "near"]));
    let age = status["age_ms"].as_f64().unwrap();
    assert!(age < 1_700.0, "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn topology_event_is_sent_without_batch_delay() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], "batch=\"1s\""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    gateway.catch_up(1).await;
    let (answer, elapsed) = pending_poll(&mut gateway, || bus.purge(1)).await;
    assert_eq!(events(&[answer]), bus.events_after(1));
    assert!(
        elapsed > Duration::from_millis(700),
        "the purge arrived after {elapsed:?}, without the batch delay"
    );

    let publish_both = || bus.purge(2).max(bus.drain("store-1"));
    let (answer, elapsed) = pending_poll(&mut gateway, publish_both).await;
    assert_eq!(events(&[answer]), bus.events_after(2));
    assert!(elapsed < Duration::from_millis(600), "the topology arrived after {elapsed:?}");
}

/// Publishes while a poll is pending. Returns the poll's answer, and the time from the publication to the answer.
async fn pending_poll(gateway: &mut Subscriber, publish: impl FnOnce() -> u64) -> (Value, Duration) {
    let relay = gateway.relay;
    let poll = gateway.poll(10_000);
    let publication = async {
        wait_until("a pending poll", async || get_json(relay, "/feed/status").await["held_polls"] == 1).await;
        publish();
        Instant::now()
    };
    let (answer, published_at) = tokio::join!(poll, publication);
    (answer.unwrap(), published_at.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn many_purges_are_sent_in_few_answers() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    gateway.catch_up(1).await;

    let publisher = bus.clone();
    let started_at = Instant::now();
    let publishing = tokio::spawn(async move {
        let mut interval = tokio::time::interval(Duration::from_millis(5));
        for tag in 0..400 {
            interval.tick().await;
            publisher.purge(tag);
        }
    });
    let mut answers = Vec::new();
    while gateway.from < 401 {
        answers.push(gateway.poll(1_000).await.unwrap());
        assert!(started_at.elapsed() < support::TEST_TIMEOUT, "timed out at {} of 401 events", gateway.from);
    }
    let elapsed = started_at.elapsed();
    publishing.await.unwrap();
    assert_eq!(events(&answers), bus.events_after(1));
    // With the batch delay of 100 ms: ten answers a second, plus one for the first event and one for the last.
    let max_answers = elapsed.as_secs_f64() * 10.0 + 2.0;
    assert!(answers.len() as f64 <= max_answers, "{} answers in {elapsed:?}", answers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn subscriber_before_log_base_receives_snapshot() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], "log-room=16"));
    let mut late = Subscriber::new(relay.address, "late");
    late.catch_up(1).await;
    let mut early = Subscriber::new(relay.address, "early");
    for tag in 0..100 {
        bus.purge(tag);
    }
    bus.drain("store-1");
    let last = bus.purge(100);
    early.catch_up(last).await;

    let answer = late.poll(0).await.unwrap();
    assert_eq!(answer["snapshot"], true, "{answer}");
    assert_eq!(answer["offset"], last);
    let batch = answer["batch"].as_array().unwrap();
    assert_eq!(batch[0]["topology"]["reset"], true);
    assert_eq!(batch[0]["topology"]["instances"][0]["lifecycle"], "draining");
    let tags: Vec<u64> = batch[1..].iter().map(|event| event["ban"]["tag"].as_u64().unwrap()).collect();
    assert_eq!(tags, (0..=100).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_relay_serves_earlier_subscribers() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let listen = unused_address();
    let file = relay_file_with("r1", listen, &[bus.address], &[], "");
    let relay = start(&file);
    let mut gateway = Subscriber::new(relay.address, "g1");
    let before = bus.purge(1);
    gateway.catch_up(before).await;
    relay.stop().await;

    bus.set_mode(BusMode::Failing);
    let relay = start(&file);
    let result = gateway.send_poll(0).await;
    assert!(
        matches!(result, Err(CallError::UnexpectedStatus { status, retry_after: Some(_) }) if status == 503),
        "a relay without events must answer 503 with a Retry-After"
    );
    bus.set_mode(BusMode::Answering);
    let after = bus.purge(2);
    let answers = gateway.catch_up(after).await;
    let received = events(&answers);
    assert!(received.iter().any(|event| event["ban"]["tag"] == 2), "{received:?}");
    relay.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn new_feed_of_bus_is_sent_as_snapshot() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    for tag in 0..10 {
        bus.purge(tag);
    }
    gateway.catch_up(bus.last()).await;

    bus.restart_with_empty_log(Some("feed-b"));
    let last = bus.purge(77);
    wait_until("an answer with the new feed", async || {
        let answer = gateway.send_poll(100).await;
        answer.is_ok_and(|answer| answer["feed"] == "feed-b")
    })
    .await;
    let answer = gateway.poll(100).await.unwrap();
    assert_eq!((&answer["snapshot"], &answer["offset"]), (&json!(true), &json!(last)), "{answer}");
    assert!(events(&[answer]).iter().any(|event| event["ban"]["tag"] == 77));
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_behind_relay_does_not_renew_lease() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    for tag in 0..10 {
        bus.purge(tag);
    }
    gateway.catch_up(11).await;

    bus.restart_with_empty_log(Some("feed-a"));
    wait_until("an age above the lease", async || {
        let status = get_json(relay.address, "/feed/status").await;
        assert_eq!(status["offset"], 11, "{status}");
        status["age_ms"].as_f64().unwrap() > 2_500.0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relays_in_a_loop_are_detected() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let (first_address, second_address) = (unused_address(), unused_address());
    let first = start(&relay_file_with("r1", first_address, &[bus.address, second_address], &[], ""));
    let second = start(&relay_file_with("r2", second_address, &[bus.address, first_address], &[], ""));
    let last = bus.purge(1);
    for relay in [first_address, second_address] {
        Subscriber::new(relay, "g1").catch_up(last).await;
    }

    bus.set_mode(BusMode::Failing);
    let ages_and_refusals = async || {
        let mut ages = Vec::new();
        let mut refused = 0;
        for relay in [first_address, second_address] {
            let status = get_json(relay, "/feed/status").await;
            ages.push(status["age_ms"].as_f64().unwrap());
            refused += status["counters"]["loops_refused"].as_u64().unwrap();
        }
        (ages, refused)
    };
    wait_until("a refused loop, and ages above the lease", async || {
        let (ages, refused) = ages_and_refusals().await;
        refused > 0 && ages.iter().all(|age| *age > 2_500.0)
    })
    .await;

    bus.set_mode(BusMode::Answering);
    let next = bus.purge(2);
    for relay in [first_address, second_address] {
        Subscriber::new(relay, "g1").catch_up(next).await;
    }
    first.stop().await;
    second.stop().await;
}
