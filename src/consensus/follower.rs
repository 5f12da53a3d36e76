//! The receiver of what a group commits.

use std::time::Instant;

/// Receives committed documents and confirmations, on the thread of the group's algorithm: it must not block.
pub trait Follower: Send {
    /// A document is committed. Documents come in the order of the log, those from before the start first.
    fn committed(&mut self, document: &[u8]);

    /// All entries of the log up to this index have been applied; the documents among them were passed to
    /// [`Follower::committed`].
    fn applied(&mut self, _index: u64) {}

    /// At `requested_at` no entry after this index was committed.
    fn confirmed(&mut self, _requested_at: Instant, _commit_index: u64) {}

    /// Some time has passed.
    fn tick(&mut self) {}
}

impl<F: FnMut(&[u8]) + Send> Follower for F {
    fn committed(&mut self, document: &[u8]) {
        self(document);
    }
}
