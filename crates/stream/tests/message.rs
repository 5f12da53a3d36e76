//! Framing of protocol messages.

use proptest::prelude::*;
use sagearch_stream::message::{Decoder, FromGateway, FromService, encode};
use sagearch_stream::version::{Documents, Version};

fn version(number: u64) -> Version {
    Version::new(1, number, Documents::from([("d.kdl".into(), format!("limits lookups={number}"))]))
}

#[test]
fn decoder_of_frames_split_at_any_size_returns_every_message() {
    let messages = [
        FromGateway::Heartbeat { requests: 7, failed: 1 },
        FromGateway::Nack { nonce: 3, id: version(2).id, cause: "f:1:1: \"x\"".into() },
    ];
    let bytes: Vec<u8> = messages.iter().flat_map(|message| encode(message).unwrap()).collect();
    for size in 1..bytes.len() {
        let (mut decoder, mut received) = (Decoder::default(), Vec::new());
        for part in bytes.chunks(size) {
            decoder.push(part);
            while let Some(message) = decoder.next_message::<FromGateway>().unwrap() {
                received.push(message);
            }
        }
        assert_eq!(received, messages, "split into {size} bytes");
    }
    let mut oversized = Decoder::default();
    oversized.push(&u32::MAX.to_be_bytes());
    assert!(oversized.next_message::<FromGateway>().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decoder_of_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        let _ = decoder.next_message::<FromService>();
    }
}
