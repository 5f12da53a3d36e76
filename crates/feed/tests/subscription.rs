//! Tests of a subscription: the selection of relays, the timing of polls and the handling of answers.

use rstest::rstest;
use sagearch_feed::message::{FeedId, Head, Identity, Poll};
use sagearch_feed::subscription::{
    AcceptedAnswer, MAX_OFFSET, MAX_OFFSET_LEAP, PollFailure, RejectedAnswer, Settings, Step, Subscription,
};
use sagearch_feed::{MILLISECOND, Micros};
use std::collections::BTreeMap;

const START: Micros = 100_000 * MILLISECOND;
const DRIFT: u32 = 10;

fn settings(name: &str, relays: usize) -> Settings {
    let relays = (0..relays).map(|relay| format!("relay-{relay}")).collect();
    Settings { drift_per_mille: DRIFT, preferred: 1, ..Settings::new(name, 7, relays) }
}

fn feed(id: &str) -> Option<FeedId> {
    FeedId::new(id).ok()
}

fn head(offset: u64, age_ms: u64) -> Head {
    Head { offset, feed: feed("f"), age_ms: Some(age_ms), snapshot: false }
}

/// Advances the time to the next poll. Returns when it is sent, the relay, the poll and its timeout.
fn next_poll(subscription: &mut Subscription, mut now: Micros) -> (Micros, usize, Poll, Micros) {
    loop {
        match subscription.next_step(now) {
            Step::Poll { relay, poll, timeout } => return (now, relay, poll, timeout),
            Step::Wait { until } => {
                assert!(until > now, "a wait ends after the current time");
                now = until;
            }
        }
    }
}

/// A subscriber that has applied events up to `offset` from an answer of age 0 at [`START`].
fn following(relays: usize, offset: u64) -> Subscription {
    let mut subscription = Subscription::new(settings("a", relays), 1, START);
    let (sent, relay, poll, _) = next_poll(&mut subscription, START);
    assert_eq!((relay, poll.from, poll.hold_ms), (0, 0, 0), "the first poll requests an immediate answer");
    subscription.poll_answered(sent, sent, &head(offset, 0)).unwrap();
    subscription.events_applied(sent);
    assert_eq!(subscription.offset(), offset);
    subscription
}

#[test]
fn poll_acknowledges_only_applied_events() {
    let mut subscription = following(2, 5);
    let (sent, _, poll, _) = next_poll(&mut subscription, START);
    let identity = Some(Identity { name: "a".to_owned(), incarnation: 7 });
    assert_eq!(poll, Poll { from: 5, hold_ms: 500, feed: feed("f"), identity });
    assert_eq!(
        subscription.poll_answered(sent, sent, &head(9, 0)),
        Ok(AcceptedAnswer::NewEvents { after: 5 })
    );
    let (_, _, poll, _) = next_poll(&mut subscription, sent + 1);
    assert_eq!(poll.from, 5, "no event of the answer has been applied yet");
    assert_eq!(subscription.lease().as_of(), Some(START));
    subscription.poll_answered(sent, sent, &head(9, 0)).unwrap();
    subscription.events_applied(sent + 1);
    assert_eq!(next_poll(&mut subscription, sent + 1).2.from, 9);
}

#[test]
fn freshness_counts_from_sending_less_age_with_drift() {
    let mut subscription = following(1, 5);
    let (sent, received) = (START + 700_000, START + 1_100_000);
    subscription.poll_answered(received, sent, &head(5, 300)).unwrap();
    assert_eq!(subscription.lease().as_of(), Some(sent - 303_001));
}

#[test]
fn answer_received_after_its_lease_leaves_lease_expired() {
    let mut subscription = following(1, 5);
    // The process is paused for 3 s between sending the poll and handling the answer.
    let (sent, received) = (START + 500_000, START + 3_500_000);
    assert_eq!(
        subscription.poll_answered(received, sent, &head(6, 0)),
        Ok(AcceptedAnswer::NewEvents { after: 5 })
    );
    subscription.events_applied(received);
    assert!(subscription.lease().is_expired(received));
    assert_eq!(subscription.offset(), 6, "the events of the answer are applied nevertheless");
    subscription.poll_answered(received + 1, received, &head(6, 0)).unwrap();
    assert!(!subscription.lease().is_expired(received + 1));
}

