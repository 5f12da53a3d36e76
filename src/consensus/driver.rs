//! The driver: the thread that runs the Raft algorithm with its clock, its log and its inputs.

use super::LOG_TARGET;
use super::follower::Follower;
use super::input::{Input, Proposal, ProposalError, ProposalResult};
use super::peers::Peers;
use super::read_requests::ReadRequests;
use super::record_log::{LogError, RecordLog};
use raft::eraftpb::{Entry, EntryType, HardState};
use raft::storage::MemStorage;
use raft::{Config, RawNode, ReadState};
use sagearch_folder::{Backoff, Folder};
use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The unit of the algorithm's time.
const TICK: Duration = Duration::from_millis(50);
/// How long a proposal may take to be committed.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// The first and the longest pause between two attempts to read or write the log.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Why the driver can't go on.
#[derive(Debug, Error)]
pub enum DriverError {
    /// The log holds what this program can't read, or can't be written for another cause than the disk.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The algorithm has refused its state or its log.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Whether the instance goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

/// What a driver is made of.
pub struct DriverSetup {
    /// The parameters of the algorithm.
    pub config: Config,
    /// The log in memory, with the voters and without entries.
    pub storage: MemStorage,
    /// The folder of the log on disk.
    pub folder: Folder,
    /// The queues of the peers.
    pub peers: Peers,
    /// Receives committed documents and confirmations.
    pub follower: Box<dyn Follower>,
    /// Distinguishes the proposals and requests of this process from those of earlier ones, which may still be answered.
    pub incarnation: u64,
}

impl DriverSetup {
    /// Reads the log, and runs the algorithm until it is to stop.
    ///
    /// # Errors
    ///
    /// If the log can't be used. A disk that fails is no error: the driver tries again until it works.
    pub fn run(self, inputs: &Receiver<Input>) -> Result<(), DriverError> {
        let DriverSetup { config, storage, folder, peers, follower, incarnation } = self;
        let Some(log) = open_log(&folder, &storage, inputs)? else { return Ok(()) };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, storage, &logger)?;
        let waiting = HashMap::new();
        let reads = ReadRequests::new(config.id, incarnation);
        Driver { node, log, peers, follower, waiting, proposed: 0, incarnation, reads }.run(inputs)
    }
}

/// A proposal that is not committed yet.
struct WaitingProposal {
    reply: Sender<ProposalResult>,
    deadline: Instant,
}

struct Driver {
    node: RawNode<MemStorage>,
    log: RecordLog,
    peers: Peers,
    follower: Box<dyn Follower>,
    /// Proposals made here, by the context of their entries.
    waiting: HashMap<Vec<u8>, WaitingProposal>,
    /// How many proposals were made here.
    proposed: u64,
    incarnation: u64,
    /// Requests for the group's commit index.
    reads: ReadRequests,
}

