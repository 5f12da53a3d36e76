//! Verifies client certificate chains and caches the verified ones.

use crate::Millis;
use crate::caller::Reason;
use crate::certificate::{Presented, Trust, VerifiedChain};
use lru::LruCache;
use std::collections::BTreeSet;
use std::num::NonZeroUsize;

/// Verifies certificate chains with the current roots and revocation lists, and caches the verified ones.
pub(super) struct ChainVerifier {
    trust: Option<Trust>,
    /// The number of changes of `trust`.
    trust_generation: u64,
    verified: LruCache<[u8; 32], VerifiedChain>,
}

impl ChainVerifier {
    /// Creates a verifier that caches at most `capacity` chains. No chain is accepted before a [`Trust`] is set.
    pub(super) fn new(capacity: NonZeroUsize) -> ChainVerifier {
        let verified = LruCache::new(capacity);
        ChainVerifier { trust: None, trust_generation: 0, verified }
    }

    /// Changes the capacity of the cache; the least recently used chains above it are evicted.
    pub(super) fn resize(&mut self, capacity: NonZeroUsize) {
        self.verified.resize(capacity);
    }

    /// The number of cached chains.
    pub(super) fn cached(&self) -> usize {
        self.verified.len()
    }

    /// Replaces the roots and revocation lists, which invalidates all cached chains.
    pub(super) fn set_trust(&mut self, trust: Option<Trust>) {
        self.trust = trust;
        self.trust_generation += 1;
    }

    /// Checks that a chain is valid now and that the operators have not revoked its serial number.
    pub(super) fn check(
        &mut self,
        presented: &Presented,
        revoked_serials: &BTreeSet<String>,
        now: Millis,
    ) -> Result<(), Reason> {
        let trust = self.trust.as_ref().ok_or(Reason::CertificateUntrusted)?;
        if now >= presented.not_after {
            return Err(Reason::CertificateExpired);
        }
        if revoked_serials.contains(&presented.serial) {
            return Err(Reason::CertificateRevoked);
        }
        let verified = self.verified.get(&presented.digest);
        if verified.is_some_and(|chain| chain.is_valid(self.trust_generation, now)) {
            return Ok(());
        }
        self.verified.pop(&presented.digest);
        trust.verify(presented, now)?;
        self.verified.put(presented.digest, VerifiedChain::new(presented, self.trust_generation, now));
        Ok(())
    }
}
