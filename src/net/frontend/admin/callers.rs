//! The connections of operators, and their timeouts.

use crate::net::lock;
use may::net::TcpStream;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How many callers may be connected at a time.
const MAX_CALLERS: usize = 16;
/// A call must be complete this long after its connection was accepted.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The answer must be read this long after the call was complete.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often [`CallerTable::sweep`] is to be called.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The connection of one caller.
struct Caller {
    stream: Arc<TcpStream>,
    /// When it was accepted, or its call was complete.
    since: Instant,
    /// Its call is complete: the connection is not ended for another one.
    is_complete: bool,
}

/// The connections of all callers, by numbers in the order in which they were accepted.
#[derive(Default)]
pub(super) struct CallerTable {
    callers: Mutex<BTreeMap<u64, Caller>>,
}

impl CallerTable {
    pub(super) fn insert(&self, number: u64, stream: Arc<TcpStream>) {
        let caller = Caller { stream, since: Instant::now(), is_complete: false };
        lock(&self.callers).insert(number, caller);
    }

    pub(super) fn remove(&self, number: u64) {
        lock(&self.callers).remove(&number);
    }

    /// Notes that a call is complete: from now on the timeout of its answer counts.
    pub(super) fn note_complete(&self, number: u64) {
        if let Some(caller) = lock(&self.callers).get_mut(&number) {
            (caller.is_complete, caller.since) = (true, Instant::now());
        }
    }

    pub(super) fn is_over_limit(&self) -> bool {
        lock(&self.callers).len() > MAX_CALLERS
    }

    /// Ends connections that have timed out and, where the limit is reached, the one that has waited longest for its
    /// call.
    pub(super) fn sweep(&self) {
        let callers = lock(&self.callers);
        let is_full = callers.len() >= MAX_CALLERS;
        let incomplete = callers.values().filter(|caller| !caller.is_complete && is_full);
        let longest_waiting = incomplete.map(|caller| caller.since).min();
        for caller in callers.values() {
            let timeout = if caller.is_complete { ANSWER_TIMEOUT } else { CALL_TIMEOUT };
            let timed_out = caller.since.elapsed() > timeout;
            if caller.is_complete && timed_out {
                let _ = caller.stream.shutdown(Shutdown::Both);
            } else if timed_out || Some(caller.since) == longest_waiting {
                // Its coroutine still reads what has come, and answers 408 to an incomplete call.
                let _ = caller.stream.shutdown(Shutdown::Read);
            }
        }
    }
}
