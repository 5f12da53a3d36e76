//! Networking of the gateway. Coroutines run on one worker thread, and on the timer thread after a sleep: they must not
//! block either thread, and no lock is held across I/O.

pub mod clock;
pub mod cluster;
pub mod configuration;
pub mod core;
mod descriptors;
pub mod discovery;
pub mod frontend;
pub mod io_error;
pub mod lifecycle;
pub mod mailbox;
pub mod service;
pub mod snapshot;
pub mod upstream;

use io_error::out_of_descriptors;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned: a panic of one coroutine must not end all other requests.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The stack size of a coroutine in machine words: 128 KB, of which only the pages that are used take memory. A stack
/// overflow ends the process.
const STACK_WORDS: usize = 16 * 1024;
/// The stack size, in machine words, of a coroutine that verifies certificate chains or decodes nested JSON.
const LARGE_STACK_WORDS: usize = 64 * 1024;

/// Configures the coroutine scheduler with one worker thread, as a gateway has one core. Must be called before the first
/// coroutine is started.
pub fn set_up() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS);
    // Several gateways may share a machine: their worker threads must not all be pinned to its first core.
    may::config().set_worker_pin(false);
}

/// Starts a coroutine with a larger stack than the usual one.
fn spawn_with_large_stack(work: impl FnOnce() + Send + 'static) {
    let builder = may::coroutine::Builder::new().stack_size(LARGE_STACK_WORDS);
    // SAFETY: as with `spawn`, the work uses no thread-local state across suspension points, and the stack size is set
    // explicitly.
    if let Err(e) = unsafe { builder.spawn(work) } {
        log::warn!("failed to start a coroutine with a large stack: {e}");
    }
}

/// Starts a coroutine. A panic ends only that coroutine.
fn spawn(work: impl FnOnce() + Send + 'static) {
    drop(may::go!(work));
}

/// One of a limited number of permits. It is released when it is dropped, including during a panic.
pub struct Permit(Arc<AtomicUsize>);

impl Permit {
    /// Acquires a permit; `None` if `limit` permits are held already.
    fn take(held: &Arc<AtomicUsize>, limit: usize) -> Option<Permit> {
        let taken =
            held.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |now| (now < limit).then_some(now + 1));
        taken.ok().map(|_| Permit(held.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// During an upgrade each of the two processes keeps at least this fraction (1/N) of a shared budget.
const MIN_BUDGET_DIVISOR: usize = 4;

/// The remaining part of a budget that two processes of a gateway share while the other process uses
/// `used_by_other_process`. A minimum always remains: the old process only releases what it holds.
fn remaining_budget(budget: usize, used_by_other_process: usize) -> usize {
    budget.saturating_sub(used_by_other_process).max(budget / MIN_BUDGET_DIVISOR)
}

/// Runs a function when it is dropped, including during a panic.
struct Defer<F: FnMut()>(F);

impl<F: FnMut()> Drop for Defer<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}
