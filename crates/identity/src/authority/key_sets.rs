//! The keyrings of all issuers and the schedules by which their key sets are fetched.

use super::handover::Handover;
use super::policy::Policy;
use super::report::IssuerReport;
use crate::caller::Reason;
use crate::jwks::{KeySet, Thumbprint};
use crate::keyring::{Keyring, KeyringFull};
use crate::refresh::{RefreshSchedule, RequestResult};
use crate::settings::{Issuer, MAX_ISSUERS, Source};
use crate::token::SignedToken;
use crate::{Millis, Now};
use ring::digest;
use std::collections::HashMap;
use thiserror::Error;

/// The maximum number of keyrings, including those of issuers that were removed from the settings.
const MAX_KEYRINGS: usize = 2 * MAX_ISSUERS;

/// A request for an issuer's key set that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct KeySetRequest {
    /// The issuer's name.
    pub issuer: String,
    /// The URL of its key set.
    pub url: String,
    /// The file with the roots that verify an https server's certificate; `None` for plain http.
    pub roots: Option<String>,
}

/// Why an issuer's key set is rejected. The keys of the last installed set stay.
#[derive(Debug, Error)]
pub enum InstallError {
    /// The issuer is no longer in the settings.
    #[error("the issuer is gone")]
    UnknownIssuer,
    /// The set has no key that verifies tokens. This is treated as a fault of the issuer and not as a request to refuse
    /// all its tokens, which is made by revoking keys.
    #[error("no key that can be used")]
    NoUsableKey,
    /// The keyring would exceed its capacity.
    #[error(transparent)]
    KeyringFull(#[from] KeyringFull),
}

/// The key that verified a signature.
pub(super) struct VerifyingKey {
    kid: String,
    thumbprint: Thumbprint,
}

/// The keyrings of all issuers, and the refresh schedules of those whose key sets are fetched over HTTP.
pub(super) struct KeySets {
    keyrings: HashMap<String, Keyring>,
    schedules: HashMap<String, RefreshSchedule>,
    seed: u64,
}

impl KeySets {
    /// Creates key sets without issuers. `seed` spreads the times at which gateways fetch key sets.
    pub(super) fn new(seed: u64) -> KeySets {
        KeySets { keyrings: HashMap::new(), schedules: HashMap::new(), seed }
    }

    /// Applies a new policy. The keys of issuers that remain in the settings are kept.
    pub(super) fn apply_policy(&mut self, policy: &Policy, now: Now) {
        for issuer in &policy.settings.issuers {
            let keyring = self.keyrings.entry(issuer.name.clone()).or_default();
            keyring.apply_key_terms(issuer);
            keyring.apply_ends(now.unix);
            self.apply_source(issuer, now.monotonic);
        }
        self.schedules.retain(|name, _| policy.issuer(name).is_some());
        // The keyrings of removed issuers record which keys must never be accepted again; they are kept up to the
        // limit.
        if self.keyrings.len() > MAX_KEYRINGS {
            self.keyrings.retain(|name, _| policy.issuer(name).is_some());
        }
        self.revoke(policy);
    }

    /// Starts, updates or ends the schedule by which an issuer's key set is fetched. `now` is of the monotonic clock.
    fn apply_source(&mut self, issuer: &Issuer, now: Millis) {
        let Source::Url { times, .. } = &issuer.source else {
            self.schedules.remove(&issuer.name);
            return;
        };
        // Spreads the fetches of gateways with different seeds, and those of one gateway from different issuers.
        let digest = digest::digest(&digest::SHA256, issuer.name.as_bytes());
        let salt = u64::from_le_bytes(digest.as_ref()[..8].try_into().unwrap_or_default());
        let seed = self.seed ^ salt;
        let schedule = self.schedules.entry(issuer.name.clone());
        schedule.or_insert_with(|| RefreshSchedule::new(*times, seed, now)).set_times(*times);
    }

    /// Revokes the keys that the settings list as revoked.
    fn revoke(&mut self, policy: &Policy) {
        for (issuer, kid) in &policy.settings.revoked.keys {
            if let Some(keyring) = self.keyrings.get_mut(issuer) {
                keyring.revoke(kid);
            }
        }
    }

    /// Checks whether a set could be installed in addition to the keys that the issuer's keyring holds.
    pub(super) fn check(&self, issuer: &str, set: &KeySet) -> Result<(), InstallError> {
        check_usable(set)?;
        match self.keyrings.get(issuer) {
            Some(keyring) => Ok(keyring.check_capacity(set)?),
            None => Ok(()),
        }
    }

    /// Returns the requests that are due and marks them as started. `now` is of the monotonic clock.
    pub(super) fn start_due_requests(&mut self, issuers: &[Issuer], now: Millis) -> Vec<KeySetRequest> {
        let mut requests = Vec::new();
        for issuer in issuers {
            let Source::Url { url, roots, .. } = &issuer.source else { continue };
            if self.schedules.get_mut(&issuer.name).is_some_and(|schedule| schedule.start_if_due(now)) {
                requests.push(KeySetRequest {
                    issuer: issuer.name.clone(),
                    url: url.clone(),
                    roots: roots.clone(),
                });
            }
        }
        requests
    }

