//! Events on their way through a relay: unchanged, in time, and whole for whoever comes late.

mod support;

use sagearch_relay::client::CallError;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::ports::unused_address;
use support::{Bus, Mode, Subscriber, events, file_with, get_json, relay_file, start, until};

#[tokio::test(flavor = "multi_thread")]
async fn events_are_passed_on_unchanged_with_offsets_and_feed() {
    let bus = Bus::start(Some("feed-a")).await;
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
    let bus = Bus::start(Some("feed-a")).await;
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
async fn endpoint_list_is_not_delayed_behind_purges() {
    let bus = Bus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], "batch=\"1s\""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    gateway.catch_up(1).await;
    let (answer, took) = held_poll(&mut gateway, || bus.purge(1)).await;
    assert_eq!(events(&[answer]), bus.events_after(1));
    assert!(took > Duration::from_millis(700), "the purge alone came after {took:?}: it was not held back");

    let both = || bus.purge(2).max(bus.drain("store-1"));
    let (answer, took) = held_poll(&mut gateway, both).await;
    assert_eq!(events(&[answer]), bus.events_after(2));
    assert!(took < Duration::from_millis(600), "the list came after {took:?}");
}

/// Publishes while a poll is held. Returns its answer, and the time from the publication to it.
async fn held_poll(gateway: &mut Subscriber, publish: impl FnOnce() -> u64) -> (Value, Duration) {
    let relay = gateway.relay;
    let poll = gateway.poll(10_000);
    let publication = async {
        until("a held poll", async || get_json(relay, "/feed/status").await["held_polls"] == 1).await;
        publish();
        Instant::now()
    };
    let (answer, began) = tokio::join!(poll, publication);
    (answer.unwrap(), began.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn many_purges_are_sent_in_few_answers() {
    let bus = Bus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    gateway.catch_up(1).await;

    let publisher = bus.clone();
    let began = Instant::now();
    let publishing = tokio::spawn(async move {
        let mut every = tokio::time::interval(Duration::from_millis(5));
        for tag in 0..400 {
            every.tick().await;
            publisher.purge(tag);
        }
    });
    let mut answers = Vec::new();
    while gateway.from < 401 {
        answers.push(gateway.poll(1_000).await.unwrap());
        assert!(began.elapsed() < support::PATIENCE, "{} of 401 events", gateway.from);
    }
    let took = began.elapsed();
    publishing.await.unwrap();
    assert_eq!(events(&answers), bus.events_after(1));
    // Ten a second, and one each for the first and the last.
    let most = took.as_secs_f64() * 10.0 + 2.0;
    assert!(answers.len() as f64 <= most, "{} answers in {took:?}", answers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn subscriber_before_log_base_receives_snapshot() {
    let bus = Bus::start(Some("feed-a")).await;
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
    let bus = Bus::start(Some("feed-a")).await;
    let listen = unused_address();
    let file = file_with("r1", listen, &[bus.address], &[], "");
    let relay = start(&file);
    let mut gateway = Subscriber::new(relay.address, "g1");
    let before = bus.purge(1);
    gateway.catch_up(before).await;
    relay.stop().await;

    bus.mode(Mode::Failing);
    let relay = start(&file);
    let refused = gateway.ask(0).await;
    assert!(
        matches!(refused, Err(CallError::UnexpectedStatus { status, retry_after: Some(_) }) if status == 503),
        "a relay that knows nothing says so"
    );
    bus.mode(Mode::Answering);
    let after = bus.purge(2);
    let answers = gateway.catch_up(after).await;
    let told = events(&answers);
    assert!(told.iter().any(|event| event["ban"]["tag"] == 2), "{told:?}");
    relay.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bus_with_new_feed_is_followed_by_snapshot() {
    let bus = Bus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    for tag in 0..10 {
        bus.purge(tag);
    }
    gateway.catch_up(bus.last()).await;

    bus.begin_anew(Some("feed-b"));
    let last = bus.purge(77);
    until("the new numbering", async || {
        let answer = gateway.ask(100).await;
        answer.is_ok_and(|answer| answer["feed"] == "feed-b")
    })
    .await;
    let answer = gateway.poll(100).await.unwrap();
    assert_eq!((&answer["snapshot"], &answer["offset"]), (&json!(true), &json!(last)), "{answer}");
    assert!(events(&[answer]).iter().any(|event| event["ban"]["tag"] == 77));
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_behind_relay_proves_no_freshness() {
    let bus = Bus::start(Some("feed-a")).await;
    let relay = start(&relay_file("r1", &[bus.address], ""));
    let mut gateway = Subscriber::new(relay.address, "g1");
    for tag in 0..10 {
        bus.purge(tag);
    }
    gateway.catch_up(11).await;

    bus.begin_anew(Some("feed-a"));
    until("an age over the lease", async || {
        let status = get_json(relay.address, "/feed/status").await;
        assert_eq!(status["offset"], 11, "{status}");
        status["age_ms"].as_f64().unwrap() > 2_500.0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relays_in_a_loop_are_detected() {
    let bus = Bus::start(Some("feed-a")).await;
    let (one, other) = (unused_address(), unused_address());
    let first = start(&file_with("r1", one, &[bus.address, other], &[], ""));
    let second = start(&file_with("r2", other, &[bus.address, one], &[], ""));
    let last = bus.purge(1);
    for relay in [one, other] {
        Subscriber::new(relay, "g1").catch_up(last).await;
    }

    bus.mode(Mode::Failing);
    let ages = async || {
        let mut ages = Vec::new();
        let mut refused = 0;
        for relay in [one, other] {
            let status = get_json(relay, "/feed/status").await;
            ages.push(status["age_ms"].as_f64().unwrap());
            refused += status["counters"]["loops_refused"].as_u64().unwrap();
        }
        (ages, refused)
    };
    until("a refused loop, and ages over the lease", async || {
        let (ages, refused) = ages().await;
        refused > 0 && ages.iter().all(|age| *age > 2_500.0)
    })
    .await;

    bus.mode(Mode::Answering);
    let next = bus.purge(2);
    for relay in [one, other] {
        Subscriber::new(relay, "g1").catch_up(next).await;
    }
    first.stop().await;
    second.stop().await;
}
