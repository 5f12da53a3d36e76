use super::answer::{Answer, AnswerParser, ExpectedAnswer, MAX_LINE_BYTES};
use super::*;
use crate::interface::{Detail, Fill, Outcome, RequestId};
use rstest::rstest;
use std::collections::{HashMap, VecDeque};

#[rstest]
#[case::hit("a1 ok res=TCP_HIT,etag=4be,made=17,ttfb=0 3\r\nx\ny\r\n", End::Ok(b"x\ny".to_vec()), Detail::Hit)]
#[case::origin("a1 ok res=TCP_MISS_ROOT 0\r\n\r\n", End::Ok(vec![]), Detail::FilledByOrigin)]
#[case::current("a1 current etag=4be 0\r\n\r\n", End::Current, Detail::Unspecified)]
#[case::miss("a1 nothing res=PEER_MISS 0\r\n\r\n", End::Nothing, Detail::SourceLacks)]
#[case::unknown_detail("a1 refused res=LATER 0\r\n\r\n", End::Refused, Detail::Unspecified)]
#[case::stale("a1 stale - 0\r\n\r\n", End::Stale, Detail::Unspecified)]
#[case::check("a1 yes gauges=inflight:7;util:0.5 0\r\n\r\n", End::Yes, Detail::Unspecified)]
fn answer_split_at_any_size_is_parsed(#[case] text: &str, #[case] end: End, #[case] detail: Detail) {
    for size in 1..=text.len() {
        let (mut answers, mut done) = (AnswerParser::default(), Vec::new());
        text.as_bytes().chunks(size).for_each(|piece| answers.push(piece, &mut done).unwrap());
        let [Answer { id: 0xa1, reply }] = &done[..] else { panic!("{done:?}") };
        assert_eq!((&reply.end, reply.detail), (&end, detail));
    }
}

#[rstest]
#[case::no_number("zz ok - 0\r\n")]
#[case::unknown_word("a1 fine - 0\r\n")]
#[case::too_large("a1 ok - 240001\r\n")]
#[case::minus("a1 ok - -1\r\n")]
#[case::missing_word("a1 ok 0\r\n")]
#[case::bare_line_feed("a1 ok - 0\n")]
#[case::field_without_value("a1 ok res 0\r\n")]
#[case::longer_than_stated("a1 ok - 1\r\nxyz")]
#[case::not_text("a1 \u{7f}\u{0} - 0\r\n")]
fn malformed_answer_is_an_error(#[case] text: &str) {
    assert!(AnswerParser::default().push(text.as_bytes(), &mut Vec::new()).is_err());
}

#[test]
fn line_beyond_maximum_length_is_an_error() {
    assert!(AnswerParser::default().push(&[b'a'; MAX_LINE_BYTES + 1], &mut Vec::new()).is_err());
}

fn planned(member: u32, fill: Option<Fill>) -> PlannedAttempt {
    let (request, member) = (RequestId(0x9b), MemberId(member));
    let caller = sagearch_identity::Caller::anonymous();
    PlannedAttempt { request, attempt: 0, member, timeout: 1_500_900, fill, picked: 0, caller }
}

#[rstest]
#[case::without_fill(None, "PULL 000000000000009b kind=k,obj=o,seg=3,ms=1500,token=t,have=e 2\r\nhi\r\n")]
#[case::with_fill(
    Some(Fill { source: Some(MemberId(2)), cache_rank: 3, max_age: Some(1_999), join: true, background_refresh: true, cached_only: false }),
    "PULL 000000000000009b kind=k,obj=o,seg=3,ms=1500,token=t,src=n2,keep=3,maxage=1,flags=ride+update,have=e 2\r\nhi\r\n"
)]
#[case::own_source(
    Some(Fill { source: Some(MemberId(1)), cached_only: true, ..Fill::default() }),
    "PULL 000000000000009b kind=k,obj=o,seg=3,ms=1500,token=t,flags=have-only,have=e 2\r\nhi\r\n"
)]
fn pull_is_encoded_as_one_line_and_body(#[case] fill: Option<Fill>, #[case] line: &str) {
    let text = |text: &str| Some(text.to_string());
    let pull = Pull {
        class: "k".into(),
        object: "o".into(),
        part: text("3"),
        token: text("t"),
        have: text("e"),
        body: b"hi".to_vec(),
    };
    let command = Command::Pull(Arc::new(pull));
    let remaining = Duration::from_micros(1_500_900);
    let bytes = command.bytes(&planned(1, fill), remaining, |id| Some(format!("n{}", id.0)));
    assert_eq!(String::from_utf8(bytes).unwrap(), line);
}

