//! A gateway's connection handling and its retries of failed stores.

use sagearch_stream::message::FromService;
use sagearch_stream::subscriber::{DisconnectReason, Input, Notice, Output, Settings, StepError, Subscriber};
use sagearch_stream::version::{Documents, Version};

fn version(number: u64) -> Version {
    Version::new(1, number, Documents::from([("d.kdl".into(), format!("limits lookups={number}"))]))
}

/// Returns a gateway that brought a version into force while its disk was full, and its last actions.
fn subscriber_with_failed_store() -> (Subscriber, Vec<Output>) {
    let settings = Settings {
        node: "n".into(),
        instance: 1,
        address_count: 1,
        max_version_bytes: 1_000,
        heartbeat_interval: 9_000,
        reconnect_window: 0,
    };
    let mut subscriber = Subscriber::new(settings, None, 1, 0);
    let version = version(7);
    subscriber.handle(0, Input::Tick);
    subscriber.handle(0, Input::Connected);
    let (name, text) = version.documents.first_key_value().unwrap();
    let (id, names, bytes) = (version.id.clone(), vec![name.clone()], text.len() as u64);
    for message in [
        FromService::Offer { nonce: 1, id, base: None, names, removed: Vec::new(), bytes },
        FromService::Chunk { nonce: 1, name: name.clone(), text: text.clone(), last: true },
        FromService::Done { nonce: 1 },
    ] {
        subscriber.handle(0, Input::Received(message));
    }
    subscriber.handle(0, Input::Staged(Ok(())));
    subscriber.handle(0, Input::Stored(Err(StepError::new(&"the disk is full"))));
    let committed = subscriber.handle(0, Input::Committed);
    (subscriber, committed)
}

#[test]
fn failed_store_is_retried_with_backoff_until_it_succeeds() {
    let (mut subscriber, _) = subscriber_with_failed_store();
    let (mut stored_at, mut succeeded_at) = (Vec::new(), None);
    for now in (0..60_000).step_by(10) {
        for output in subscriber.handle(now, Input::Tick) {
            let Output::Store(stored) = output else { continue };
            assert_eq!(stored.id, version(7).id);
            stored_at.push(now);
            let result = if now < 5_000 { Err(StepError::new(&"the disk is full")) } else { Ok(()) };
            let notices = subscriber.handle(now, Input::Stored(result.clone()));
            assert_eq!(
                notices.contains(&Output::Notice(Notice::StoredOnRetry(version(7).id))),
                result.is_ok()
            );
            succeeded_at = succeeded_at.or(result.is_ok().then_some(now));
        }
    }
    assert_eq!(succeeded_at, stored_at.last().copied(), "no retry follows a successful one");
    let delays: Vec<u64> = stored_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(delays.is_sorted() && delays[0] <= 200 && delays.len() < 8, "{stored_at:?}");
    assert!(succeeded_at.is_some_and(|time| time <= 13_000), "{succeeded_at:?}");
}

/// Guards against a reconnect storm: a thousand gateways lose the service at the same time, and must spread their
/// reconnects over the window that the service set.
#[test]
fn reconnects_after_a_service_outage_are_spread_over_the_window() {
    let settings = Settings {
        node: "n".into(),
        instance: 1,
        address_count: 2,
        max_version_bytes: 1,
        heartbeat_interval: 5_000,
        reconnect_window: 10_000,
    };
    let mut reconnect_delays: Vec<u64> = Vec::new();
    for seed in 0..1_000 {
        let mut subscriber = Subscriber::new(settings.clone(), None, seed, 0);
        subscriber.handle(0, Input::Tick);
        subscriber.handle(0, Input::Connected);
        subscriber.handle(
            0,
            Input::Received(FromService::Welcome {
                protocol: 1,
                heartbeat_ms: 5_000,
                reconnect_window_ms: 10_000,
            }),
        );
        subscriber.handle(1_000, Input::Disconnected);
        let reconnected_at = (1_000..20_000).find(|now| {
            subscriber
                .handle(*now, Input::Tick)
                .iter()
                .any(|output| matches!(output, Output::Connect { address: 0 }))
        });
        reconnect_delays.push(reconnected_at.expect("the gateway reconnects") - 1_000);
    }
    reconnect_delays.sort_unstable();
    assert!(*reconnect_delays.last().unwrap() <= 10_000);
    let max_per_second = (0..10)
        .map(|second| {
            reconnect_delays
                .iter()
                .filter(|delay| (second * 1_000..(second + 1) * 1_000).contains(*delay))
                .count()
        })
        .max();
    assert!(
        max_per_second.unwrap() < 150,
        "{max_per_second:?} of 1,000 gateways reconnect within one second"
    );
}

#[test]
fn subscriber_of_silent_service_reconnects_to_the_next_address() {
    let settings = Settings {
        node: "n".into(),
        instance: 1,
        address_count: 2,
        max_version_bytes: 1,
        heartbeat_interval: 100,
        reconnect_window: 0,
    };
    let mut subscriber = Subscriber::new(settings, None, 1, 0);
    assert_eq!(subscriber.handle(0, Input::Tick), [Output::Connect { address: 0 }]);
    // The connection is established, but the service sends nothing.
    subscriber.handle(0, Input::Connected);
    let outputs = subscriber.handle(300, Input::Tick);
    assert!(matches!(&outputs[..], [Output::Disconnect(DisconnectReason::HeartbeatTimeout)]), "{outputs:?}");
    let next = (300..2_000).find_map(|now| {
        subscriber
            .handle(now, Input::Tick)
            .into_iter()
            .find(|output| matches!(output, Output::Connect { .. }))
    });
    assert_eq!(next, Some(Output::Connect { address: 1 }));
}
