use super::outstanding::OutstandingAttempts;
use super::*;
use crate::broker::Verdict;
use crate::interface::RequestId;
use crate::net::mailbox::Message;
use may::sync::mpsc;
use rstest::rstest;
use std::time::Instant;

fn planned(attempt: u32) -> PlannedAttempt {
    let (request, member, caller) = (RequestId(1), MemberId(1), Caller::anonymous());
    PlannedAttempt { request, attempt, member, timeout: 1, fill: None, picked: 0, caller }
}

#[test]
fn queued_attempt_waits_for_preceding_kill_while_verdicts_are_received() {
    let (sender, messages) = mpsc::channel();
    let (started, delay) = (Instant::now(), Duration::from_millis(40));
    let mut outstanding = OutstandingAttempts::new(started + delay);
    outstanding.enqueue(planned(1));
    assert!(outstanding.next_due().is_none());
    assert!(outstanding.receive(&messages).is_none());
    assert!(started.elapsed() >= delay);
    assert_eq!(outstanding.next_due().map(|planned| planned.attempt), Some(1));
    outstanding.enqueue(planned(2));
    outstanding.delay_sending_by(Duration::from_mins(1));
    sender.send(Message::Verdict(Verdict::Failed)).unwrap();
    assert!(matches!(outstanding.receive(&messages), Some(Message::Verdict(Verdict::Failed))));
}

#[test]
fn attempt_withdrawn_while_queued_is_never_sent() {
    let mut outstanding = OutstandingAttempts::new(Instant::now());
    outstanding.enqueue(planned(1));
    outstanding.enqueue(planned(2));
    outstanding.withdraw(1);
    assert_eq!(outstanding.next_due().map(|planned| planned.attempt), Some(2));
    assert!(outstanding.next_due().is_none());
}

/// Of 384 descriptors, 153 are for clients and 128 for stores, however the two processes share them.
#[rstest]
#[case::no_other_process(ConnectionCounts { clients: 0, stores: 0 }, 128, 0)]
#[case::old_process_with_many_idle_clients(ConnectionCounts { clients: 100, stores: 8 }, 50, 30)]
#[case::old_process_that_waits_for_stores(ConnectionCounts { clients: 100, stores: 60 }, 50, 82)]
#[case::small_process(ConnectionCounts { clients: 20, stores: 10 }, 30, 0)]
fn two_processes_stay_within_connection_limits_of_one(
    #[case] other_process: ConnectionCounts,
    #[case] stores: usize,
    #[case] excess: usize,
) {
    assert_eq!(other_process.excess_clients(stores, 128), excess);
    assert!(153 - excess + other_process.clients + stores + other_process.stores <= 153 + 128);
}
