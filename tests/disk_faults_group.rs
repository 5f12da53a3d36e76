//! A Raft group of three processes on failing disks: committed documents outlive SIGKILL, and an instance whose disk has
//! failed rejoins the group.

mod stand;
use rstest::rstest;
use sagearch::consensus::{Instance, propose};
use sagearch_faults::{Call, FaultPlan, Injector};
use sagearch_operators::fronts::Raft;
use stand::*;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GROUP_SIZE: usize = 3;
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The configuration of a Raft group, and the injector of faults into its processes.
struct Group {
    bus: Bus,
    folder: Folder,
    addresses: Vec<SocketAddr>,
    injector: Injector,
}

impl Group {
    /// Each group has its own address, so that no other test can bind its ports while an instance is down.
    fn new(host: u8) -> Group {
        let folder = Folder::default();
        let reserved: Vec<TcpListener> = (0..GROUP_SIZE)
            .map(|_| TcpListener::bind((Ipv4Addr::new(127, 0, 3, host), 0)).unwrap())
            .collect();
        let addresses = reserved.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let injector = Injector::new(&folder.0, 7).unwrap();
        Group { bus: Bus::default(), folder, addresses, injector }
    }

    fn raft(&self, index: usize) -> Raft {
        let peers =
            (0..GROUP_SIZE).filter(|peer| *peer != index).map(|peer| (peer as u64 + 1, self.addresses[peer]));
        Raft {
            id: index as u64 + 1,
            listen: self.addresses[index],
            peers: peers.collect(),
            data: self.folder.0.join(format!("data-{index}")),
        }
    }

    fn start(&self, index: usize) -> Program {
        let Raft { id, listen, peers, data } = self.raft(index);
        let peers: Vec<String> =
            peers.iter().map(|(id, address)| format!("peer {id} \"{address}\"\n")).collect();
        let peers = peers.concat();
        let text = format!("group id={id} listen=\"{listen}\" data=\"{}\" {{\n{peers}}}\n", data.display());
        let file = self.folder.0.join(format!("{index}.kdl"));
        std::fs::write(&file, text).unwrap();
        let mut command = Program::command_under(&self.injector);
        command.args(["--operators".as_ref(), file.as_os_str()]);
        // No test sends requests to the gateway itself: any free port will do.
        let listen = format!("{}:0", self.addresses[index].ip());
        Program::start_where(&self.bus, command, |config| config["listen"] = listen.into())
    }

    /// Proposes a unique document at an instance until the group has committed it, despite the injected faults.
    fn commit_document(&self, index: usize, number: usize) -> String {
        let document = format!("deadline \"{}ms\"\nsource \"127.0.0.1\" zone=\"edge\"", 500 + number);
        let started = Instant::now();
        while let Err(cause) = propose(self.addresses[index], document.as_bytes()) {
            assert!(
                started.elapsed() < COMMIT_TIMEOUT,
                "document {number} is committed within {COMMIT_TIMEOUT:?}: {cause}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        document
    }
}

fn kill(program: Program) {
    program.signal("KILL");
    program.end();
}

#[rstest]
#[case::write(1, Call::FileWrite, libc::ENOSPC)]
#[case::sync(2, Call::Sync, libc::EIO)]
#[case::rename(3, Call::Rename, libc::EIO)]
fn committed_documents_on_failing_disks_outlive_sigkill(
    #[case] host: u8,
    #[case] call: Call,
    #[case] errno: i32,
) {
    let group = Group::new(host);
    let mut programs: Vec<Program> = (0..GROUP_SIZE).map(|index| group.start(index)).collect();
    // A rename happens only when the log is rewritten.
    let plan = FaultPlan::new().errno(call, &[errno], 0.3);
    group.injector.set(&plan.torn_writes(0.1).under(&group.folder.0)).unwrap();
    let mut committed = Vec::new();
    for number in 0..4 {
        committed.push(group.commit_document(number % GROUP_SIZE, number));
        let killed = programs.remove(0);
        kill(killed);
        programs.push(group.start(number % GROUP_SIZE));
    }
    programs.into_iter().for_each(kill);
    assert!(group.injector.counters().unwrap().fired(call) > 0, "at least one fault is injected");
    let applied: Arc<Mutex<Vec<String>>> = Arc::default();
    let start = |index: usize| {
        let applied = applied.clone();
        let apply = move |text: &[u8]| applied.lock().unwrap().push(String::from_utf8_lossy(text).into());
        Instance::start(&group.raft(index), Arc::new(|_| Ok(())), apply).unwrap()
    };
    let _instances: Vec<Instance> = (0..GROUP_SIZE).map(start).collect();
    for document in committed {
        wait_for("the committed document is applied", || applied.lock().unwrap().contains(&document));
    }
}

#[test]
fn instance_with_a_recovered_disk_rejoins_the_group() {
    let group = Group::new(4);
    let mut programs: Vec<Program> = (0..GROUP_SIZE).map(|index| group.start(index)).collect();
    group.commit_document(0, 0);
    let plan = FaultPlan::new().errno(Call::Sync, &[libc::EIO], 1.0).under(group.raft(2).data);
    group.injector.set(&plan).unwrap();
    group.commit_document(0, 1);
    wait_for("a fault is injected", || group.injector.counters().unwrap().fired(Call::Sync) > 2);
    group.injector.set(&FaultPlan::new()).unwrap();
    // Without the second instance, a majority needs the third one, whose disk had failed.
    kill(programs.remove(1));
    group.commit_document(0, 2);
    programs.into_iter().for_each(kill);
}
