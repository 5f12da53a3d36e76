//! Access to what threads share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also after another thread has panicked with the lock: what is locked here is valid after each statement.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
