//! Streamed configuration on real sockets. Gateways run in this process and as programs, and connect to the real
//! control service or to a scripted one that sends whatever a test needs.

#[path = "stand/identity.rs"]
mod identity_stand;
#[path = "control/resumption.rs"]
mod resumption;
#[path = "control/rollout.rs"]
mod rollout;
#[path = "control/scripted_service.rs"]
mod scripted_service;
#[path = "control/seals.rs"]
mod seals;
#[path = "stand/mod.rs"]
mod stand;

use identity_stand::*;
use rustls::{ServerConnection, StreamOwned};
use sagearch_control::client::Caller;
use sagearch_control::server::Server;
use sagearch_operators::control::{ServiceFile, ServiceOperator};
use sagearch_stream::message::{Decoder, FromGateway, FromService, encode};
use sagearch_stream::rollout::Plan;
use sagearch_stream::version::{Documents, Version, VersionId};
use serde_json::json;
use stand::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// A certificate authority, and a folder with the certificates of the service, its operators and the gateway.
struct Fixture {
    folder: Folder,
    ca: Authority,
}

impl Default for Fixture {
    fn default() -> Self {
        let (folder, ca) = (Folder::default(), Authority::new("ca"));
        folder.put("ca.pem", &ca.0.certificate);
        folder.put_pair("service", &ca.server(&["service.test"]));
        folder.put_pair("ops", &ca.client("spiffe://test/ops/one", 90, life(3_600)));
        folder.put_pair("looks", &ca.client("spiffe://test/look/one", 91, life(3_600)));
        folder.put_pair("n0", &ca.client("spiffe://test/gateway/n0", 92, life(3_600)));
        Fixture { folder, ca }
    }
}

impl Fixture {
    fn path(&self, name: &str) -> std::path::PathBuf {
        self.folder.0.join(name)
    }

    /// The text of the gateway's operator file: the addresses of its control services and additional properties.
    fn operator_file(services: &[SocketAddr], properties: &str) -> String {
        let addresses: Vec<String> =
            services.iter().map(|address| format!("address \"{address}\" name=\"service.test\"\n")).collect();
        let addresses = addresses.concat();
        format!(
            "control data=\"versions\" beat=\"200ms\" spread=\"100ms\" show-version=#true roots=\"ca.pem\" \
             certificate=\"n0.pem\" key=\"n0.key\" {properties} {{\n{addresses}}}\n"
        )
    }

    fn service_file(&self, address: SocketAddr) -> ServiceFile {
        let operator = |name: &str, uri: &str, may_change| ServiceOperator {
            name: name.into(),
            uri: uri.into(),
            may_change,
        };
        ServiceFile {
            listen: address,
            data: self.path("service"),
            epoch: 1,
            certificate: self.path("service.pem"),
            key: self.path("service.key"),
            roots: self.path("ca.pem"),
            gateways: "spiffe://test/gateway/".into(),
            beat: 200,
            spread: 100,
            at_once: 16,
            connections: 1_200,
            keep: 10,
            largest: 32 * 1024 * 1024,
            operators: vec![
                operator("ops", "spiffe://test/ops/", true),
                operator("looks", "spiffe://test/look/", false),
            ],
        }
    }

    fn caller(&self, address: SocketAddr, identity: &str) -> Caller {
        Caller {
            at: address,
            name: "service.test".into(),
            roots: self.path("ca.pem"),
            certificate: self.path(&format!("{identity}.pem")),
            key: self.path(&format!("{identity}.key")),
        }
    }
}

/// A control service that runs until it is dropped.
struct RunningService {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl RunningService {
    fn start(fixture: &Fixture, address: SocketAddr) -> RunningService {
        let started = Instant::now();
        let mut server = loop {
            match Server::start(fixture.service_file(address)) {
                Ok(server) => break server,
                Err(e) if started.elapsed() > Duration::from_secs(5) => {
                    panic!("the control service did not start: {e}")
                }
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let (address, stop) = (server.at, Arc::new(AtomicBool::new(false)));
        let server_stop = stop.clone();
        let thread = thread::spawn(move || server.run(&server_stop).unwrap());
        RunningService { address, stop, thread: Some(thread) }
    }
}

impl Drop for RunningService {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().map(thread::JoinHandle::join);
    }
}

/// The documents of a version under which the tenant `red` may request videos whose names begin with `prefix`.
fn documents_for_red(key: &sagearch_identity::issue::Signer, prefix: &str) -> Documents {
    let set = jwks(&[(key, json!({}))]);
    let text = format!(
        "identity {{\n audience \"gw\"\n issuer \"{ISS}\" {{ keys set=\"main\"; }}\n tenant \"red\" {{\n token \
         issuer=\"{ISS}\" claim=\"tenant\" value=\"red\"\n allow \"video\" prefix=\"{prefix}\"\n }}\n}}\n\
         key-set \"main\" json=#\"{set}\"#\n"
    );
    Documents::from([("operators.kdl".into(), text)])
}

/// Requests a video from the gateway at `address` with a new request id.
fn get(address: SocketAddr, object: &str, token: &str) -> Answer {
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst);
    ask_text(address, &request(&format!("video/{object}"), id, 1_500, &bearer(token)))
        .expect("the gateway answers")
}

/// The configuration version that an answer names, or an empty string.
fn version_of(answer: &Answer) -> String {
    answer.fields.get("config-version").cloned().unwrap_or_default()
}

/// Waits until a version is stable: released to all gateways, and in force at all connected ones.
fn wait_until_stable(fixture: &Fixture, service: SocketAddr, number: u64) {
    wait_for("the version is stable", || {
        fixture.caller(service, "ops").connect().unwrap().status().unwrap()["stable"] == json!(number)
    });
}
