//! Routes that a consensus group agrees on, through the DNS answers of its instances: none of them answers by routes that
//! newer ones have replaced, whether it is cut off, has restarted, takes part in an upgrade or is reloaded.

mod stand;
use sagearch::config::{Config, decode};
use sagearch::consensus::propose;
use sagearch::net::lifecycle::gateway::Gateway;
use sagearch_operators as operators;
use serde_json::json;
use stand::*;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GROUP_SIZE: usize = 3;
/// The store whose address is given to clients.
const STORE: Ipv4Addr = Ipv4Addr::new(127, 0, 9, 1);
/// Clients at 127.0.0.1 get the address of a store.
const FIRST: &str = "deadline \"500ms\"\nsource \"127.0.0.1\" zone=\"edge\"";
/// They get the gateway's own address.
const SECOND: &str = "deadline \"500ms\"\nsource \"127.0.0.1\" zone=\"edge\" ignores-lifetimes=#true";
/// They are refused.
const THIRD: &str = "deadline \"500ms\"\nsource \"127.0.0.9\" zone=\"edge\"";
/// How long an instance may take to come under new routes, or to stop once it hears nothing more: far over the lease.
const SETTLING: Duration = Duration::from_mins(1);
/// How long an instance is watched that must not change its answers.
const OBSERVATION: Duration = Duration::from_secs(3);

/// An answer to a client at 127.0.0.1 that asks for a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answered {
    StoreAddress,
    OwnAddress,
    Refused,
    /// The instance does not know by which routes it may answer.
    ServerFailure,
    Nothing,
}

fn ask_name(at: SocketAddr) -> Answered {
    // A question for o1.video.svc.test, type A.
    let question = b"\0\x07\x01\0\0\x01\0\0\0\0\0\0\x02o1\x05video\x03svc\x04test\0\0\x01\0\x01";
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    socket.send_to(question, at).unwrap();
    let mut answer = [0; 512];
    let Ok(length) = socket.recv(&mut answer) else { return Answered::Nothing };
    match answer[3] & 15 {
        // The address is the end of the only record.
        0 if answer[..length].ends_with(&STORE.octets()) => Answered::StoreAddress,
        0 => Answered::OwnAddress,
        5 => Answered::Refused,
        2 => Answered::ServerFailure,
        other => panic!("response code {other}"),
    }
}

fn wait_until(what: &str, check: impl Fn() -> bool) {
    let started = Instant::now();
    while !check() {
        assert!(started.elapsed() < SETTLING, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Whether the instances at the two ends of a way are cut off.
type Cuts = [Arc<AtomicBool>; 2];

/// Passes connections on to an address unless an end of the way is cut off: then they stay open and silent.
fn proxy(to: SocketAddr, is_cut: Cuts) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let is_cut = is_cut.clone();
            thread::spawn(move || pass_on(&near, to, &is_cut));
        }
    });
    address
}