#[rstest]
#[case::hours_old(Some(4 * 3_600_000))]
#[case::older_than_time(Some(u64::MAX))]
#[case::missing(None)]
fn answer_without_freshness_does_not_renew_lease(#[case] age_ms: Option<u64>) {
    let mut subscription = following(2, 5);
    for _ in 0..2 {
        let (sent, relay, ..) = next_poll(&mut subscription, START);
        assert_eq!(relay, 0);
        subscription.poll_answered(sent, sent, &Head { age_ms, ..head(5, 0) }).unwrap();
        assert_eq!(subscription.lease().as_of(), Some(START));
    }
    assert_eq!(next_poll(&mut subscription, START).1, 1, "the next relay is polled after two stale answers");
}

#[test]
fn direct_bus_answer_without_age_is_current() {
    let mut subscription = Subscription::new(Settings { direct_bus: true, ..settings("a", 1) }, 1, START);
    let plain = Head { offset: 3, feed: None, age_ms: None, snapshot: false };
    assert_eq!(subscription.poll_answered(START, START, &plain), Ok(AcceptedAnswer::NewEvents { after: 0 }));
    assert_eq!(subscription.unapplied_as_of(), Some(START));
    subscription.events_applied(START);
    assert!(!subscription.lease().is_expired(START));
}

#[test]
fn answers_behind_subscriber_do_not_renew_lease_and_switch_relay() {
    let mut subscription = following(2, 5);
    for _ in 0..2 {
        let (_, relay, poll, _) = next_poll(&mut subscription, START);
        assert_eq!((relay, poll.from), (0, 5));
        let behind = Head { snapshot: true, ..head(4, 0) };
        assert_eq!(
            subscription.poll_answered(START + 900_000, START + 400_000, &behind),
            Ok(AcceptedAnswer::NoNewEvents)
        );
        subscription.events_applied(START + 900_000);
    }
    assert_eq!((subscription.offset(), subscription.lease().as_of()), (5, Some(START)));
    let (_, relay, poll, _) = next_poll(&mut subscription, START + 900_000);
    assert_eq!((relay, poll.from), (1, 5), "the offset never decreases");
}

#[test]
fn other_feed_is_accepted_only_as_snapshot() {
    let mut subscription = following(2, 50);
    let other = Head { feed: feed("g"), ..head(60, 0) };
    let rejected = RejectedAnswer::FeedChanged { known: feed("f"), received: feed("g") };
    assert_eq!(subscription.poll_answered(START, START, &other), Err(rejected));
    subscription.events_applied(START);
    assert_eq!(subscription.offset(), 50);
    let (_, relay, poll, _) = next_poll(&mut subscription, START);
    assert_eq!((relay, poll.from, poll.feed), (1, 0, None), "the poll requests a snapshot");
    let snapshot = Head { offset: 3, snapshot: true, ..other };
    assert_eq!(subscription.poll_answered(START, START, &snapshot), Ok(AcceptedAnswer::Snapshot));
    subscription.events_applied(START);
    let (_, _, poll, _) = next_poll(&mut subscription, START);
    assert_eq!((poll.from, poll.feed), (3, feed("g")));
}

#[test]
fn snapshot_request_answered_in_known_feed_keeps_offset() {
    let mut subscription = following(2, 50);
    let other = Head { feed: feed("g"), ..head(60, 0) };
    assert!(subscription.poll_answered(START, START, &other).is_err());
    // The next relay has the known feed, but is behind.
    assert_eq!(subscription.poll_answered(START, START, &head(4, 0)), Ok(AcceptedAnswer::NoNewEvents));
    assert_eq!(next_poll(&mut subscription, START).2.from, 50);
    assert_eq!(
        subscription.poll_answered(START, START, &head(51, 0)),
        Ok(AcceptedAnswer::NewEvents { after: 50 })
    );
}