impl Driver {
    fn run(&mut self, inputs: &Receiver<Input>) -> Result<(), DriverError> {
        let mut next_tick = Instant::now() + TICK;
        loop {
            match inputs.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                // An outdated message, or one of an unknown peer, is dropped as if it had been lost.
                Ok(Input::Message(message)) => drop(self.node.step(message)),
                Ok(Input::Propose(proposal)) => self.propose(proposal),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.node.tick();
                self.expire_proposals();
                self.request_commit_index();
                self.follower.tick();
            }
            if self.on_ready(inputs)? == Flow::Stop {
                return Ok(());
            }
        }
    }

    fn propose(&mut self, Proposal { document, reply }: Proposal) {
        self.proposed += 1;
        let numbers = [self.node.raft.id, self.incarnation, self.proposed];
        let context: Vec<u8> = numbers.iter().flat_map(|number| number.to_be_bytes()).collect();
        match self.node.propose(context.clone(), document) {
            Ok(()) => {
                let deadline = Instant::now() + PROPOSAL_TIMEOUT;
                self.waiting.insert(context, WaitingProposal { reply, deadline });
            }
            Err(error) => drop(reply.send(Err(error.into()))),
        }
    }

    /// Asks the leader for the group's commit index, if it is time to. Without a leader the request is dropped.
    fn request_commit_index(&mut self) {
        if let Some(context) = self.reads.next(Instant::now()) {
            self.node.read_index(context);
        }
    }

    fn confirm(&mut self, states: Vec<ReadState>) {
        for state in states {
            if let Some(requested_at) = self.reads.answered(&state.request_ctx) {
                self.follower.confirmed(requested_at, state.index);
            }
        }
    }

    fn expire_proposals(&mut self) {
        let now = Instant::now();
        for (_, expired) in self.waiting.extract_if(|_, proposal| now >= proposal.deadline) {
            let _ = expired.reply.send(Err(ProposalError::TimedOut));
        }
    }

    fn commit(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            // Entries without data are of new leaders.
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty() {
                self.follower.committed(&entry.data);
                if let Some(proposal) = self.waiting.remove(&entry.context[..]) {
                    let _ = proposal.reply.send(Ok(()));
                }
            }
            self.follower.applied(entry.index);
        }
    }

    /// Stores records, and retries for as long as the disk fails: records that are not stored are not acknowledged. Until
    /// then the instance takes no part.
    fn store(
        &mut self,
        inputs: &Receiver<Input>,
        entries: &[Entry],
        state: Option<&HardState>,
    ) -> Result<Flow, LogError> {
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        loop {
            match self.log.store(entries, state) {
                Err(LogError::Storage(error)) => {
                    log::error!(
                        target: LOG_TARGET,
                        "agreed configuration: {error}; takes no part until it is stored"
                    );
                }
                stored => return stored.map(|()| Flow::Continue),
            }
            if refuse_for(inputs, backoff.pause()) == Flow::Stop {
                return Ok(Flow::Stop);
            }
        }
    }

    /// Does what the algorithm asks for, in the order that it needs: a message that acknowledges a record is sent after the
    /// record is on disk.
    fn on_ready(&mut self, inputs: &Receiver<Input>) -> Result<Flow, DriverError> {
        if !self.node.has_ready() {
            return Ok(Flow::Continue);
        }
        let mut ready = self.node.ready();
        self.peers.send(ready.take_messages());
        self.confirm(ready.take_read_states());
        self.commit(ready.take_committed_entries());
        if self.store(inputs, ready.entries(), ready.hs())? == Flow::Stop {
            return Ok(Flow::Stop);
        }
        let storage = self.node.raft.raft_log.store.clone();
        storage.wl().append(ready.entries())?;
        if let Some(state) = ready.hs() {
            storage.wl().set_hardstate(state.clone());
        }
        self.peers.send(ready.take_persisted_messages());
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            storage.wl().mut_hard_state().set_commit(commit);
        }
        self.peers.send(light.take_messages());
        self.commit(light.take_committed_entries());
        self.node.advance_apply();
        Ok(Flow::Continue)
    }
}

/// Takes no part for a while: messages are dropped, which Raft allows for, and proposals are refused.
fn refuse_for(inputs: &Receiver<Input>, pause: Duration) -> Flow {
    let end = Instant::now() + pause;
    loop {
        match inputs.recv_timeout(end.saturating_duration_since(Instant::now())) {
            Ok(Input::Message(_)) => {}
            Ok(Input::Propose(proposal)) => drop(proposal.reply.send(Err(ProposalError::StorageFails))),
            Err(RecvTimeoutError::Timeout) => return Flow::Continue,
            Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return Flow::Stop,
        }
    }
}

/// Opens the log, and retries for as long as the disk fails. `None`: the instance is to stop.
///
/// # Errors
///
/// If the log can't be used for another cause.
pub fn open_log(
    folder: &Folder,
    storage: &MemStorage,
    inputs: &Receiver<Input>,
) -> Result<Option<RecordLog>, LogError> {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        match RecordLog::open(folder, storage) {
            Err(LogError::Storage(error)) => {
                log::error!(
                    target: LOG_TARGET,
                    "agreed configuration: {error}; takes no part until the log can be read"
                );
            }
            opened => return opened.map(Some),
        }
        if refuse_for(inputs, backoff.pause()) == Flow::Stop {
            return Ok(None);
        }
    }
}
