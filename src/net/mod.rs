//! The gateway's sockets, a module a concern. Each runs as may coroutines on one worker: none may block
//! its thread, and no lock is held across I/O.

pub mod bus;
pub mod clock;
pub mod dns;
pub mod gateway;
pub mod http;
pub mod signal;
pub mod store;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks for a short stretch without I/O. A panic elsewhere must not spread to all other requests.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Words of stack of a coroutine: 128 KB, of which only what is used is held. An overflow is a crash.
const STACK_WORDS: usize = 16 * 1024;

/// Sets the scheduler up, before the first coroutine: one worker, as a gateway has one core.
pub fn set_up() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS);
    // Several gateways may share a machine: none ties itself to its first core.
    may::config().set_worker_pin(false);
}

/// Starts a coroutine. Its panic ends it alone.
fn spawn(work: impl FnOnce() + Send + 'static) {
    drop(may::go!(work));
}