#[test]
fn answer_from_start_of_unnamed_feed_is_snapshot() {
    let mut subscription = following(1, 50);
    let unnamed = Head { feed: None, ..head(4, 0) };
    assert!(subscription.poll_answered(START, START, &unnamed).is_err());
    assert_eq!(subscription.poll_answered(START, START, &unnamed), Ok(AcceptedAnswer::Snapshot));
}

#[rstest]
#[case::within(100 + MAX_OFFSET_LEAP, false, Ok(AcceptedAnswer::NewEvents { after: 100 }))]
#[case::beyond(101 + MAX_OFFSET_LEAP, false, Err(RejectedAnswer::OffsetLeap { known: 100, received: 101 + MAX_OFFSET_LEAP }))]
#[case::snapshot(101 + MAX_OFFSET_LEAP, true, Ok(AcceptedAnswer::Snapshot))]
#[case::over_maximum(MAX_OFFSET + 1, true, Err(RejectedAnswer::OffsetLeap { known: 100, received: MAX_OFFSET + 1 }))]
fn offset_leap_is_rejected(
    #[case] received: u64,
    #[case] snapshot: bool,
    #[case] expected: Result<AcceptedAnswer, RejectedAnswer>,
) {
    let mut subscription = following(2, 100);
    assert_eq!(subscription.poll_answered(START, START, &Head { snapshot, ..head(received, 0) }), expected);
}

/// The names of the subscribers of each relay, by the index of the relay, when the relays in `lost` are unreachable.
fn subscribers_by_relay(count: usize, lost: &[usize]) -> BTreeMap<usize, Vec<String>> {
    let mut subscribers: BTreeMap<usize, Vec<String>> = BTreeMap::new();
    for number in 0..count {
        let name = format!("gateway-{number}");
        let settings = Settings { preferred: 0, ..settings(&name, 6) };
        let mut subscription = Subscription::new(settings, number as u64, START);
        let mut now = START;
        let relay = loop {
            let (sent, relay, ..) = next_poll(&mut subscription, now);
            now = sent;
            if !lost.contains(&relay) {
                break relay;
            }
            subscription.poll_failed(now, PollFailure::Unreachable);
        };
        subscribers.entry(relay).or_default().push(name);
    }
    subscribers
}

#[test]
fn lost_relay_subscribers_spread_evenly_and_no_other_moves() {
    let (before, after) = (subscribers_by_relay(2_200, &[]), subscribers_by_relay(2_200, &[2]));
    let even_share = 2_200 / 6;
    assert!(before.values().all(|names| names.len().abs_diff(even_share) < even_share / 5));
    for (relay, names) in &after {
        assert!(before[relay].iter().all(|name| names.contains(name)));
        let gained = names.len() - before[relay].len();
        assert!(
            gained.abs_diff(before[&2].len() / 5) < 40,
            "relay {relay} gained {gained} of {} subscribers",
            before[&2].len()
        );
    }
}

#[test]
fn preferred_relays_are_polled_first_in_order() {
    for number in 0..50 {
        let mut subscription =
            Subscription::new(Settings { preferred: 2, ..settings(&format!("g{number}"), 6) }, number, START);
        let mut polled = Vec::new();
        let mut now = START;
        for _ in 0..6 {
            let (sent, relay, ..) = next_poll(&mut subscription, now);
            now = sent;
            polled.push(relay);
            subscription.poll_failed(now, PollFailure::TimedOut);
        }
        assert_eq!(polled[..2], [0, 1]);
        polled.sort_unstable();
        assert_eq!(polled, [0, 1, 2, 3, 4, 5], "each relay is polled once");
    }
}

