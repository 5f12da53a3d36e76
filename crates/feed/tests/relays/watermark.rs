//! Tests of the watermark: when an event counts as complete.

use crate::common::*;
use rstest::rstest;
use sagearch_feed::Micros;
use sagearch_feed::message::Identity;
use sagearch_feed::relay::acknowledgements::{Acknowledgement, Acknowledgements};
use sagearch_feed::relay::report::{Completion, CompletionReason, Report, SubscriberReport};
use sagearch_feed::relay::{Relay, Session};

const LEASE_DURATION: Micros = 1_700_000;
/// The time from which reports are complete: leases granted by an earlier process have expired.
const COMPLETE_FROM: Micros = START + LEASE_DURATION + 1;

fn relay_with_peers(peers: &[&str]) -> Relay {
    let mut relay =
        ready_relay(|settings| settings.peers = peers.iter().map(|peer| (*peer).to_owned()).collect());
    relay.tick(COMPLETE_FROM);
    relay
}

fn completion_reason(relay: &Relay, now: Micros, offset: u64) -> Option<CompletionReason> {
    relay.completion(now, offset).map(|completion| completion.reason)
}

fn report(offset: u64, subscribers: &[(&str, u64, u64, u64)]) -> Report {
    let subscriber_report = |&(name, incarnation, offset, silent_ms): &(&str, u64, u64, u64)| {
        SubscriberReport { name: name.to_owned(), incarnation, offset, silent_ms, via: "r2".to_owned() }
    };
    let subscribers = subscribers.iter().map(subscriber_report).collect();
    Report { relay: "r2".to_owned(), feed: feed("f"), offset, age_ms: Some(0), complete: true, subscribers }
}

/// Acknowledges an offset for each name and incarnation, by one poll of a separate session.
fn acknowledge(relay: &mut Relay, now: Micros, polls: &[(&str, u64, u64)]) {
    for (session, (name, incarnation, from)) in polls.iter().enumerate() {
        relay.session_closed(Session(session as u64));
        poll(relay, now, session as u64, &identified_poll(name, *incarnation, *from, 500));
    }
}

#[test]
fn event_acknowledged_by_all_subscribers_is_complete() {
    let mut relay = relay_with_peers(&[]);
    acknowledge(&mut relay, COMPLETE_FROM, &[("a", 1, 1), ("b", 1, 1)]);
    apply_new_events(&mut relay, COMPLETE_FROM + 1_000, 2, vec![purge(2, 1, 1)]);
    acknowledge(&mut relay, COMPLETE_FROM + 150_000, &[("a", 1, 2)]);
    assert_eq!(relay.completion(COMPLETE_FROM + 160_000, 2), None);
    assert_eq!(relay.status(COMPLETE_FROM + 160_000).watermark, 1);
    assert_eq!(relay.status(COMPLETE_FROM + 160_000).lagging[0].name, "b");
    acknowledge(&mut relay, COMPLETE_FROM + 170_000, &[("b", 1, 2)]);
    let expected = Completion { offset: 2, reason: CompletionReason::Acknowledged, elapsed_ms: 180 };
    assert_eq!(relay.completion(COMPLETE_FROM + 181_000, 2), Some(expected));
    assert_eq!(relay.status(COMPLETE_FROM + 181_000).watermark, 2);
    assert_eq!(relay.completion(COMPLETE_FROM + 181_000, 3), None, "an unknown event is not complete");
    assert_eq!(relay.completion(COMPLETE_FROM + 60_000_000, 3), None);
}

#[test]
fn unacknowledged_event_is_complete_after_lease_expiry() {
    let mut relay = relay_with_peers(&[]);
    acknowledge(&mut relay, COMPLETE_FROM, &[("a", 1, 1)]);
    let known = COMPLETE_FROM + 1_000;
    apply_new_events(&mut relay, known, 2, vec![purge(2, 1, 1)]);
    apply_new_events(&mut relay, known + 500_000, 3, vec![purge(3, 1, 1)]);
    assert_eq!(relay.completion(known + LEASE_DURATION, 2), None);
    let expected = Completion { offset: 2, reason: CompletionReason::LeasesExpired, elapsed_ms: 1_700 };
    assert_eq!(relay.completion(known + LEASE_DURATION + 1, 2), Some(expected));
    assert_eq!(relay.completion(known + LEASE_DURATION + 1, 3), None);
    relay.tick(known + LEASE_DURATION + 1_000_000);
    assert_eq!(relay.completion(known + LEASE_DURATION + 1_000_000, 2), Some(expected));
    assert_eq!(relay.status(known + LEASE_DURATION + 1_000_000).watermark, 3);
}