fn pass_on(near: &TcpStream, to: SocketAddr, is_cut: &Cuts) {
    let Ok(far) = TcpStream::connect(to) else { return };
    let mut chunk = [0; 8192];
    let (mut reader, mut writer) = (near, &far);
    // Peers send in one direction on each connection.
    while let Ok(length @ 1..) = reader.read(&mut chunk) {
        while is_cut.iter().any(|is_cut| is_cut.load(Ordering::SeqCst)) {
            thread::sleep(Duration::from_millis(10));
        }
        if writer.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    let _ = (near.shutdown(Shutdown::Both), far.shutdown(Shutdown::Both));
}

/// A group of gateways in this process. The ways between them lead through proxies.
struct Group {
    folder: Folder,
    store: Store,
    buses: Vec<Bus>,
    addresses: Vec<SocketAddr>,
    is_cut: Vec<Arc<AtomicBool>>,
    gateways: Vec<Option<Gateway>>,
}

impl Group {
    /// Each group has an IP address of its own, so that no other test takes its ports while an instance is down.
    fn new(host: u8) -> Group {
        Group::of_size(host, GROUP_SIZE)
    }

    fn of_size(host: u8, size: usize) -> Group {
        let held: Vec<TcpListener> =
            (0..size).map(|_| TcpListener::bind((Ipv4Addr::new(127, 0, 8, host), 0)).unwrap()).collect();
        Group {
            folder: Folder::default(),
            store: Store::at(IpAddr::V4(STORE), 1, |_, _| Do::Answer("yes", "-", Vec::new())),
            buses: (0..size).map(|_| Bus::default()).collect(),
            addresses: held.iter().map(|listener| listener.local_addr().unwrap()).collect(),
            is_cut: (0..size).map(|_| Arc::default()).collect(),
            gateways: (0..size).map(|_| None).collect(),
        }
    }

    /// A group whose instances all run under the first document.
    fn under_first_document(host: u8) -> Group {
        let mut group = Group::new(host);
        (0..GROUP_SIZE).for_each(|index| group.start(index));
        group.agree(FIRST);
        group.wait_for_answer(0..GROUP_SIZE, Answered::StoreAddress);
        group
    }

    /// The operators' file of an instance, whose own routes are `own`.
    fn file(&self, index: usize, own: &str) -> String {
        self.file_with_dns_at("127.0.0.1:0", index, own)
    }

    fn file_with_dns_at(&self, dns: &str, index: usize, own: &str) -> String {
        let peers = (0..self.addresses.len()).filter(|peer| *peer != index).map(|peer| {
            let cuts = [self.is_cut[index].clone(), self.is_cut[peer].clone()];
            format!("peer {} \"{}\"\n", peer + 1, proxy(self.addresses[peer], cuts))
        });
        let peers: String = peers.collect();
        let (listen, data) = (self.addresses[index], self.folder.0.join(format!("data-{index}")));
        format!(
            "dns listen=\"{dns}\" domain=\"svc.test\" deadline=\"500ms\" {{\n{own}}}\n\
             group id={} listen=\"{listen}\" data=\"{}\" {{\n{peers}}}\n",
            index + 1,
            data.display()
        )
    }

    fn start(&mut self, index: usize) {
        let file = self.file(index, "");
        let gateway = gateway_by(&self.buses[index], &[self.store.cache()], |config| {
            config.operators = Ok(operators::parse("gateway.kdl", &file, &config.names).unwrap());
        });
        self.gateways[index] = Some(gateway);
    }

    fn dns(&self, index: usize) -> SocketAddr {
        self.gateways[index].as_ref().unwrap().dns.unwrap()
    }

    /// Has the group agree on a document, at its first instance.
    fn agree(&self, document: &str) {
        let started = Instant::now();
        while let Err(cause) = propose(self.addresses[0], document.as_bytes()) {
            assert!(started.elapsed() < SETTLING, "{document} is not agreed on: {cause}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn wait_for_answer(&self, indices: impl IntoIterator<Item = usize>, answer: Answered) {
        for index in indices {
            let address = self.dns(index);
            wait_until(&format!("instance {index} answers {answer:?}"), || ask_name(address) == answer);
        }
    }
}

/// One query and its answer.
#[derive(Clone, Copy, Debug)]
struct Sample {
    address: SocketAddr,
    asked_at: Instant,
    answered_at: Instant,
    answer: Answered,
}

/// Asks instances again and again, each on a thread of its own.
struct Observer {
    stop: Arc<AtomicBool>,
    samples: Arc<Mutex<Vec<Sample>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Observer {
    fn start(addresses: impl IntoIterator<Item = SocketAddr>) -> Observer {
        let (stop, samples): (Arc<AtomicBool>, Arc<Mutex<Vec<Sample>>>) = Default::default();
        let ask_repeatedly = |address| {
            let (stop, samples) = (stop.clone(), samples.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let asked_at = Instant::now();
                    let answer = ask_name(address);
                    let sample = Sample { address, asked_at, answered_at: Instant::now(), answer };
                    samples.lock().unwrap().push(sample);
                    thread::sleep(Duration::from_millis(5));
                }
            })
        };
        let threads = addresses.into_iter().map(ask_repeatedly).collect();
        Observer { stop, samples, threads }
    }

    /// Goes on for a while, so that each instance is asked in its last state, and stops.
    fn finish(self) -> Vec<Sample> {
        thread::sleep(Duration::from_millis(200));
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        Arc::into_inner(self.samples).unwrap().into_inner().unwrap()
    }
}

/// Asserts that no query was answered in another way than these.
fn assert_answers_are_among(samples: &[Sample], allowed: &[Answered]) {
    let others: Vec<&Sample> = samples.iter().filter(|sample| !allowed.contains(&sample.answer)).collect();
    assert!(
        !samples.is_empty() && others.is_empty(),
        "{} other answers, first {:?}",
        others.len(),
        others.first()
    );
}

/// Asserts that every query asked after the first answer under the new routes was not answered under the old ones.
fn assert_old_routes_end_before_new_ones_begin(samples: &[Sample], old: Answered, new: Answered) {
    let under_new = samples.iter().filter(|sample| sample.answer == new);
    let first_new = under_new.map(|sample| sample.answered_at).min().expect("an answer under the new routes");
    let late: Vec<&Sample> =
        samples.iter().filter(|sample| sample.answer == old && sample.asked_at > first_new).collect();
    assert!(late.is_empty(), "{} answers under the old routes, such as {:?}", late.len(), late[0]);
}

/// An instance that was cut off went on answering by the first document while the others answered by the second.
#[test]
fn instance_that_is_cut_off_never_answers_by_routes_that_others_have_replaced() {
    let group = Group::under_first_document(1);
    let observer = Observer::start((0..GROUP_SIZE).map(|index| group.dns(index)));
    group.is_cut[GROUP_SIZE - 1].store(true, Ordering::SeqCst);
    group.agree(SECOND);
    group.wait_for_answer(0..GROUP_SIZE - 1, Answered::OwnAddress);
    thread::sleep(OBSERVATION);
    assert_eq!(ask_name(group.dns(GROUP_SIZE - 1)), Answered::ServerFailure);
    group.is_cut[GROUP_SIZE - 1].store(false, Ordering::SeqCst);
    group.wait_for_answer(0..GROUP_SIZE, Answered::OwnAddress);
    let samples = observer.finish();
    assert_old_routes_end_before_new_ones_begin(&samples, Answered::StoreAddress, Answered::OwnAddress);
}

/// Instances came under a new document one after another, and contradicted each other meanwhile.
#[test]
fn new_routes_begin_nowhere_before_the_old_ones_have_ended_everywhere() {
    let group = Group::under_first_document(2);
    let observer = Observer::start((0..GROUP_SIZE).map(|index| group.dns(index)));
    group.agree(SECOND);
    group.wait_for_answer(0..GROUP_SIZE, Answered::OwnAddress);
    group.agree(FIRST);
    group.agree(THIRD);
    group.wait_for_answer(0..GROUP_SIZE, Answered::Refused);
    let samples = observer.finish();
    assert_old_routes_end_before_new_ones_begin(&samples, Answered::StoreAddress, Answered::OwnAddress);
    assert_old_routes_end_before_new_ones_begin(&samples, Answered::OwnAddress, Answered::Refused);
}

/// Routes that a new document leaves as they are go on without a gap.
#[test]
fn query_on_which_old_and_new_routes_agree_is_answered_throughout() {
    let group = Group::under_first_document(3);
    let observer = Observer::start((0..GROUP_SIZE).map(|index| group.dns(index)));
    group.agree(&format!("{FIRST}\nsource \"127.0.0.9\" zone=\"edge\""));
    thread::sleep(OBSERVATION);
    let samples = observer.finish();
    assert_answers_are_among(&samples, &[Answered::StoreAddress]);
}

/// An instance that returned answered by the document on its disk until it heard of the newer one.
#[test]
fn instance_that_restarts_never_answers_by_the_routes_on_its_disk() {
    let mut group = Group::under_first_document(4);
    let last = GROUP_SIZE - 1;
    group.gateways[last] = None;
    group.agree(SECOND);
    group.wait_for_answer(0..last, Answered::OwnAddress);
    group.start(last);
    let observer = Observer::start([group.dns(last)]);
    group.wait_for_answer([last], Answered::OwnAddress);
    let samples = observer.finish();
    assert_answers_are_among(&samples, &[Answered::ServerFailure, Answered::OwnAddress]);
}

/// Queries that wait while the process is stopped must not be answered by what was in force before.
#[test]
fn instance_that_was_stopped_for_a_while_wakes_without_the_old_routes() {
    let mut group = Group::new(8);
    let last = GROUP_SIZE - 1;
    (0..last).for_each(|index| group.start(index));
    let dns = unused_address();
    let file = group.file_with_dns_at(&dns.to_string(), last, "");
    let path = group.folder.0.join("gateway.kdl");
    std::fs::write(&path, file).unwrap();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_sagearch"));
    command.arg("--operators").arg(path);
    group.buses[last].list(&[group.store.cache()]);
    let program = Program::start_with(&group.buses[last], command);
    group.agree(FIRST);
    wait_until("the process answers by the first document", || ask_name(dns) == Answered::StoreAddress);
    program.paused(true);
    group.agree(SECOND);
    group.wait_for_answer(0..last, Answered::OwnAddress);
    let observer = Observer::start([dns; 8]);
    thread::sleep(Duration::from_millis(500));
    program.paused(false);
    wait_until("the process answers by the second document", || ask_name(dns) == Answered::OwnAddress);
    let samples = observer.finish();
    let allowed = [Answered::Nothing, Answered::ServerFailure, Answered::OwnAddress];
    assert_answers_are_among(&samples, &allowed);
}

/// An instance without a majority can't know what the others agree on.
#[test]
fn instance_that_has_lost_the_majority_stops_answering_until_it_is_back() {
    let mut group = Group::under_first_document(5);
    for index in 1..GROUP_SIZE {
        group.gateways[index] = None;
    }
    group.wait_for_answer([0], Answered::ServerFailure);
    thread::sleep(OBSERVATION);
    assert_eq!(ask_name(group.dns(0)), Answered::ServerFailure);
    group.start(1);
    group.wait_for_answer([0, 1], Answered::StoreAddress);
}

fn config_with_operators(bus: &Bus, text: &str) -> Config {
    let mut read = decode(&config(bus, "127.0.0.1:0", 1024).to_string(), None, None).unwrap();
    read.operators = Ok(operators::parse("gateway.kdl", text, &read.names).unwrap());
    read
}

/// In an upgrade the group's address is still in use by the previous process. The new one took the routes of its own file
/// for those in force, before it had joined the group, and for good after the next SIGHUP.
#[test]
fn instance_that_is_upgraded_and_reloaded_never_answers_by_its_own_file() {
    let mut group = Group::new(6);
    let last = GROUP_SIZE - 1;
    (0..last).for_each(|index| group.start(index));
    group.agree(THIRD);
    group.wait_for_answer(0..last, Answered::Refused);
    let previous_process = TcpListener::bind(group.addresses[last]).unwrap();
    let clients = TcpListener::bind("127.0.0.1:0").unwrap();
    let bus = Bus::default();
    let own_routes = "source \"127.0.0.1\" zone=\"edge\"\n";
    let file = group.file(last, own_routes);
    let gateway = gateway_beside(&bus, &[group.store.cache()], &clients, &file);
    let dns = gateway.dns.unwrap();
    let observer = Observer::start([dns]);
    thread::sleep(Duration::from_millis(500));
    gateway.reload(config_with_operators(&bus, &file)).unwrap();
    assert_eq!(ask_name(dns), Answered::ServerFailure, "it has not joined the group yet");
    drop(previous_process);
    wait_until("it answers by the agreed routes", || ask_name(dns) == Answered::Refused);
    gateway.reload(config_with_operators(&bus, &file)).unwrap();
    thread::sleep(OBSERVATION);
    let samples = observer.finish();
    assert_answers_are_among(&samples, &[Answered::ServerFailure, Answered::Refused]);
}

/// An instance that could not read a committed document stayed under the one before, and never read it again.
#[test]
fn routes_with_an_unknown_zone_are_in_force_once_the_zone_is_known() {
    let mut group = Group::new(7);
    let last = GROUP_SIZE - 1;
    let with_zone = |bus: &Bus, file: &str| {
        let mut json = config(bus, "127.0.0.1:0", 1024);
        json["settings"]["Zones"] = json!(["hub", "edge", "moon"]);
        json["settings"]["FamilyInfo"]["ZoneBalancers"] = json!([0, 1, 0]);
        let mut read = decode(&json.to_string(), None, None).unwrap();
        read.operators = Ok(operators::parse("gateway.kdl", file, &read.names).unwrap());
        read
    };
    let files: Vec<String> = (0..GROUP_SIZE).map(|index| group.file(index, "")).collect();
    for (index, file) in files.iter().enumerate() {
        let bus = &group.buses[index];
        let read = if index == last { config_with_operators(bus, file) } else { with_zone(bus, file) };
        group.gateways[index] = Some(gateway_by(bus, &[group.store.cache()], |config| *config = read));
    }
    group.agree(FIRST);
    group.wait_for_answer(0..GROUP_SIZE, Answered::StoreAddress);
    group.agree(&format!("{SECOND}\nsource \"127.0.0.9\" zone=\"moon\""));
    group.wait_for_answer(0..last, Answered::OwnAddress);
    thread::sleep(OBSERVATION);
    assert_eq!(ask_name(group.dns(last)), Answered::ServerFailure);
    let gateway = group.gateways[last].as_ref().unwrap();
    gateway.reload(with_zone(&group.buses[last], &files[last])).unwrap();
    group.wait_for_answer([last], Answered::OwnAddress);
}

/// A sequence of random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

/// How long the soak takes and its seed, where `AGREED_ROUTES_SOAK` does not state them as `SECONDS,SEED`.
const SOAK: (u64, u64) = (40, 1);
const SOAK_GROUP_SIZE: usize = 5;
/// Documents are proposed one after another, no faster than this; each answers clients in another way than the two before.
const DOCUMENT_INTERVAL: Duration = Duration::from_secs(4);

/// Two instances contradict each other if one answers in a way both before and after another has answered differently, and
/// no document can have come back in between.
fn count_contradictions(mut samples: Vec<Sample>) -> usize {
    let is_decisive =
        |answer| matches!(answer, Answered::StoreAddress | Answered::OwnAddress | Answered::Refused);
    samples.retain(|sample| is_decisive(sample.answer));
    samples.sort_by_key(|sample| sample.asked_at);
    let mut contradictions = 0;
    for (index, first) in samples.iter().enumerate() {
        let later = samples[index + 1..]
            .iter()
            .take_while(|later| later.asked_at < first.answered_at + DOCUMENT_INTERVAL);
        let mut other_answer: Option<&Sample> = None;
        for later in later {
            if later.answer != first.answer && later.asked_at > first.answered_at {
                other_answer =
                    other_answer.filter(|other| other.answered_at < later.answered_at).or(Some(later));
            }
            let returns = later.address == first.address && later.answer == first.answer;
            if returns && other_answer.is_some_and(|other| other.answered_at < later.asked_at) {
                contradictions += 1;
                break;
            }
        }
    }
    contradictions
}

/// Cuts off or restarts instances, at most two at a time, while documents are agreed on.
#[test]
fn random_cuts_and_restarts_show_no_two_documents_at_the_same_time() {
    let by_hand = std::env::var("AGREED_ROUTES_SOAK").ok();
    let by_hand = by_hand.as_deref().and_then(|text| text.split_once(','));
    let (seconds, seed) =
        by_hand.map_or(SOAK, |(seconds, seed)| (seconds.parse().unwrap(), seed.parse().unwrap()));
    let mut random = Random(seed);
    let mut group = Group::of_size(9, SOAK_GROUP_SIZE);
    (0..SOAK_GROUP_SIZE).for_each(|index| group.start(index));
    group.agree(FIRST);
    group.wait_for_answer(0..SOAK_GROUP_SIZE, Answered::StoreAddress);
    let stop = Arc::new(AtomicBool::new(false));
    let proposer = {
        let (stop, addresses) = (stop.clone(), group.addresses.clone());
        thread::spawn(move || propose_in_turn(&addresses, &stop))
    };
    let mut observers = vec![Observer::start((0..SOAK_GROUP_SIZE).map(|index| group.dns(index)))];
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(seconds) {
        let victim = random.below(SOAK_GROUP_SIZE as u64) as usize;
        let other = (victim + 1 + random.below(SOAK_GROUP_SIZE as u64 - 1) as usize) % SOAK_GROUP_SIZE;
        group.is_cut[other].store(random.below(2) == 0, Ordering::SeqCst);
        group.is_cut[victim].store(true, Ordering::SeqCst);
        // All in all shorter than a proposal is waited for: one that a cut holds up is not committed after later ones.
        thread::sleep(Duration::from_millis(500 + random.below(2_500)));
        if random.below(2) == 0 {
            group.gateways[victim] = None;
            thread::sleep(Duration::from_millis(random.below(800)));
            group.start(victim);
            observers.push(Observer::start([group.dns(victim)]));
        }
        group.is_cut.iter().for_each(|is_cut| is_cut.store(false, Ordering::SeqCst));
        thread::sleep(Duration::from_millis(random.below(3_000)));
    }
    stop.store(true, Ordering::SeqCst);
    let documents = proposer.join().unwrap();
    group.agree(SECOND);
    group.wait_for_answer(0..SOAK_GROUP_SIZE, Answered::OwnAddress);
    let samples: Vec<Sample> = observers.into_iter().flat_map(Observer::finish).collect();
    let count = samples.len();
    assert_eq!(
        count_contradictions(samples),
        0,
        "of {count} answers under {documents} documents, seed {seed}"
    );
    println!("{count} answers under {documents} documents, seed {seed}");
    assert!(documents as u64 > seconds / 20, "{documents} documents were agreed on");
}

/// Has the group agree on documents until it is to stop, and returns on how many.
fn propose_in_turn(addresses: &[SocketAddr], stop: &AtomicBool) -> usize {
    let mut agreed = 0;
    for document in [SECOND, THIRD, FIRST].iter().cycle() {
        let mut attempts = addresses.iter().cycle();
        while !stop.load(Ordering::SeqCst) && propose(*attempts.next().unwrap(), document.as_bytes()).is_err()
        {
            thread::sleep(Duration::from_millis(50));
        }
        if stop.load(Ordering::SeqCst) {
            return agreed;
        }
        agreed += 1;
        thread::sleep(DOCUMENT_INTERVAL);
    }
    agreed
}
