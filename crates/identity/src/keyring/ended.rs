//! The record of keys that are never accepted again.

use crate::jwks::Thumbprint;
use std::collections::{HashMap, VecDeque};

/// The maximum number of ended keys that are recorded for one issuer. The oldest retired key is evicted first; revoked
/// keys are evicted only if there are no retired ones.
pub const MAX_ENDED_KEYS: usize = 4_096;

/// Why a key is never accepted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyEnd {
    Retired,
    Revoked,
}

/// The ended keys of one issuer.
#[derive(Debug, Default)]
pub(super) struct EndedKeys {
    ends: HashMap<Thumbprint, KeyEnd>,
    /// The recorded keys, oldest first.
    order: VecDeque<Thumbprint>,
}

impl EndedKeys {
    /// Returns how a key has ended; `None` if no end is recorded.
    pub(super) fn get(&self, thumbprint: &Thumbprint) -> Option<KeyEnd> {
        self.ends.get(thumbprint).copied()
    }

    /// Records the end of a key. A revoked key stays revoked.
    pub(super) fn insert(&mut self, thumbprint: Thumbprint, end: KeyEnd) {
        let known = self.get(&thumbprint);
        let end = if known == Some(KeyEnd::Revoked) { KeyEnd::Revoked } else { end };
        self.ends.insert(thumbprint, end);
        if known.is_none() {
            self.order.push_back(thumbprint);
        }
        if self.order.len() > MAX_ENDED_KEYS {
            self.evict_one();
        }
    }

    fn evict_one(&mut self) {
        let retired = |thumbprint: &Thumbprint| self.get(thumbprint) == Some(KeyEnd::Retired);
        let index = self.order.iter().position(retired).unwrap_or(0);
        if let Some(thumbprint) = self.order.remove(index) {
            self.ends.remove(&thumbprint);
        }
    }

    /// All ended keys, oldest record first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Thumbprint, KeyEnd)> {
        self.order.iter().filter_map(|thumbprint| Some((*thumbprint, self.get(thumbprint)?)))
    }
}
