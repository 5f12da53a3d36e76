//! The threads: a reader that receives datagrams, and a pool that processes them. The pool's first worker also runs the
//! periodic tasks.

use super::channels::{ReceivedDatagram, Task, WorkerGrantRequest};
use super::coordination::Coordination;
use super::{ClusterNode, LOG_TARGET, lock, wire};
use crate::net::Permit;
use crossbeam_channel::{Receiver, RecvTimeoutError, TrySendError};
use sagearch_homes::Micros;
use sagearch_homes::placement::mix;
use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The stack size of each thread, in bytes.
const STACK_SIZE_BYTES: usize = 256 * 1024;
/// The maximum time for which a worker sleeps.
const MAX_SLEEP: Duration = Duration::from_mins(1);
/// The minimum time from now to the next deadline, in microseconds. It batches deadlines that are close together, and keeps
/// the first worker from spinning.
const MIN_SLEEP: Micros = 1_000;
/// The pause after a failed read from the socket.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The step of the counter from which [`ClusterNode::jitter`] derives its numbers: 2^64 divided by the golden ratio, which is
/// odd.
const JITTER_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Starts the reader and the pool. Once all threads have ended, the socket's address can be bound again, because each thread
/// returns its permit last.
///
/// # Errors
///
/// If the system can't start a thread.
pub fn spawn(node: &Arc<ClusterNode>, socket: Arc<UdpSocket>, task_queue: &Receiver<Task>) -> io::Result<()> {
    let thread = |name: String| std::thread::Builder::new().name(name).stack_size(STACK_SIZE_BYTES);
    let permit = || Permit::take(&node.running_threads, usize::MAX);
    let (reader, running) = (node.clone(), permit());
    thread("shared-reader".into()).spawn(move || {
        let (_running, reader, socket) = (running, reader, socket);
        reader.read_datagrams(&socket);
    })?;
    for worker in 0..node.worker_count {
        let (node, task_queue, running) = (node.clone(), task_queue.clone(), permit());
        thread(format!("shared-{worker}")).spawn(move || {
            let (_running, node) = (running, node);
            node.run_worker(&task_queue, worker == 0);
        })?;
    }
    Ok(())
}

impl ClusterNode {
    fn read_datagrams(&self, socket: &UdpSocket) {
        let mut bytes = [0; wire::MAX_DATAGRAM_BYTES + 1];
        while !self.stopping.load(Ordering::SeqCst) {
            match socket.recv_from(&mut bytes) {
                Ok((length, from)) => {
                    self.counters.bytes("heard", length);
                    let datagram = ReceivedDatagram { from, bytes: bytes[..length].to_vec() };
                    if self.tasks.try_send(Task::Datagram(datagram)).is_err() {
                        self.counters.lost("no_worker");
                    }
                }
                // An earlier datagram was sent to a closed port, which makes this call fail; the socket still works.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    log::warn!(target: LOG_TARGET, "failed to receive a datagram: {error}");
                    std::thread::sleep(READ_RETRY_PAUSE);
                }
            }
        }
    }

    /// Runs the loop of one worker. The first worker also runs the periodic tasks.
    fn run_worker(&self, task_queue: &Receiver<Task>, is_first: bool) {
        while !self.stopping.load(Ordering::SeqCst) {
            let sleep = if is_first { self.time_to_deadline() } else { MAX_SLEEP };
            match task_queue.recv_timeout(sleep) {
                Ok(task) => self.process_task(task, is_first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if is_first && self.clock.now() >= self.deadline.load(Ordering::SeqCst) {
                self.tick();
            }
        }
    }

    /// Whether all threads have ended.
    pub fn ended(&self) -> bool {
        self.running_threads.load(Ordering::SeqCst) == 0
    }

    /// Asks the threads to end. Leases expire unless they were released before (see [`ClusterNode::request_leave`]).
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for _ in 0..self.worker_count {
            // If the queue is full, no worker is asleep.
            let _: Result<(), TrySendError<Task>> = self.tasks.try_send(Task::Wake);
        }
        // The reader blocks in a read until a datagram arrives.
        if let Err(error) = self.outbox.wake_reader() {
            log::warn!(
                target: LOG_TARGET,
                "failed to wake the datagram reader, which ends after the next datagram: {error}"
            );
        }
    }

    fn time_to_deadline(&self) -> Duration {
        let deadline = self.deadline.load(Ordering::SeqCst);
        Duration::from_micros(deadline.saturating_sub(self.clock.now())).min(MAX_SLEEP)
    }

    fn process_task(&self, task: Task, is_first: bool) {
        match task {
            Task::Datagram(datagram) => self.receive_datagram(&datagram),
            Task::RequestGrant(WorkerGrantRequest { budget, request }) => self.request_grant(budget, request),
            Task::Wake => {}
            Task::Leave => self.leave(),
        }
        let next = self.next_deadline(&lock(&self.coordination));
        if self.deadline.fetch_min(next, Ordering::SeqCst) > next && !is_first {
            // If the queue is full, the first worker is awake and checks the deadline after each task.
            let _: Result<(), TrySendError<Task>> = self.tasks.try_send(Task::Wake);
        }
    }

    /// Returns when the periodic tasks are next due, in microseconds of the gateway's clock.
    pub(super) fn next_deadline(&self, coordination: &Coordination) -> Micros {
        let now = self.clock.now();
        let latest = now + MAX_SLEEP.as_micros() as Micros;
        coordination.next_deadline(now).unwrap_or(latest).max(now + MIN_SLEEP)
    }

    /// Returns a pseudo-random number from 0 to 1, which spreads the members' renewals over time.
    pub(super) fn jitter(&self) -> f64 {
        let number = self.jitter_counter.fetch_add(JITTER_STEP, Ordering::Relaxed);
        crate::hash::unit_interval(mix(number))
    }
}
