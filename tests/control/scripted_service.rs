//! A scripted control service that sends whatever a test needs: invalid versions, and versions at whose receipt the
//! gateway crashes before it acknowledges them.

use super::*;

/// The actions of a scripted service on a connection whose gateway has sent its `Hello`.
type Script = Box<dyn Fn(&mut ScriptedConnection, Option<VersionId>) + Send>;

/// A gateway's connection to the scripted service.
struct ScriptedConnection {
    stream: StreamOwned<ServerConnection, TcpStream>,
    decoder: Decoder,
    nonce: u64,
    received: Arc<Mutex<Vec<FromGateway>>>,
}

impl ScriptedConnection {
    fn send(&mut self, message: &FromService) {
        let _ = self.stream.write_all(&encode(message).unwrap()).and_then(|()| self.stream.flush());
    }

    /// Sends an offer and all its chunks.
    fn offer(&mut self, version: &Version) {
        self.nonce += 1;
        let nonce = self.nonce;
        self.send(&FromService::Offer {
            nonce,
            id: version.id.clone(),
            base: None,
            names: version.documents.keys().cloned().collect(),
            removed: Vec::new(),
            bytes: version.size() as u64,
        });
        for (name, text) in &version.documents {
            self.send(&FromService::Chunk { nonce, name: name.clone(), text: text.clone(), last: true });
        }
        self.send(&FromService::Done { nonce });
    }

    /// Receives messages for `duration`, and sends a heartbeat whenever a read times out.
    fn receive(&mut self, duration: Duration) {
        let started = Instant::now();
        let mut buffer = [0; 4096];
        while started.elapsed() < duration {
            match self.stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(read) => self.decoder.push(&buffer[..read]),
                Err(_) => self.send(&FromService::Heartbeat),
            }
            while let Ok(Some(message)) = self.decoder.next_message() {
                self.received.lock().unwrap().push(message);
            }
        }
    }
}

/// Starts a scripted service; returns its address and the messages that it receives.
fn start_scripted(fixture: &Fixture, script: Script) -> (SocketAddr, Arc<Mutex<Vec<FromGateway>>>) {
    let config = sagearch_control::tls::server(
        &fixture.path("service.pem"),
        &fixture.path("service.key"),
        &fixture.path("ca.pem"),
    );
    let (config, listener) = (config.unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let (address, received) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(Vec::new())));
    let message_log = received.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
            let session = ServerConnection::new(config.clone()).unwrap();
            let stream = StreamOwned::new(session, stream);
            let mut connection = ScriptedConnection {
                stream,
                decoder: Decoder::default(),
                nonce: 0,
                received: message_log.clone(),
            };
            connection.send(&FromService::Welcome {
                protocol: 1,
                heartbeat_ms: 200,
                reconnect_window_ms: 50,
            });
            let received_before = message_log.lock().unwrap().len();
            let opened = Instant::now();
            while message_log.lock().unwrap().len() == received_before
                && opened.elapsed() < Duration::from_secs(3)
            {
                connection.receive(Duration::from_millis(20));
            }
            let have = message_log.lock().unwrap().iter().rev().find_map(|message| match message {
                FromGateway::Hello { have, .. } => Some(have.clone()),
                _ => None,
            });
            script(&mut connection, have.flatten());
        }
    });
    (address, received)
}

