//! Tests of the encoding and parsing of polls and answers.

use rstest::rstest;
use sagearch_feed::message::{
    Answer, FeedId, Head, Identity, MAX_HOLD_MS, ParsePollError, ParsePollErrorKind, Poll,
};
use sagearch_feed::slice;

fn poll(from: u64, hold_ms: u64) -> Poll {
    Poll { from, hold_ms, feed: None, identity: None }
}

#[test]
fn plain_poll_path_equals_bus_request() {
    assert_eq!(poll(17, 1_000).path(), "/bus/read?from=17&hold=1000");
}

#[rstest]
#[case::plain(poll(0, 0))]
#[case::largest(poll(u64::MAX, 30_000))]
#[case::named(Poll {
    feed: FeedId::new("a.B_c-9").ok(),
    identity: Some(Identity { name: "gäte&way=%1 /2".to_owned(), incarnation: u64::MAX }),
    ..poll(3, 500)
})]
fn poll_path_when_parsed_gives_same_poll(#[case] poll: Poll) {
    let path = poll.path();
    let (_, query) = path.split_once('?').unwrap();
    assert_eq!(Poll::parse(query), Ok(poll));
}

#[rstest]
#[case::no_from("hold=5", 6, ParsePollErrorKind::MissingFrom)]
#[case::nothing("", 0, ParsePollErrorKind::MissingFrom)]
#[case::empty_from("from=&hold=5", 5, ParsePollErrorKind::InvalidNumber)]
#[case::huge_from("from=18446744073709551616", 5, ParsePollErrorKind::InvalidNumber)]
#[case::negative_from("from=-1", 5, ParsePollErrorKind::InvalidNumber)]
#[case::signed_hold("from=1&hold=+5", 12, ParsePollErrorKind::InvalidNumber)]
#[case::twice("from=1&from=2", 7, ParsePollErrorKind::Duplicate)]
#[case::no_incarnation("from=1&name=a", 13, ParsePollErrorKind::IncompleteIdentity)]
#[case::no_name("from=1&incarnation=4", 20, ParsePollErrorKind::IncompleteIdentity)]
#[case::bad_feed("from=1&feed=a%20b", 12, ParsePollErrorKind::InvalidFeed)]
#[case::empty_name("from=1&name=&incarnation=1", 12, ParsePollErrorKind::InvalidName)]
#[case::bad_escape("from=1&name=%4&incarnation=1", 12, ParsePollErrorKind::InvalidName)]
#[case::line_break("from=1&name=a%0Ab&incarnation=1", 12, ParsePollErrorKind::InvalidName)]
fn invalid_query_gives_error_with_position(
    #[case] query: &str,
    #[case] position: usize,
    #[case] kind: ParsePollErrorKind,
) {
    assert_eq!(Poll::parse(query), Err(ParsePollError { position, kind }));
}

#[test]
fn oversized_query_is_rejected_and_long_hold_is_reduced() {
    let query_with_name = |bytes: usize| format!("from=1&incarnation=1&name={}", "n".repeat(bytes));
    assert!(Poll::parse(&query_with_name(128)).is_ok());
    assert_eq!(Poll::parse(&query_with_name(129)).unwrap_err().kind, ParsePollErrorKind::InvalidName);
    assert_eq!(Poll::parse(&query_with_name(2_000)).unwrap_err().kind, ParsePollErrorKind::TooLong);
    assert_eq!(Poll::parse("from=1&hold=99999999").unwrap().hold_ms, MAX_HOLD_MS);
    assert_eq!(Poll::parse("from=1&later=x&hold").unwrap_err().kind, ParsePollErrorKind::InvalidNumber);
    assert_eq!(Poll::parse("later=x&from=1"), Ok(poll(1, 0)));
    assert!(FeedId::new(&"f".repeat(64)).is_ok() && FeedId::new(&"f".repeat(65)).is_err());
}

#[test]
fn plain_answer_head_has_neither_age_nor_feed() {
    let head: Head = serde_json::from_str(r#"{"offset":4,"batch":[{"x":1}],"later":{}}"#).unwrap();
    assert_eq!(head, Head { offset: 4, feed: None, age_ms: None, snapshot: false });
}

#[rstest]
#[case::negative_age(r#"{"offset":4,"age_ms":-1,"batch":[]}"#)]
#[case::bad_feed(r#"{"offset":4,"feed":"a b","batch":[]}"#)]
#[case::negative_offset(r#"{"offset":-4,"batch":[]}"#)]
#[case::no_offset(r#"{"batch":[]}"#)]
fn invalid_head_is_rejected(#[case] body: &str) {
    assert!(serde_json::from_str::<Head>(body).is_err());
    assert!(serde_json::from_str::<Answer>(body).is_err());
}

#[test]
fn unknown_event_fields_are_forwarded_unchanged() {
    let received = r#"{"offset":9,"feed":"f","age_ms":7,"snapshot":true,"batch":[
        {"offset":8,"ban":{"tag":5,"ts":3,"why":"x"},"more":[1]},
        {"offset":8,"ban":{"url":17,"ts":3}},
        {"ban":{"url":"no number"}},
        {"offset":9,"topology":{"reset":true,"instances":[{"instanceId":"a","later":1}],"later":2}}]}"#;
    let mut expected: serde_json::Value = serde_json::from_str(received).unwrap();
    let answer: Answer = serde_json::from_str(received).unwrap();
    assert_eq!(answer.batch[0].ban.as_ref().unwrap().tag, Some(5));
    assert!(answer.batch[1].ban.is_none(), "a ban that can't be parsed is forwarded unchanged");
    // An event without an offset can't be forwarded.
    expected["batch"].as_array_mut().unwrap().remove(2);
    assert_eq!(serde_json::to_value(&answer).unwrap(), expected);
}

#[test]
fn slice_of_other_count_is_covered_completely() {
    assert_eq!(slice::covering(0, 1, 4), 0..4);
    assert_eq!(slice::covering(1, 3, 4), 1..3);
    assert_eq!(slice::covering(5, 8, 4), 2..3);
    assert!(slice::covering(4, 4, 4).is_empty() && slice::covering(0, 0, 4).is_empty());
    for hash in (0..1_000).map(|n| slice::url_hash(&n.to_string())) {
        for (slice_count, target_count) in [(3, 4), (4, 3), (4_096, 7), (7, 4_096)] {
            let covered = slice::covering(slice::slice_of(hash, slice_count), slice_count, target_count);
            assert!(covered.contains(&slice::slice_of(hash, target_count)));
        }
    }
}
