//! The memory that all clients together may fill with bodies, and with requests that come behind one in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A budget of bytes, of which connections take shares.
#[derive(Debug)]
pub(in crate::net) struct BufferBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BufferBudget {
    pub(in crate::net) fn new(max_bytes: usize) -> Arc<BufferBudget> {
        Arc::new(BufferBudget { max_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// A share without bytes.
    pub(in crate::net) fn share(self: &Arc<BufferBudget>) -> BufferShare {
        BufferShare { budget: self.clone(), bytes: 0 }
    }

    fn take(&self, bytes: usize) -> bool {
        let taken = |used: usize| used.checked_add(bytes).filter(|used| *used <= self.max_bytes);
        self.used_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, taken).is_ok()
    }
}

/// The bytes of a budget that one connection uses. Dropped, they are free again.
#[derive(Debug)]
pub(in crate::net) struct BufferShare {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl BufferShare {
    /// How many bytes it has.
    pub(in crate::net) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of its bytes. `false`: the budget does not allow that many, and nothing has changed.
    pub(in crate::net) fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes && !self.budget.take(bytes - self.bytes) {
            return false;
        }
        if bytes < self.bytes {
            self.budget.used_bytes.fetch_sub(self.bytes - bytes, Ordering::SeqCst);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