/// The service sends valid, invalid, duplicate, reordered, truncated and forged versions while requests arrive. Each
/// answer names a complete version that the gateway accepted.
#[test]
fn traffic_during_faulty_versions_is_served_under_accepted_ones_only() {
    let (fixture, bus, key) = (Fixture::default(), Bus::default(), signer("k1"));
    let cache = Store::new(1, |_, _| ok(b"x"));
    let valid: Vec<Version> =
        (1..=6).map(|number| Version::new(1, number * 10, documents_for_red(&key, "a"))).collect();
    let invalid_version = |number: u64, change: &dyn Fn(&str) -> String| {
        let documents = documents_for_red(&key, "a");
        Version::new(
            1,
            number,
            Documents::from([("operators.kdl".into(), change(&documents["operators.kdl"]))]),
        )
    };
    let invalid = vec![
        invalid_version(11, &|text| text.replace("set=\"main\"", "set=\"none\"")),
        invalid_version(12, &|text| text[..text.len() / 2].to_string()),
        invalid_version(13, &|text| text.replace("tenant \"red\"", "tenant")),
        Version::new(1, 14, Documents::from([("other".into(), "x".into())])),
    ];
    let connections = Arc::new(AtomicU64::new(0));
    let (connection_count, versions, invalid_versions) =
        (connections.clone(), valid.clone(), invalid.clone());
    let script: Script = Box::new(move |connection, _| {
        match connection_count.fetch_add(1, Ordering::SeqCst) {
            0 => connection.offer(&versions[0]),
            1 => invalid_versions.iter().for_each(|version| connection.offer(version)),
            2 => {
                connection.offer(&versions[1]);
                connection.offer(&versions[1]);
                connection.offer(&versions[0]);
            }
            3 => {
                // The connection closes between two chunks.
                connection.nonce += 1;
                let version = &versions[2];
                let (names, bytes) = (vec!["operators.kdl".into()], version.size() as u64);
                let (nonce, id) = (connection.nonce, version.id.clone());
                connection.send(&FromService::Offer {
                    nonce,
                    id,
                    base: None,
                    names,
                    removed: Vec::new(),
                    bytes,
                });
                let text = version.documents["operators.kdl"][..40].to_string();
                connection.send(&FromService::Chunk {
                    nonce,
                    name: "operators.kdl".into(),
                    text,
                    last: false,
                });
                return;
            }
            4 => {
                // A known number with other content, and a version whose digest does not match its content.
                connection.offer(&Version::new(
                    1,
                    20,
                    Documents::from([("operators.kdl".into(), "limits lookups=5".into())]),
                ));
                let mut forged = versions[2].clone();
                forged.documents.insert("operators.kdl".into(), "limits lookups=6".into());
                connection.offer(&forged);
            }
            5 => versions[3..].iter().for_each(|version| connection.offer(version)),
            _ => {}
        }
        connection.receive(Duration::from_millis(600));
    });
    let (service, received) = start_scripted(&fixture, script);
    let gateway =
        gateway_under(&bus, &[cache.cache()], &fixture.folder, &Fixture::operator_file(&[service], ""));
    let (address, token) = (gateway.listen, token(&key, "red"));
    wait_for("the first version", || get(address, "a1", &token).status == 200);
    let (mut seen, started) = (BTreeSet::new(), Instant::now());
    let last = valid.last().unwrap().id.to_string();
    while !seen.contains(&last) {
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "the last valid version is in force within 20 s: {seen:?}"
        );
        let answer = get(address, "a1", &token);
        assert_eq!(answer.status, 200);
        seen.insert(version_of(&answer));
    }
    let accepted: BTreeSet<String> = valid.iter().map(|version| version.id.to_string()).collect();
    assert!(seen.is_subset(&accepted), "{seen:?}");
    let received = received.lock().unwrap().clone();
    let nacked = |id: &VersionId| {
        received.iter().any(|message| matches!(message, FromGateway::Nack { id: nacked, .. } if nacked == id))
    };
    assert!(invalid.iter().all(|version| nacked(&version.id)), "{received:?}");
    let acked: Vec<&VersionId> = received
        .iter()
        .filter_map(|message| if let FromGateway::Ack { id, .. } = message { Some(id) } else { None })
        .collect();
    assert!(acked.iter().all(|id| accepted.contains(&id.to_string())), "{acked:?}");
    assert!(acked.windows(2).all(|pair| pair[0].sequence() <= pair[1].sequence()));
    // A nack names the position of the fault.
    let position_reported = received.iter().any(
        |message| matches!(message, FromGateway::Nack { cause, .. } if cause.starts_with("operators.kdl:")),
    );
    assert!(position_reported);
}

/// The program crashes at each step between receipt and acknowledgement of a version. After its restart a complete
/// version is in force: the previous one, or the new one if it was stored before the crash.
#[test]
fn crash_at_any_step_resumes_from_the_last_good_version() {
    for (step, resumed) in
        [("assembled", 10), ("staged", 10), ("kept", 20), ("in-force", 20), ("acknowledged", 20)]
    {
        let (fixture, bus, key) = (Fixture::default(), Bus::default(), signer("k1"));
        let cache = Store::new(1, |_, _| ok(b"x"));
        bus.list(&[cache.cache()]);
        let versions = [10, 20].map(|number| Version::new(1, number, documents_for_red(&key, "a")));
        let offered = Arc::new(AtomicU64::new(0));
        let (offered_index, offered_versions) = (offered.clone(), versions.clone());
        let script: Script = Box::new(move |connection, _| {
            connection.offer(&offered_versions[offered_index.load(Ordering::SeqCst).min(1) as usize]);
            connection.receive(Duration::from_millis(1_500));
        });
        let (service, _) = start_scripted(&fixture, script);
        let file = fixture.path("gateway.kdl");
        std::fs::write(&file, Fixture::operator_file(&[service], "")).unwrap();
        let start = |crash: Option<&str>| {
            let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_sagearch"));
            command
                .arg("--operators")
                .arg(&file)
                .env_remove("SAGEARCH_CRASH_AT")
                .stderr(std::process::Stdio::null());
            crash.map(|step| command.env("SAGEARCH_CRASH_AT", step));
            Program::start_with(&bus, command)
        };
        let token = token(&key, "red");
        let first = start(None);
        wait_for("the first version", || get(first.at, "a1", &token).status == 200);
        first.signal("TERM");
        first.end();
        offered.store(1, Ordering::SeqCst);
        let crashing = start(Some(step));
        let exit_status = crashing.end();
        assert!(!exit_status.success(), "the program crashes at {step}");
        // No service is reachable after the crash, so that only the stored version counts.
        std::fs::write(&file, Fixture::operator_file(&["127.0.0.1:1".parse().unwrap()], "")).unwrap();
        let restarted = start(None);
        let answer = get(restarted.at, "a1", &token);
        assert_eq!(answer.status, 200);
        assert!(version_of(&answer).starts_with(&format!("1.{resumed}-")), "{step}: {}", version_of(&answer));
        restarted.signal("TERM");
        restarted.end();
    }
}
