//! The life cycle of an issuer's keys: announced, active, retiring, retired, or revoked.
//!
//! | state | begins when | tokens signed by the key |
//! | --- | --- | --- |
//! | announced | it is published with a start (`nbf`) in the future | refused: the key can't have signed yet |
//! | active | its start is reached | accepted |
//! | retiring | its end is stated, or it is no longer published | accepted until a known time |
//! | retired | that time is reached | refused permanently |
//! | revoked | the issuer or the operators revoke it | refused permanently |
//!
//! Once recorded, retirement and revocation do not depend on any clock: neither a clock that steps back nor an issuer
//! that publishes the key again makes the key accepted. There is no leeway for keys, because the issuer knows when its
//! key ends.

mod ended;
mod state;

pub use ended::MAX_ENDED_KEYS;
pub use state::{KeyInfo, KeyState};

use crate::Millis;
use crate::caller::Reason;
use crate::hex;
use crate::jwks::{KeySet, PublicKey, Thumbprint};
use crate::settings::{Issuer, Source};
use crate::token::SignedToken;
use ended::{EndedKeys, KeyEnd};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use thiserror::Error;

/// The maximum number of keys that a keyring holds, including retiring ones.
pub const MAX_HELD_KEYS: usize = 512;

/// A key that is published, or still accepted.
#[derive(Clone, Debug)]
struct HeldKey {
    key: PublicKey,
    /// The time at which the key was first seen in a key set, in milliseconds since the Unix epoch.
    seen: Millis,
    /// The start of the active state; `None` if the key is active since it was published.
    active_from: Option<Millis>,
    /// The end of acceptance; `None` if no end is known.
    accepted_until: Option<Millis>,
    /// Whether the last installed set contains the key.
    published: bool,
}

impl HeldKey {
    /// The key's state by its times alone, without recorded ends.
    fn state(&self, now: Millis) -> KeyState {
        match (self.active_from, self.accepted_until) {
            (_, Some(until)) if now >= until => KeyState::Retired,
            (Some(from), _) if now < from => KeyState::Announced,
            (_, Some(_)) => KeyState::Retiring,
            _ => KeyState::Active,
        }
    }

    fn is_in(&self, set: &KeySet) -> bool {
        set.keys.iter().any(|published| published.key.thumbprint == self.key.thumbprint)
    }

    /// Retires the key at `until`, unless it already retires earlier.
    fn retire_at(&mut self, until: Millis) {
        self.accepted_until = Some(self.accepted_until.map_or(until, |stated| stated.min(until)));
    }
}

/// The state of an issuer's keys for the process that takes over: the ended keys, each with whether it was revoked, and
/// the retiring keys, each with the end of its acceptance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyringHandover {
    ended: Vec<(Thumbprint, bool)>,
    retiring: Vec<(Thumbprint, Millis)>,
}

/// The error that a keyring would hold more than [`MAX_HELD_KEYS`] keys.
#[derive(Debug, Error)]
#[error("{published} keys and {retiring} that retire are over {MAX_HELD_KEYS}")]
pub struct KeyringFull {
    /// The number of keys in the set that the issuer publishes.
    pub published: usize,
    /// The number of held keys that the set does not contain.
    pub retiring: usize,
}

/// The keys of one issuer, with the record of its ended keys.
#[derive(Debug, Default)]
pub struct Keyring {
    /// The held keys by `kid`, in the order in which they were published.
    held: HashMap<String, Vec<HeldKey>>,
    ended: EndedKeys,
    /// The retirement times that the previous process has handed over, also for keys that are not held yet.
    inherited_retirements: HashMap<Thumbprint, Millis>,
    /// The time at which the last set was installed, in milliseconds since the Unix epoch.
    last_installed: Option<Millis>,
}

