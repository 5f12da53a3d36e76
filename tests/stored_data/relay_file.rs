//! The relay's configuration file, the only file of a relay.

use super::fixture;
use sagearch_operators::FileError;
use sagearch_operators::relay::{Peer, RelayFile, relay};

struct Disk;

impl sagearch_operators::Files for Disk {
    fn read(&self, name: &str) -> Result<String, FileError> {
        Ok(std::fs::read_to_string(name)?)
    }
}

#[test]
fn recorded_relay_file_reads_as_the_same_settings() {
    let file = relay(&fixture("relay/relay.kdl").to_string_lossy(), &Disk).unwrap();
    let address = |text: &str| text.parse().unwrap();
    let expected = RelayFile {
        name: "relay-1".into(),
        listen: address("127.0.0.1:4300"),
        upstreams: vec![address("127.0.0.1:4000"), address("127.0.0.1:4301")],
        peers: vec![Peer { name: "relay-2".into(), address: address("127.0.0.1:4302") }],
        workers: 3,
        batch: 80,
        hold: 90,
        lease: 1_800,
        drift: 12,
        keep_purges: 11 * 60_000,
        purge_room: 400,
        log_room: 500,
        sessions: 600,
        per_address: 70,
        forget_after: 61_000,
    };
    assert_eq!(file, expected);
}