/// A KILL takes longer to reach a distant store, so the next attempt waits as long as the connection took to open.
#[rstest]
#[case::nearby_store(1, 10)]
#[case::distant_store(73, 73)]
#[case::syn_lost(1_000, 100)]
fn kill_delay_is_bounded_connect_time(#[case] connect_ms: u64, #[case] delay_ms: u64) {
    #[derive(Clone)]
    struct DiscardReplies;
    impl ReplyReceiver for DiscardReplies {
        fn reply(&self, _: u32, _: Reply) {}
        fn client_seen_recently(&self) -> bool {
            true
        }
    }
    let now = Instant::now();
    let state = ConnectionState::<DiscardReplies> {
        pending: HashMap::new(),
        ended_ids: VecDeque::new(),
        retired: false,
        last_used: now,
        last_received: now,
        answer_incomplete: false,
        connect_time: Duration::from_millis(connect_ms),
        stream: None,
    };
    let conn = Arc::new(Connection { queue: mpsc::channel().0, state: Mutex::new(state) });
    let ticket = Ticket { conn: Some(conn), id: 1, sent: now };
    assert_eq!(ticket.kill_delay(), Duration::from_millis(delay_ms));
}

#[rstest]
#[case(End::Unreachable, true)]
#[case(End::Nothing, true)]
#[case(End::Refused, true)]
#[case(End::Stale, true)]
#[case(End::NotSent, true)]
#[case(End::Error, false)]
#[case(End::Reset, false)]
fn end_that_proves_attempt_never_ran_maps_to_matching_outcome(#[case] end: End, #[case] never_ran: bool) {
    use Outcome::{Miss, NotSent, Rejected, Unreachable};
    assert_eq!(matches!(end.outcome(), Rejected | Unreachable | NotSent | Miss), never_ran);
}

/// When a connection breaks, only attempts of which no byte was written are known not to have run.
#[rstest]
#[case::established_connection(End::NotSent)]
#[case::failed_connect(End::Unreachable)]
fn attempts_on_failed_connection_end_as_reset_only_if_written(#[case] unwritten: End) {
    #[derive(Clone, Default)]
    struct Ends(Arc<Mutex<Vec<(u32, End)>>>);
    impl ReplyReceiver for Ends {
        fn reply(&self, attempt: u32, reply: Reply) {
            lock(&self.0).push((attempt, reply.end));
        }
        fn client_seen_recently(&self) -> bool {
            true
        }
    }
    let (ends, now) = (Ends::default(), Instant::now());
    let pending = |attempt, written| Pending {
        attempt,
        receiver: ends.clone(),
        written,
        expected: ExpectedAnswer::Pull { have: false },
    };
    let state = ConnectionState {
        pending: HashMap::from([(1, pending(1, true)), (2, pending(2, false)), (3, pending(3, true))]),
        ended_ids: VecDeque::new(),
        retired: false,
        last_used: now,
        last_received: now,
        answer_incomplete: false,
        connect_time: Duration::ZERO,
        stream: None,
    };
    let conn = Connection { queue: mpsc::channel().0, state: Mutex::new(state) };
    conn.fail_all(&unwritten);
    conn.fail_all(&End::Unreachable);
    let mut ends = lock(&ends.0).clone();
    ends.sort_by_key(|(attempt, _)| *attempt);
    assert_eq!(ends, [(1, End::Reset), (2, unwritten), (3, End::Reset)]);
    assert!(lock(&conn.state).retired, "a failed connection accepts no new attempts");
}

/// A connect that fails for a cause on this machine must not count against the store; a cause at the store or on the
/// network path does. In both cases the attempt has not run.
#[rstest]
#[case::interrupted(libc::EINTR, End::NotSent)]
#[case::descriptors_of_the_process(libc::EMFILE, End::NotSent)]
#[case::descriptors_of_the_machine(libc::ENFILE, End::NotSent)]
#[case::buffers(libc::ENOBUFS, End::NotSent)]
#[case::memory(libc::ENOMEM, End::NotSent)]
#[case::ports(libc::EADDRNOTAVAIL, End::NotSent)]
#[case::ports_or_routing_cache(libc::EAGAIN, End::NotSent)]
#[case::route(libc::ENETUNREACH, End::NotSent)]
#[case::refused(libc::ECONNREFUSED, End::Unreachable)]
#[case::reset_during_connect(libc::ECONNRESET, End::Unreachable)]
#[case::no_answer(libc::ETIMEDOUT, End::Unreachable)]
#[case::no_host(libc::EHOSTUNREACH, End::Unreachable)]
fn failed_connect_counts_against_store_only_for_remote_cause(#[case] errno: i32, #[case] end: End) {
    let error = std::io::Error::from_raw_os_error(errno);
    assert_eq!(io::connect_failure(&error), end);
    assert!(!end.outcome().may_have_run());
}

/// The runtime reports an expired connect timeout without an errno.
#[test]
fn connect_timeout_counts_against_store() {
    let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
    assert_eq!(io::connect_failure(&error), End::Unreachable);
}