    /// Installs the key set that an issuer publishes, and reports the result to its refresh schedule.
    pub(super) fn install(
        &mut self,
        policy: &Policy,
        issuer: &str,
        set: &KeySet,
        now: Now,
    ) -> Result<(), InstallError> {
        let installed = self.install_in_keyring(policy, issuer, set, now.unix);
        if let Some(schedule) = self.schedules.get_mut(issuer) {
            let succeeded = installed.is_ok();
            let result = if succeeded { RequestResult::Succeeded } else { RequestResult::Failed };
            schedule.finish(now.monotonic, result);
        }
        self.revoke(policy);
        installed
    }

    fn install_in_keyring(
        &mut self,
        policy: &Policy,
        name: &str,
        set: &KeySet,
        now: Millis,
    ) -> Result<(), InstallError> {
        let issuer = policy.issuer(name).ok_or(InstallError::UnknownIssuer)?;
        check_usable(set)?;
        Ok(self.keyrings.entry(name.into()).or_default().install(set, issuer, now)?)
    }

    /// Records that an issuer's key set could not be fetched. `now` is of the monotonic clock.
    pub(super) fn record_failed_fetch(&mut self, issuer: &str, now: Millis) {
        if let Some(schedule) = self.schedules.get_mut(issuer) {
            schedule.finish(now, RequestResult::Failed);
        }
    }

    /// Verifies a token's signature by one of the issuer's keys. A token with an unknown key id makes the next fetch of
    /// the key set due earlier.
    pub(super) fn verify(
        &mut self,
        issuer: &Issuer,
        signed: &SignedToken,
        now: Now,
    ) -> Result<VerifyingKey, Reason> {
        let keyring = self.keyrings.get(&issuer.name).ok_or(Reason::KeyUnknown)?;
        keyring.check_fresh(issuer, now.unix)?;
        match keyring.verify(signed, now.unix) {
            Ok(key) => Ok(VerifyingKey { kid: key.kid.clone(), thumbprint: key.thumbprint }),
            Err(reason) => {
                if reason == Reason::KeyUnknown
                    && let Some(schedule) = self.schedules.get_mut(&issuer.name)
                {
                    schedule.request_early(now.monotonic);
                }
                Err(reason)
            }
        }
    }

    /// Checks that a key that verified a signature earlier is still accepted.
    pub(super) fn check_key(&self, issuer: &Issuer, key: &VerifyingKey, now: Millis) -> Result<(), Reason> {
        let keyring = self.keyrings.get(&issuer.name).ok_or(Reason::KeyUnknown)?;
        keyring.check_fresh(issuer, now)?;
        keyring.check_key(&key.kid, &key.thumbprint, now)
    }

    /// Reports the state of an issuer, after recording the keys that have ended by time alone.
    pub(super) fn report(&mut self, issuer: &Issuer, now: Millis) -> IssuerReport {
        let keyring = self.keyrings.entry(issuer.name.clone()).or_default();
        keyring.apply_ends(now);
        let schedule = self.schedules.get(&issuer.name);
        IssuerReport {
            name: issuer.name.clone(),
            heard_ms_ago: keyring.last_installed().map(|installed| now.saturating_sub(installed)),
            lookups: schedule.map_or(0, |schedule| schedule.started),
            lookups_spared: schedule.map_or(0, |schedule| schedule.suppressed),
            keys: keyring.key_infos(&issuer.name, now),
        }
    }

    /// Collects the state of all keys for the process that takes over.
    pub(super) fn hand_over(&mut self, now: Millis) -> Handover {
        self.keyrings.values_mut().for_each(|keyring| keyring.apply_ends(now));
        let issuers =
            self.keyrings.iter().map(|(name, keyring)| (name.clone(), keyring.hand_over())).collect();
        Handover { floor: now, issuers }
    }

    /// Takes over the state of keys from the previous process, so that no key is accepted that it has refused.
    pub(super) fn take_over(&mut self, policy: &Policy, handover: Handover) {
        for (name, keys) in handover.issuers.into_iter().take(MAX_KEYRINGS) {
            let issuer = policy.issuer(&name);
            let keyring = self.keyrings.entry(name).or_default();
            keyring.take_over(keys);
            // Keyrings of issuers that are not in the settings are kept, as the issuers may be added again.
            if let Some(issuer) = issuer {
                keyring.apply_key_terms(issuer);
            }
        }
    }
}

fn check_usable(set: &KeySet) -> Result<(), InstallError> {
    if set.keys.is_empty() { Err(InstallError::NoUsableKey) } else { Ok(()) }
}
