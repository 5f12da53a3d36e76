use super::*;

#[test]
fn lines_come_whole_in_pieces_and_their_end_is_told() {
    let (one, mut other) = UnixStream::pair().unwrap();
    let mut line = Line::new(one).unwrap();
    other.write_all(b"{\"held\":{\"clients\":3,\"stores\"").unwrap();
    assert!(line.hear::<Status>(TELL_EVERY).unwrap().is_none());
    other.write_all(b":1},\"used\":[7]}\n").unwrap();
    let status = line.hear::<Status>(TELL_EVERY).unwrap().unwrap();
    assert_eq!(status.used, [7]);
    other.write_all(b"what?\n").unwrap();
    assert!(line.hear::<Status>(TELL_EVERY).is_err());
    drop(other);
    assert!(line.hear::<Status>(TELL_EVERY).is_err());
}
