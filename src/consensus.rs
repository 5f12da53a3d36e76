//! Configuration agreed by Raft among a few instances.
//!
//! Off unless the operators' file names this instance's peers. The instances agree on a document: the routes of the DNS
//! frontend. Each instance passes a committed document to the follower that it was started with, and tells it up to when
//! the instance is known to hold all committed documents. The algorithm is the `raft`
//! crate's; its disk, connections and clock are here. All of it runs on threads of its own, because a disk may block them and
//! the gateway's worker must not be blocked.
//!
//! - `driver`: runs the algorithm; `record_log`: its log on disk;
//! - `peers`: connections to peers; `listener`: connections from peers and operators;
//! - `proposals`: documents that operators propose;
//! - `follower`: who receives documents and confirmations; `read_requests`: requests for the group's commit index;
//! - `input`: what the driver receives; `frame`: the frames of connections and of the log.

mod driver;
mod follower;
mod frame;
mod input;
mod listener;
mod peers;
mod proposals;
mod read_requests;
mod record_log;

pub use follower::Follower;
pub use frame::FrameError;
pub use input::InvalidDocument;
pub use proposals::{Check, ProposeError, propose};

use driver::DriverSetup;
use input::Input;
use listener::{ConnectionHandler, OpenConnections};
use peers::Peers;
use raft::Config;
use raft::storage::MemStorage;
use ring::rand::{SecureRandom, SystemRandom};
use sagearch_folder::Folder;
use sagearch_operators::files::PARSER_STACK_BYTES;
use sagearch_operators::fronts::Raft;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The log target of these modules, on which operators' filters rely.
const LOG_TARGET: &str = "sagearch::consensus";
/// A leader sends heartbeats after as many ticks of the driver.
const HEARTBEAT_TICKS: usize = 2;
/// A follower that has heard no leader for as many ticks starts an election.
const ELECTION_TICKS: usize = 10;
/// The most bytes of entries in a message; with all else it fits into a frame.
const MAX_ENTRIES_LENGTH: u64 = frame::MAX_CONTENT as u64 / 4;
/// How long it may take to open a connection to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// One instance of the group. It leaves when it is dropped.
pub struct Instance {
    inputs: Sender<Input>,
    listen: SocketAddr,
    stop: Arc<AtomicBool>,
    open: Arc<OpenConnections>,
    threads: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Joins the group. `follower` receives each committed document, those from before the start first. A document in which
    /// `check` finds a fault is not proposed.
    ///
    /// # Errors
    ///
    /// If the parameters are not valid, the address can't be bound, or a thread can't be started.
    pub fn start(raft: &Raft, check: Check, follower: impl Follower + 'static) -> io::Result<Instance> {
        let config = algorithm_config(raft.id)?;
        let voters: Vec<u64> = raft.peers.keys().copied().chain([raft.id]).collect();
        let listener = TcpListener::bind(raft.listen)?;
        let listen = listener.local_addr()?;
        let (inputs, queue) = channel();
        let mut threads = Vec::new();
        let peers = Peers::start(&raft.peers, &mut threads)?;
        let driver = DriverSetup {
            config,
            storage: MemStorage::new_with_conf_state((voters, Vec::new())),
            folder: Folder::new(&raft.data),
            peers,
            follower: Box::new(follower),
            incarnation: random_number()?,
        };
        threads.push(start_driver(driver, queue)?);
        let (stop, open) = (Arc::default(), Arc::default());
        let mut instance = Instance { inputs: inputs.clone(), listen, stop, open, threads };
        let peers = raft.peers.keys().copied().collect();
        instance.listen_on(listener, ConnectionHandler { own: raft.id, peers, check, inputs })?;
        Ok(instance)
    }

    /// Starts the thread that accepts connections.
    fn listen_on(&mut self, listener: TcpListener, handler: ConnectionHandler) -> io::Result<()> {
        let (stop, open, handler) = (self.stop.clone(), self.open.clone(), Arc::new(handler));
        let thread = thread::Builder::new().name("raft-listen".into());
        self.threads.push(thread.spawn(move || listener::accept(&listener, &handler, &open, &stop))?);
        Ok(())
    }

    /// The address that it listens on.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.inputs.send(Input::Stop);
        // Wakes the listener, which then sees the flag and closes its socket.
        let _ = TcpStream::connect_timeout(&self.listen, CONNECT_TIMEOUT);
        self.open.close_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// The parameters of the algorithm.
fn algorithm_config(id: u64) -> io::Result<Config> {
    let config = Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        max_size_per_msg: MAX_ENTRIES_LENGTH,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    config.validate().map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    Ok(config)
}

/// Starts the driver's thread. If the driver fails, the follower receives nothing further, so that its lease ends.
fn start_driver(driver: DriverSetup, inputs: Receiver<Input>) -> io::Result<JoinHandle<()>> {
    let thread = thread::Builder::new().name("raft".into()).stack_size(PARSER_STACK_BYTES);
    thread.spawn(move || {
        if let Err(error) = driver.run(&inputs) {
            log::error!(target: LOG_TARGET, "agreed configuration has stopped: {error}");
        }
    })
}

/// Random, as a clock that was stepped back could show the same time again.
fn random_number() -> io::Result<u64> {
    let mut bytes = [0; 8];
    let filled = SystemRandom::new().fill(&mut bytes);
    filled.map_err(|_| io::Error::other("the system has no random numbers"))?;
    Ok(u64::from_be_bytes(bytes))
}

#[cfg(test)]
mod tests;