impl Keyring {
    /// Installs the set that the issuer publishes at the time `now`. Held keys that are not in it become retiring.
    ///
    /// # Errors
    ///
    /// The keyring would hold more than [`MAX_HELD_KEYS`] keys. The set is not installed then.
    pub fn install(&mut self, set: &KeySet, issuer: &Issuer, now: Millis) -> Result<(), KeyringFull> {
        self.apply_ends(now);
        self.check_capacity(set)?;
        for held in self.held.values_mut().flatten().filter(|held| !held.is_in(set)) {
            // Done once per removal: the time until retirement starts with the first set that lacks the key.
            if std::mem::take(&mut held.published) {
                held.retire_at(now + issuer.retiring);
            }
        }
        for published in &set.keys {
            if published.revoked {
                self.ended.insert(published.key.thumbprint, KeyEnd::Revoked);
            }
            let same_kid = self.held.entry(published.key.kid.clone()).or_default();
            let known = same_kid.iter().position(|held| held.key.thumbprint == published.key.thumbprint);
            let seen = known.map_or(now, |index| same_kid.remove(index).seen);
            let (key, active_from, accepted_until) = (published.key.clone(), published.nbf, published.exp);
            same_kid.push(HeldKey { key, seen, active_from, accepted_until, published: true });
        }
        self.last_installed = Some(now);
        self.apply_key_terms(issuer);
        self.apply_ends(now);
        Ok(())
    }

    /// Checks that a set, together with the held keys that it does not contain, is within [`MAX_HELD_KEYS`].
    ///
    /// # Errors
    ///
    /// The keyring would hold more keys.
    pub fn check_capacity(&self, set: &KeySet) -> Result<(), KeyringFull> {
        let retiring = self.held.values().flatten().filter(|held| !held.is_in(set)).count();
        let published = set.keys.len();
        if retiring + published > MAX_HELD_KEYS { Err(KeyringFull { published, retiring }) } else { Ok(()) }
    }

    /// Applies the operators' terms for single keys and the retirement times that were handed over.
    pub fn apply_key_terms(&mut self, issuer: &Issuer) {
        for held in self.held.values_mut().flatten() {
            if let Some(terms) = issuer.keys.iter().find(|terms| terms.kid == held.key.kid) {
                held.active_from = terms.active_from.or(held.active_from);
                if let Some(until) = terms.retired_at {
                    held.retire_at(until);
                }
            }
            if let Some(until) = self.inherited_retirements.get(&held.key.thumbprint) {
                held.retire_at(*until);
            }
        }
    }

    /// Revokes the held keys with this key id.
    pub fn revoke(&mut self, kid: &str) {
        for held in self.held.get(kid).into_iter().flatten() {
            self.ended.insert(held.key.thumbprint, KeyEnd::Revoked);
        }
    }

    /// Records every key end that is reached, so that a clock step can't undo it, and removes keys that are neither
    /// published nor accepted.
    pub fn apply_ends(&mut self, now: Millis) {
        for held in self.held.values().flatten().filter(|held| held.state(now) == KeyState::Retired) {
            self.ended.insert(held.key.thumbprint, KeyEnd::Retired);
        }
        for same_kid in self.held.values_mut() {
            same_kid.retain(|held| held.published || self.ended.get(&held.key.thumbprint).is_none());
        }
        self.held.retain(|_, same_kid| !same_kid.is_empty());
        self.inherited_retirements.retain(|_, until| now < *until);
    }

    fn state(&self, held: &HeldKey, now: Millis) -> KeyState {
        match self.ended.get(&held.key.thumbprint) {
            Some(KeyEnd::Revoked) => KeyState::Revoked,
            Some(KeyEnd::Retired) => KeyState::Retired,
            None => held.state(now),
        }
    }

    /// Checks that tokens signed by this key are accepted now.
    fn check_accepted(&self, held: &HeldKey, now: Millis) -> Result<(), Reason> {
        match self.state(held, now) {
            KeyState::Active | KeyState::Retiring => Ok(()),
            KeyState::Announced => Err(Reason::KeyNotActive),
            KeyState::Retired => Err(Reason::KeyRetired),
            KeyState::Revoked => Err(Reason::KeyRevoked),
        }
    }

    /// Checks that the last set of an issuer whose sets are fetched over HTTP is not stale.
    ///
    /// # Errors
    ///
    /// [`Reason::IssuerStale`] if the last set is too old or none was installed.
    pub fn check_fresh(&self, issuer: &Issuer, now: Millis) -> Result<(), Reason> {
        let Source::Url { times, .. } = &issuer.source else { return Ok(()) };
        match self.last_installed {
            Some(installed) if now < installed.saturating_add(times.hold) => Ok(()),
            _ => Err(Reason::IssuerStale),
        }
    }

