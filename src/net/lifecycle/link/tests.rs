use super::*;

#[test]
fn message_in_parts_is_received_completely_and_an_invalid_one_is_an_error() {
    let (stream, mut peer) = UnixStream::pair().unwrap();
    let mut messages = MessageStream::new(stream).unwrap();
    peer.write_all(b"{\"held\":{\"clients\":3,\"stores\"").unwrap();
    assert!(messages.receive::<Status>(STATUS_INTERVAL).unwrap().is_none());
    peer.write_all(b":1},\"used\":[7]}\n").unwrap();
    let status = messages.receive::<Status>(STATUS_INTERVAL).unwrap().unwrap();
    assert_eq!(status.used, [7]);
    peer.write_all(b"what?\n").unwrap();
    assert!(messages.receive::<Status>(STATUS_INTERVAL).is_err());
    drop(peer);
    assert!(messages.receive::<Status>(STATUS_INTERVAL).is_err());
}
