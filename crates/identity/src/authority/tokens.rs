//! Verifies tokens and caches those whose signatures have been verified.

use super::key_sets::{KeySets, VerifyingKey};
use super::policy::Policy;
use crate::caller::{Caller, Reason};
use crate::jwks::Algorithm;
use crate::token::{Claims, MAX_TOKEN_BYTES, SignedToken, Validity};
use crate::{Millis, Now};
use lru::LruCache;
use ring::digest;
use std::num::NonZeroUsize;
use std::sync::Arc;

/// The SHA-256 digest of a token's text.
type TokenDigest = [u8; 32];

/// A token whose signature has been verified, with the verifying key and the signed payload. Whether the key, the
/// claims and the tenant are still valid is checked at each request.
struct VerifiedToken {
    key: VerifyingKey,
    algorithm: Algorithm,
    issuer: Arc<str>,
    payload: Box<[u8]>,
    validity: Validity,
    /// The version of the policy that `caller` was looked up in.
    version: u64,
    caller: Arc<Caller>,
}

/// A policy with its version, which shows whether a cached caller is of an earlier policy.
#[derive(Clone, Copy)]
pub(super) struct VersionedPolicy<'a> {
    pub(super) policy: &'a Policy,
    pub(super) version: u64,
}

/// Verifies tokens and caches the verified ones.
pub(super) struct TokenVerifier {
    verified: LruCache<TokenDigest, VerifiedToken>,
}

impl TokenVerifier {
    /// Creates a verifier that caches at most `capacity` tokens.
    pub(super) fn new(capacity: NonZeroUsize) -> TokenVerifier {
        TokenVerifier { verified: LruCache::new(capacity) }
    }

    /// Changes the capacity of the cache; the least recently used tokens above it are evicted.
    pub(super) fn resize(&mut self, capacity: NonZeroUsize) {
        self.verified.resize(capacity);
    }

    /// The number of cached tokens.
    pub(super) fn cached(&self) -> usize {
        self.verified.len()
    }

    /// Returns the caller that a token maps to. `now` holds the step-tolerant time and the monotonic clock's.
    pub(super) fn identify(
        &mut self,
        token: &str,
        policy: VersionedPolicy,
        key_sets: &mut KeySets,
        now: Now,
    ) -> Result<Arc<Caller>, Reason> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(Reason::TooLarge);
        }
        let digest = digest::digest(&digest::SHA256, token.as_bytes());
        let digest: TokenDigest = digest.as_ref().try_into().map_err(|_| Reason::Malformed)?;
        if let Some(verified) = self.verified.get_mut(&digest) {
            let caller = verified.identify_again(policy, key_sets, now.unix);
            if caller.is_err() {
                self.verified.pop(&digest);
            }
            return caller;
        }
        let verified = VerifiedToken::verify(token, policy, key_sets, now)?;
        let caller = verified.caller.clone();
        self.verified.put(digest, verified);
        Ok(caller)
    }
}

impl VerifiedToken {
    /// Parses a token, verifies its signature and checks its claims.
    fn verify(
        token: &str,
        policy: VersionedPolicy,
        key_sets: &mut KeySets,
        now: Now,
    ) -> Result<VerifiedToken, Reason> {
        let VerifiedSignature { signed, claims, key } =
            verify_signature(token, policy.policy, key_sets, now)?;
        let caller = policy.policy.token_caller(&claims, signed.algorithm, now.unix)?;
        Ok(VerifiedToken {
            key,
            algorithm: signed.algorithm,
            issuer: claims.iss.as_str().into(),
            payload: signed.payload().into(),
            validity: claims.validity,
            version: policy.version,
            caller,
        })
    }

    /// Returns the caller if the key and the claims are still valid.
    fn identify_again(
        &mut self,
        policy: VersionedPolicy,
        key_sets: &KeySets,
        now: Millis,
    ) -> Result<Arc<Caller>, Reason> {
        let VersionedPolicy { policy, version } = policy;
        let issuer = policy.issuer(&self.issuer).ok_or(Reason::IssuerUnknown)?;
        key_sets.check_key(issuer, &self.key, now)?;
        self.validity.check(now, policy.settings.leeway)?;
        if self.version != version {
            // The signature stays valid, but the new policy may map the claims to another caller.
            self.caller = policy.token_caller(&Claims::parse(&self.payload)?, self.algorithm, now)?;
            self.version = version;
        }
        Ok(self.caller.clone())
    }
}

/// A token with a verified signature, and the key that verified it.
pub(super) struct VerifiedSignature<'a> {
    pub(super) signed: SignedToken<'a>,
    pub(super) claims: Claims,
    pub(super) key: VerifyingKey,
}

/// Parses a token and verifies its signature by a key that is accepted now. The claims are not checked yet.
pub(super) fn verify_signature<'a>(
    token: &'a str,
    policy: &Policy,
    key_sets: &mut KeySets,
    now: Now,
) -> Result<VerifiedSignature<'a>, Reason> {
    let signed = SignedToken::parse(token)?;
    let claims = signed.claims()?;
    let issuer = policy.issuer(&claims.iss).ok_or(Reason::IssuerUnknown)?;
    if !issuer.algorithms.contains(&signed.algorithm) {
        return Err(Reason::Algorithm);
    }
    let key = key_sets.verify(issuer, &signed, now)?;
    Ok(VerifiedSignature { signed, claims, key })
}
