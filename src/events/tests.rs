use super::*;
use rstest::rstest;

#[test]
fn repeated_events_are_removed_from_a_batch() {
    let text = r#"{"offset":3,"batch":[{"offset":1},{"offset":2},{"offset":3,"ban":{"tag":1,"ts":5}}]}"#;
    let batch: Batch = serde_json::from_str(text).unwrap();
    let new: Vec<u64> = batch.after(2).batch.iter().map(|event| event.offset).collect();
    assert_eq!(new, [3]);
}

#[rstest]
#[case("s-00c41f7a", 0x00c4_1f7a)]
#[case("ff", 0xff)]
fn member_id_of_a_name_with_a_hexadecimal_suffix_is_that_number(#[case] name: &str, #[case] id: u32) {
    assert_eq!(member_id(name), MemberId(id));
    assert_ne!(member_id("box one"), member_id("box two"));
}
