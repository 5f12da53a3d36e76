//! The upgrade link between two processes of a gateway. Frames recorded from the earlier program are replayed to a
//! process of the current program, which starts after the earlier process or before it.

use super::frame_form::{difference, equal};
use super::identity_stand::{jwks, signer};
use super::read_fixture;
use super::stand::*;
use sagearch::Learned;
use sagearch::net::lifecycle::gateway::Gateway;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::Duration;

/// The operator file, with the two issuers of the recorded process.
const OPERATOR_FILE: &str = r#"identity {
    audience "gw"
    anonymous "red"
    issuer "https://issuer.example" {
        keys file="keys.json"
    }
    issuer "https://partner.example" {
        keys file="keys.json"
    }
    tenant "red" {
        token issuer="https://issuer.example" claim="tenant" value="red"
        allow "video" "submit" "once"
    }
}
"#;

fn recorded(name: &str) -> Value {
    serde_json::from_slice(&read_fixture(name)).unwrap()
}

/// The request ids in a frame.
fn request_ids(value: &Value) -> Vec<u64> {
    value["used"].as_array().unwrap().iter().map(|id| id.as_u64().unwrap()).collect()
}

/// The path of the gateway's link socket.
fn link_path(folder: &Folder) -> PathBuf {
    folder.0.join("sagearch-n0.link")
}

/// Starts a gateway of the current program, with a cache and an origin.
fn start_gateway(folder: &Folder) -> Gateway {
    folder.put("keys.json", &jwks(&[(&signer("k9"), json!({}))]));
    let (cache, origin) = (Store::new(1, |_, _| ok(b"x")), Store::new(9, |_, _| ok(b"done")));
    gateway_by(&Bus::default(), &[cache.cache(), origin.origin()], |config| {
        config.admin = Some((Ipv4Addr::LOCALHOST, 0).into());
        config.lasting = Some(folder.0.clone());
        config.operators = operators_in(folder, OPERATOR_FILE, config);
    })
}

/// The earlier program's end of the link.
struct EarlierProcess {
    reader: BufReader<UnixStream>,
}

impl EarlierProcess {
    fn new(stream: UnixStream) -> EarlierProcess {
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        EarlierProcess { reader: BufReader::new(stream) }
    }

    fn send(&mut self, name: &str) {
        self.reader.get_mut().write_all(&read_fixture(name)).unwrap();
    }

    fn receive(&mut self) -> Value {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap()
    }
}

fn status_of_request(address: SocketAddr, id: u64) -> u16 {
    ask(address, "video/any", id).status
}

/// Asserts that the gateway rejects all request ids of a recorded frame as used.
fn assert_ids_are_used(gateway: &Gateway, frame: &str) {
    for id in request_ids(&recorded(frame)) {
        wait_for(&format!("id {id} of {frame} is used"), || status_of_request(gateway.listen, id) == 409);
    }
}

#[test]
fn learned_state_of_a_recorded_frame_is_rewritten_equal() {
    let learned = &recorded("link/handover.json")["learned"];
    let read: Learned = serde_json::from_value(learned.clone()).unwrap();
    let written = serde_json::to_value(read).unwrap();
    assert!(equal(learned, &written), "{learned}\n{written}");
}

#[test]
fn identity_state_of_a_recorded_frame_is_rewritten_equal() {
    let identity = &recorded("link/handover.json")["identity"];
    let any_issuer_has = |name: &str| {
        let issuers = identity["issuers"].as_object().unwrap();
        issuers.values().any(|ends| !ends[name].as_array().unwrap().is_empty())
    };
    assert!(
        any_issuer_has("ended") && any_issuer_has("retiring"),
        "the fixture holds ended and retiring keys"
    );
    let read: sagearch_identity::Handover = serde_json::from_value(identity.clone()).unwrap();
    assert_eq!(&serde_json::to_value(read).unwrap(), identity);
}

#[test]
fn recorded_frames_are_applied_and_handed_to_the_next_process() {
    let folder = Folder::default();
    let listener = UnixListener::bind(link_path(&folder)).unwrap();
    let earlier = std::thread::spawn(move || {
        let mut earlier = EarlierProcess::new(listener.accept().unwrap().0);
        earlier.send("link/handover.json");
        let status = earlier.receive();
        earlier.send("link/status.json");
        (earlier, status)
    });
    let gateway = start_gateway(&folder);
    let (earlier, status) = earlier.join().unwrap();
    assert_eq!(difference(&recorded("link/status.json"), &status, "status"), None);
    assert_ids_are_used(&gateway, "link/handover.json");
    assert_ids_are_used(&gateway, "link/status.json");
    // The earlier process ends, and the next one receives the state that was applied.
    drop(earlier);
    let mut next = EarlierProcess::new(UnixStream::connect(link_path(&folder)).unwrap());
    let (before, now) = (recorded("link/handover.json"), next.receive());
    assert!(equal(&before["learned"], &now["learned"]), "{}\n{}", before["learned"], now["learned"]);
    assert_eq!(before["classes"], now["classes"]);
    let known = request_ids(&now);
    assert!(request_ids(&before).iter().all(|id| known.contains(id)), "{known:?}");
    let floor = |frame: &Value| frame["identity"]["floor"].as_u64().unwrap();
    assert!(floor(&now) >= floor(&before), "the time floor for validity checks does not decrease");
    for issuer in before["identity"]["issuers"].as_object().unwrap().keys() {
        let ended = |frame: &Value| frame["identity"]["issuers"][issuer]["ended"].clone();
        assert_eq!(ended(&before), ended(&now), "{issuer}");
    }
}

/// A downgrade: the earlier program starts beside the current one, receives its frames and sends its own.
#[test]
fn downgrade_exchanges_frames_in_the_recorded_form() {
    let folder = Folder::default();
    let gateway = start_gateway(&folder);
    for id in 1_000..1_010 {
        let text = request(&format!("video/o{id}"), id, 1_500, "Req-Kb: 40\r\n");
        assert_eq!(ask_text(gateway.listen, &text).unwrap().status, 200);
    }
    let mut earlier = EarlierProcess::new(UnixStream::connect(link_path(&folder)).unwrap());
    let handover = earlier.receive();
    assert_eq!(difference(&recorded("link/handover.json"), &handover, "handover"), None);
    assert_eq!(request_ids(&handover).len(), 10);
    earlier.send("link/status.json");
    assert_eq!(difference(&recorded("link/status.json"), &earlier.receive(), "status"), None);
    assert_ids_are_used(&gateway, "link/status.json");
}