#[test]
fn lease_expiry_is_longer_by_drift() {
    let mut relay = ready_relay(|settings| settings.drift_per_mille = 100);
    assert_eq!(relay.completion(START + LEASE_DURATION * 11 / 10, 1), None);
    assert_eq!(
        completion_reason(&relay, START + LEASE_DURATION * 11 / 10 + 1, 1),
        Some(CompletionReason::LeasesExpired)
    );
    assert!(relay.tick(START).is_empty());
}

#[test]
fn acknowledgement_of_earlier_process_does_not_count() {
    let mut relay = relay_with_peers(&[]);
    acknowledge(&mut relay, COMPLETE_FROM, &[("a", 5, 1)]);
    apply_new_events(&mut relay, COMPLETE_FROM, 2, vec![purge(2, 1, 1)]);
    acknowledge(&mut relay, COMPLETE_FROM + 1_000, &[("a", 5, 2)]);
    assert_eq!(completion_reason(&relay, COMPLETE_FROM + 1_000, 2), Some(CompletionReason::Acknowledged));
    // The subscriber has been restarted, and has applied no events.
    acknowledge(&mut relay, COMPLETE_FROM + 2_000, &[("a", 6, 0)]);
    assert_eq!(relay.completion(COMPLETE_FROM + 2_000, 2), None);
    // A delayed acknowledgement of the earlier process.
    acknowledge(&mut relay, COMPLETE_FROM + 3_000, &[("a", 5, 2)]);
    assert_eq!(relay.completion(COMPLETE_FROM + 3_000, 2), None);
    acknowledge(&mut relay, COMPLETE_FROM + 4_000, &[("a", 6, 2)]);
    assert_eq!(completion_reason(&relay, COMPLETE_FROM + 4_000, 2), Some(CompletionReason::Acknowledged));
}

#[test]
fn acknowledgement_of_other_feed_does_not_count() {
    let mut relay = relay_with_peers(&[]);
    let mut other = identified_poll("a", 1, 99, 0);
    other.feed = feed("g");
    poll(&mut relay, COMPLETE_FROM, 1, &other);
    apply_new_events(&mut relay, COMPLETE_FROM, 2, vec![purge(2, 1, 1)]);
    assert_eq!(relay.completion(COMPLETE_FROM, 2), None);
}

#[test]
fn completion_needs_report_of_every_relay_that_knows_event() {
    let mut relay = relay_with_peers(&["r2", "r3"]);
    acknowledge(&mut relay, COMPLETE_FROM, &[("a", 1, 1)]);
    let mut earlier_report = relay.report(COMPLETE_FROM);
    earlier_report.relay = "r3".to_owned();
    apply_new_events(&mut relay, COMPLETE_FROM, 2, vec![purge(2, 1, 1)]);
    acknowledge(&mut relay, COMPLETE_FROM + 1_000, &[("a", 1, 2)]);
    let now = COMPLETE_FROM + 2_000;
    assert!(relay.apply_peer_report(now, "r2", &report(2, &[("b", 1, 1, 0)])));
    assert!(relay.apply_peer_report(now, "r3", &earlier_report));
    assert_eq!(relay.completion(now, 2), None, "r3 may have served a subscriber before it knew the event");
    assert!(relay.apply_peer_report(now, "r3", &report(2, &[])));
    assert_eq!(relay.completion(now, 2), None, "b has not acknowledged the event");
    assert!(relay.apply_peer_report(now, "r2", &report(2, &[("b", 1, 2, 0)])));
    assert_eq!(completion_reason(&relay, now, 2), Some(CompletionReason::Acknowledged));
    assert!(
        !relay.apply_peer_report(now, "r9", &report(2, &[("c", 1, 0, 0)])),
        "r9 is not a configured peer"
    );
    assert_eq!(relay.status(now).subscribers, 2);
}

#[rstest]
#[case::restarted(|report: &mut Report| report.complete = false)]
#[case::other_feed(|report: &mut Report| report.feed = feed("g"))]
#[case::behind(|report: &mut Report| report.offset = 1)]
fn unusable_peer_report_does_not_complete_event(#[case] invalidate: fn(&mut Report)) {
    let mut relay = relay_with_peers(&["r2"]);
    let mut received = report(2, &[]);
    invalidate(&mut received);
    apply_new_events(&mut relay, COMPLETE_FROM, 2, vec![purge(2, 1, 1)]);
    relay.apply_peer_report(COMPLETE_FROM, "r2", &received);
    assert_eq!(relay.completion(COMPLETE_FROM, 2), None);
    relay.apply_peer_report(COMPLETE_FROM, "r2", &report(2, &[]));
    assert_eq!(completion_reason(&relay, COMPLETE_FROM, 2), Some(CompletionReason::Acknowledged));
}