    /// The time at which the last set was installed, in milliseconds since the Unix epoch; `None` if none was.
    pub fn last_installed(&self) -> Option<Millis> {
        self.last_installed
    }

    /// Finds the key that a token names and verifies the signature with it. A token without a `kid` is accepted only if
    /// the held keys have a single key id.
    ///
    /// # Errors
    ///
    /// The key id is unknown, no key with the token's algorithm is accepted now, or the signature does not verify.
    pub fn verify(&self, token: &SignedToken, now: Millis) -> Result<&PublicKey, Reason> {
        let same_kid = match &token.kid {
            Some(kid) => self.held.get(kid),
            None if self.held.len() == 1 => self.held.values().next(),
            None => None,
        };
        let mut refusal = Reason::KeyUnknown;
        // Several keys share a `kid` only while a new one replaces an old one; the newest is tried first.
        for held in same_kid.ok_or(Reason::KeyUnknown)?.iter().rev() {
            if held.key.algorithm != token.algorithm {
                refusal = Reason::Algorithm;
            } else if let Err(reason) = self.check_accepted(held, now) {
                refusal = reason;
            } else if held.key.verifies(token.input, &token.signature) {
                return Ok(&held.key);
            } else {
                refusal = Reason::Signature;
            }
        }
        Err(refusal)
    }

    /// Checks that a key that verified a signature earlier is still accepted.
    ///
    /// # Errors
    ///
    /// The key is no longer known, not active yet, retired or revoked.
    pub fn check_key(&self, kid: &str, thumbprint: &Thumbprint, now: Millis) -> Result<(), Reason> {
        match self.ended.get(thumbprint) {
            Some(KeyEnd::Revoked) => return Err(Reason::KeyRevoked),
            Some(KeyEnd::Retired) => return Err(Reason::KeyRetired),
            None => {}
        }
        let mut same_kid = self.held.get(kid).into_iter().flatten();
        let held = same_kid.find(|held| held.key.thumbprint == *thumbprint);
        self.check_accepted(held.ok_or(Reason::KeyUnknown)?, now)
    }

    /// Describes all held keys, sorted by key id and by the time at which they were first seen.
    pub fn key_infos(&self, issuer: &str, now: Millis) -> Vec<KeyInfo> {
        let info = |held: &HeldKey| KeyInfo {
            issuer: issuer.into(),
            kid: held.key.kid.clone(),
            algorithm: held.key.algorithm.name().into(),
            thumbprint: hex::encode(&held.key.thumbprint),
            state: self.state(held, now),
            seen: held.seen,
            from: held.active_from,
            until: held.accepted_until,
        };
        let mut infos: Vec<KeyInfo> = self.held.values().flatten().map(info).collect();
        infos.sort_by(|one, other| (&one.kid, one.seen).cmp(&(&other.kid, other.seen)));
        infos
    }

    /// Collects the state for the process that takes over from this one.
    pub fn hand_over(&self) -> KeyringHandover {
        let ended = self.ended.iter().map(|(thumbprint, end)| (thumbprint, end == KeyEnd::Revoked)).collect();
        let mut retiring = self.inherited_retirements.clone();
        for held in self.held.values().flatten() {
            if let Some(until) = held.accepted_until {
                retiring.insert(held.key.thumbprint, until);
            }
        }
        KeyringHandover { ended, retiring: retiring.into_iter().collect() }
    }

    /// Takes over the state of the previous process. [`Keyring::apply_key_terms`] applies the retirement times to held
    /// keys.
    pub fn take_over(&mut self, handover: KeyringHandover) {
        for (thumbprint, revoked) in handover.ended {
            self.ended.insert(thumbprint, if revoked { KeyEnd::Revoked } else { KeyEnd::Retired });
        }
        self.inherited_retirements.extend(handover.retiring.into_iter().take(MAX_HELD_KEYS));
    }
}
