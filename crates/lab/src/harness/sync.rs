//! Locks that outlive a panic of one of their holders.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also where a task has panicked while it held the lock: a run is judged by its trace, whatever became of a task.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