#[test]
fn restarted_relay_is_incomplete_until_leases_expire() {
    let mut relay = ready_relay(|_| ());
    apply_new_events(&mut relay, START + 1_000_000, 2, vec![purge(2, 1, 1)]);
    assert!(!relay.report(COMPLETE_FROM - 1).complete);
    assert_eq!(relay.completion(COMPLETE_FROM - 1, 2), None);
    assert!(relay.report(COMPLETE_FROM).complete);
    assert_eq!(completion_reason(&relay, COMPLETE_FROM, 2), Some(CompletionReason::Acknowledged));
}

#[test]
fn subscriber_of_lost_relay_is_remembered_until_forgotten() {
    let mut relay = relay_with_peers(&["r2"]);
    relay.apply_peer_report(COMPLETE_FROM, "r2", &report(1, &[("b", 1, 1, 0)]));
    apply_new_events(&mut relay, COMPLETE_FROM, 2, vec![purge(2, 1, 1)]);
    relay.apply_peer_report(COMPLETE_FROM + 1_000, "r2", &report(2, &[]));
    assert_eq!(relay.completion(COMPLETE_FROM + 1_000, 2), None);
    assert!(relay.forget("b"));
    assert!(!relay.forget("b"));
    assert_eq!(completion_reason(&relay, COMPLETE_FROM + 1_000, 2), Some(CompletionReason::Acknowledged));
}

#[test]
fn silent_subscriber_is_forgotten_despite_reports() {
    let mut relay = relay_with_peers(&["r2"]);
    acknowledge(&mut relay, COMPLETE_FROM, &[("a", 1, 1)]);
    let late = COMPLETE_FROM + 60_000_000;
    relay.apply_peer_report(late, "r2", &report(2, &[("a", 1, 1, 60_000), ("old", 1, 1, 60_001)]));
    assert_eq!(relay.status(late).subscribers, 1);
    apply_new_events(&mut relay, late, 2, vec![purge(2, 1, 1)]);
    assert_eq!(relay.completion(late, 2), None);
    assert_eq!(relay.status(late + 1).subscribers, 0);
    assert_eq!(completion_reason(&relay, late + 1, 2), Some(CompletionReason::Acknowledged));
    assert!(relay.report(late + 1).subscribers.is_empty());
}

#[test]
fn report_lists_only_own_subscribers() {
    let mut relay = relay_with_peers(&["r2"]);
    acknowledge(&mut relay, COMPLETE_FROM, &[("a", 1, 1)]);
    relay.apply_peer_report(COMPLETE_FROM, "r2", &report(1, &[("b", 1, 1, 0), ("a", 2, 1, 0)]));
    let received = relay.report(COMPLETE_FROM + 7_000);
    let expected = SubscriberReport {
        name: "a".to_owned(),
        incarnation: 2,
        offset: 1,
        silent_ms: 7,
        via: "r1".to_owned(),
    };
    assert_eq!(received.subscribers, [expected]);
    assert_eq!(serde_json::from_str::<Report>(&serde_json::to_string(&received).unwrap()).unwrap(), received);
}

#[test]
fn full_table_is_incomplete_until_forget_time() {
    let mut table = Acknowledgements::new(60, 2);
    let mut record = |now, name: &str, offset| {
        let identity = Identity { name: name.to_owned(), incarnation: 1 };
        table.record(
            now,
            Acknowledgement { identity: &identity, offset, last_seen: now, via: "r", polled_here: true },
        );
        table.is_complete(now)
    };
    assert!(record(0, "a", 1) && record(10, "b", 2) && !record(20, "c", 3) && !record(79, "b", 4));
    assert!(record(80, "c", 3), "each subscriber that lacked capacity has been recorded or forgotten by now");
    assert_eq!(table.lowest_offset(80), Some(3));
}

#[test]
fn known_offsets_over_limit_complete_with_later_ones() {
    let mut relay = relay_with_peers(&[]);
    acknowledge(&mut relay, COMPLETE_FROM, &[("a", 1, 1)]);
    for number in 0..3_000 {
        apply_new_events(&mut relay, COMPLETE_FROM + number, 2 + number, vec![purge(2 + number, 1, 1)]);
    }
    assert_eq!(relay.completion(COMPLETE_FROM + LEASE_DURATION, 2), None);
    assert_eq!(
        completion_reason(&relay, COMPLETE_FROM + LEASE_DURATION + 1, 2),
        Some(CompletionReason::LeasesExpired)
    );
    assert_eq!(relay.completion(COMPLETE_FROM + LEASE_DURATION + 2_999, 2_900), None);
    assert_eq!(
        completion_reason(&relay, COMPLETE_FROM + LEASE_DURATION + 3_000, 3_001),
        Some(CompletionReason::LeasesExpired)
    );
}
