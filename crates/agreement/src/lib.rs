//! Decides which of the documents that a consensus group has committed an instance may act on, so that no two instances
//! ever act on documents that contradict each other.
//!
//! The group commits documents in one order. Two rules keep instances from contradicting each other:
//!
//! - **Lease.** An instance acts only while it is confirmed: within [`Timing::lease`] of the moment at which it asked the
//!   leader for the commit index, and once it has applied the log up to the index of the answer. Hence an instance that
//!   does not know of a newer document stops acting at most one lease after that document was committed.
//! - **Activation delay.** For [`Timing::activation_delay`] after it has learned of a document, an instance takes into account
//!   that others may act on the previous ones. Until then it acts only where all of these documents agree.
//!
//! The activation delay exceeds the lease by the most that two clocks can differ over it, so that the second rule ends
//! only after the first has stopped every other instance. `docs/design/agreement.md` has the argument.
//!
//! Nothing here reads a clock or does I/O: the current time is passed in, and is that of the instance's own monotonic clock.

#![warn(missing_docs)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How many documents may be taken into account at the same time. Beyond that the oldest two count as one unknown document.
const MAX_DOCUMENTS: usize = 16;

/// The times by which instances of a group keep from contradicting each other. All instances need the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long an instance may act after it has asked for the confirmation that it holds.
    pub lease: Duration,
    /// How long others may act on previous documents after an instance has learned of a new one.
    pub activation_delay: Duration,
}

/// A document that an instance of the group may be acting on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Document<D> {
    /// The configuration from before the first committed document: that of each instance itself.
    Initial,
    /// A committed document.
    Committed(D),
    /// Several committed documents whose contents were not kept.
    Unknown,
}

/// A document, and when this instance learned that it is committed.
#[derive(Clone, Debug)]
struct Known<D> {
    document: Document<D>,
    /// `None` for the initial configuration.
    learned_at: Option<Instant>,
}

/// The answer to a request for the commit index.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    requested_at: Instant,
    commit_index: u64,
}

/// Why an instance may not act on any document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// No confirmation has come within the lease: the group may have committed a document that this instance does not know.
    NoLease,
    /// The group has committed entries that this instance has not applied yet.
    Behind,
}

/// What one instance knows of the committed documents.
#[derive(Clone, Debug)]
pub struct Agreement<D> {
    timing: Timing,
    /// The documents that instances of the group may be acting on, oldest first. Never empty.
    documents: VecDeque<Known<D>>,
    /// The index of the last log entry that was applied.
    applied_index: u64,
    confirmation: Option<Confirmation>,
}

impl<D> Agreement<D> {
    /// An instance that knows of no document and has no lease.
    pub fn new(timing: Timing) -> Agreement<D> {
        let initial = Known { document: Document::Initial, learned_at: None };
        Agreement { timing, documents: VecDeque::from([initial]), applied_index: 0, confirmation: None }
    }

    /// Learns that a document is committed.
    pub fn commit(&mut self, document: D, now: Instant) {
        self.forget_superseded(now);
        if self.documents.len() == MAX_DOCUMENTS {
            self.documents.pop_front();
            if let Some(oldest) = self.documents.front_mut() {
                oldest.document = Document::Unknown;
            }
        }
        self.documents.push_back(Known { document: Document::Committed(document), learned_at: Some(now) });
    }

    /// Records that the log is applied up to and including an index.
    pub fn apply(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
    }

    /// Receives the group's commit index, which was asked for at `requested_at`. A confirmation that was asked for before
    /// the one in use changes nothing.
    pub fn confirm(&mut self, requested_at: Instant, commit_index: u64) {
        if self.confirmation.is_none_or(|current| current.requested_at < requested_at) {
            self.confirmation = Some(Confirmation { requested_at, commit_index });
        }
    }

    /// The documents that instances of the group may be acting on now, oldest first; the last one is the newest that is
    /// committed. An instance may act only in ways on which all of them agree.
    ///
    /// # Errors
    ///
    /// If this instance may not act at all.
    pub fn documents_in_force(
        &mut self,
        now: Instant,
    ) -> Result<impl ExactSizeIterator<Item = &Document<D>>, Doubt> {
        self.check_lease(now)?;
        self.forget_superseded(now);
        Ok(self.documents.iter().map(|known| &known.document))
    }

    /// The contents of the committed documents that are taken into account, to read them again.
    pub fn committed_documents(&mut self) -> impl Iterator<Item = &mut D> {
        self.documents.iter_mut().filter_map(|known| match &mut known.document {
            Document::Committed(document) => Some(document),
            Document::Initial | Document::Unknown => None,
        })
    }

    fn check_lease(&self, now: Instant) -> Result<(), Doubt> {
        let confirmation = self.confirmation.ok_or(Doubt::NoLease)?;
        if now.saturating_duration_since(confirmation.requested_at) >= self.timing.lease {
            return Err(Doubt::NoLease);
        }
        if self.applied_index < confirmation.commit_index {
            return Err(Doubt::Behind);
        }
        Ok(())
    }

    /// Forgets the documents that no instance can be acting on any more: all before one that was learned of at least the
    /// activation delay ago.
    fn forget_superseded(&mut self, now: Instant) {
        let delay = self.timing.activation_delay;
        let is_active =
            |known: &Known<D>| known.learned_at.is_none_or(|at| now.saturating_duration_since(at) >= delay);
        if let Some(newest_active) = self.documents.iter().rposition(is_active) {
            self.documents.drain(..newest_active);
        }
    }
}

#[cfg(test)]
mod tests;