#[test]
fn lost_relay_subscribers_return_spread_and_within_lease() {
    let lost = START + 1_200_000;
    let mut polls_by_10_ms: BTreeMap<Micros, usize> = BTreeMap::new();
    for seed in 0..2_200 {
        let mut subscription = Subscription::new(settings(&format!("g{seed}"), 6), seed, START);
        subscription.poll_answered(START, START, &head(1, 0)).unwrap();
        subscription.events_applied(START);
        subscription.poll_failed(lost, PollFailure::Unreachable);
        let (sent, ..) = next_poll(&mut subscription, lost);
        let expires_at = subscription.lease().expires_at().unwrap();
        assert!(sent - lost <= (expires_at - lost) / 2, "another relay can be polled before lease expiry");
        *polls_by_10_ms.entry((sent - lost) / 10_000).or_default() += 1;
    }
    let most_polls = polls_by_10_ms.values().max().unwrap();
    assert!(polls_by_10_ms.len() >= 19 && *most_polls < 320, "{polls_by_10_ms:?}");
}

#[test]
fn retry_after_is_obeyed_within_lease() {
    let refused = |seconds: u64| PollFailure::Refused { retry_after: Some(seconds * 1_000_000) };
    // The only relay requests a delay of one second, with most of the lease remaining.
    let mut subscription = following(1, 5);
    subscription.poll_failed(START, refused(1));
    let (sent, ..) = next_poll(&mut subscription, START);
    assert!((1_000_000..=1_250_000).contains(&(sent - START)), "{}", sent - START);
    // The relay requests a delay of one hour.
    let mut subscription = following(1, 5);
    subscription.poll_failed(START, refused(3_600));
    let (sent, ..) = next_poll(&mut subscription, START);
    let expires_at = subscription.lease().expires_at().unwrap();
    assert!(sent < expires_at - 200_000 && sent > START + 1_000_000, "{}", sent - START);
    // After lease expiry the delay is limited to the lease duration.
    let after_expiry = START + 10_000_000;
    subscription.poll_failed(after_expiry, refused(3_600));
    let (sent, ..) = next_poll(&mut subscription, after_expiry);
    assert_eq!(sent - after_expiry, 1_700_000);
    // The delay does not apply to another relay.
    let mut subscription = following(2, 5);
    subscription.poll_failed(START, refused(1));
    let (sent, relay, ..) = next_poll(&mut subscription, START);
    assert!(relay == 1 && sent <= START + 200_000);
    subscription.poll_failed(sent, PollFailure::Unreachable);
    let (sent_again, relay, ..) = next_poll(&mut subscription, sent);
    assert!(
        relay == 1 || sent_again >= START + 1_000_000,
        "the relay that requested the delay is not polled before its end"
    );
}

#[test]
fn consecutive_failures_lengthen_backoff_up_to_a_second() {
    let mut subscription = Subscription::new(settings("a", 3), 3, START);
    let (mut now, mut backoff) = (START, Vec::new());
    for _ in 0..8 {
        subscription.poll_failed(now, PollFailure::TimedOut);
        let (sent, ..) = next_poll(&mut subscription, now);
        backoff.push((sent - now) / MILLISECOND);
        now = sent;
    }
    assert!((100..=200).contains(&backoff[0]) && (200..=400).contains(&backoff[1]), "{backoff:?}");
    assert!(backoff[3..].iter().all(|delay| (500..=1_000).contains(delay)), "{backoff:?}");
}

#[test]
fn lost_connection_is_reopened_before_next_relay() {
    let mut subscription = following(2, 5);
    subscription.poll_failed(START, PollFailure::ConnectionLost);
    let (sent, relay, poll, _) = next_poll(&mut subscription, START);
    assert_eq!((relay, poll.hold_ms), (0, 0));
    assert!(sent - START <= 50_000);
    subscription.poll_failed(sent, PollFailure::ConnectionLost);
    assert_eq!(next_poll(&mut subscription, sent).1, 1);
}

#[test]
fn preferred_relay_is_retried_and_used_if_it_answers() {
    let mut subscription = following(3, 5);
    subscription.poll_failed(START, PollFailure::Unreachable);
    let mut now = START;
    let (mut returned_after, mut retries) = (None, 0);
    let mut fallback = None;
    while returned_after.is_none() {
        let (sent, relay, ..) = next_poll(&mut subscription, now);
        now = sent + 100_000;
        if relay != 0 {
            assert_eq!(*fallback.get_or_insert(relay), relay, "a failed retry returns to the same relay");
        } else {
            retries += 1;
            if retries == 1 {
                subscription.poll_failed(now, PollFailure::TimedOut);
                continue;
            }
            returned_after = Some(sent - START);
        }
        subscription.poll_answered(now, sent, &head(5, 0)).unwrap();
        assert!(!subscription.lease().is_expired(now));
    }
    let (minimum, maximum) = (60_000_000, 2 * 37_500_000 + 2_000_000);
    assert!((minimum..=maximum).contains(&returned_after.unwrap()), "{returned_after:?}");
    assert_eq!(next_poll(&mut subscription, now).1, 0);
}

#[test]
fn poll_of_silent_relay_times_out_early_enough_for_another_relay() {
    for seed in 0..200 {
        let mut subscription = Subscription::new(settings("a", 2), seed, START);
        let (sent, _, _, timeout) = next_poll(&mut subscription, START);
        assert!((400_000..=500_000).contains(&timeout));
        subscription.poll_answered(sent, sent, &head(1, 0)).unwrap();
        subscription.events_applied(sent);
        // The relay answers at the end of the hold, then stops responding.
        let answered = START + 500_000;
        subscription.poll_answered(answered, START, &head(1, 0)).unwrap();
        let (sent, _, _, timeout) = next_poll(&mut subscription, answered);
        assert!((650_000..=750_000).contains(&timeout));
        let timed_out_at = sent + timeout;
        subscription.poll_failed(timed_out_at, PollFailure::TimedOut);
        let (sent, relay, poll, _) = next_poll(&mut subscription, timed_out_at);
        assert_eq!((relay, poll.hold_ms), (1, 0));
        assert!(!subscription.lease().is_expired(sent + 100_000), "seed {seed}");
    }
}

#[test]
fn plain_bus_polls_and_backoffs_have_plain_form_and_bounds() {
    for seed in 0..100 {
        let plain = Settings { plain_bus: true, ..settings("a", 1) };
        let mut subscription = Subscription::new(plain, seed, START);
        let (_, _, poll, timeout) = next_poll(&mut subscription, START);
        assert_eq!(poll.path(), "/bus/read?from=0&hold=0");
        assert!((1_300_000..=1_600_000).contains(&timeout));
        let mut now = START;
        for (minimum, maximum) in [(10, 20), (20, 40), (40, 80), (80, 160), (100, 200), (100, 200)] {
            subscription.poll_failed(now, PollFailure::Unreachable);
            let (sent, ..) = next_poll(&mut subscription, now);
            assert!((minimum * MILLISECOND..=maximum * MILLISECOND).contains(&(sent - now)));
            now = sent;
        }
        let received = |offset| Head { offset, feed: None, age_ms: None, snapshot: false };
        assert_eq!(
            subscription.poll_answered(now, now, &received(8)),
            Ok(AcceptedAnswer::NewEvents { after: 0 })
        );
        subscription.events_applied(now);
        assert_eq!(subscription.poll_answered(now, now, &received(3)), Ok(AcceptedAnswer::NoNewEvents));
        let (sent, _, poll, timeout) = next_poll(&mut subscription, now);
        assert_eq!((sent, poll.path().as_str()), (now, "/bus/read?from=8&hold=1000"));
        assert!((1_300_000..=1_600_000).contains(&timeout));
        subscription.poll_failed(now, PollFailure::ConnectionLost);
        assert_eq!(next_poll(&mut subscription, now).0, now, "a lost connection is reopened without delay");
    }
}

#[test]
fn subscription_without_relays_waits() {
    let mut subscription = Subscription::new(settings("a", 0), 1, START);
    subscription.poll_failed(START, PollFailure::TimedOut);
    assert!(matches!(subscription.next_step(START), Step::Wait { until } if until > START));
}
