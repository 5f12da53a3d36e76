//! Identifies the caller of each request from settings, key sets and roots.
//!
//! Calls take `&mut self`, return quickly and never block. A request is refused if anything is missing or inconsistent.

mod certificates;
mod handover;
mod key_sets;
mod policy;
mod policy_error;
mod report;
mod settings_limits;
mod tokens;

pub use handover::Handover;
pub use key_sets::{InstallError, KeySetRequest};
pub use policy::{Policy, check};
pub use policy_error::{EntryError, EntryKind, PolicyError};
pub use report::{IssuerReport, Report};

use crate::Millis;
use crate::caller::{Caller, Reason};
use crate::certificate::{Presented, Trust};
use crate::clock::{Now, StepTolerantClock};
use crate::jwks::KeySet;
use crate::settings::{Operator, Settings};
use certificates::ChainVerifier;
use key_sets::KeySets;
use std::net::IpAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use tokens::{TokenVerifier, VerifiedSignature, VersionedPolicy, verify_signature};

/// The credentials of a request. If there is a token, the certificate is ignored, even if the token is invalid.
#[derive(Clone, Copy, Debug, Default)]
pub struct Credentials<'a> {
    /// The bearer token (RFC 6750).
    pub bearer: Option<&'a str>,
    /// The certificate chain that the client presented on the connection.
    pub certificate: Option<&'a Presented>,
}

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorCaller {
    /// The operator's name.
    pub name: Arc<str>,
    /// Whether the operator may make changes, not only read.
    pub may_change: bool,
}

impl OperatorCaller {
    fn new(operator: &Operator) -> OperatorCaller {
        OperatorCaller { name: operator.name.as_str().into(), may_change: operator.may_change }
    }
}

/// Identifies callers, with settings and keys that change at run time.
pub struct Authority {
    policy: Policy,
    /// The number of policies that have been applied.
    version: u64,
    key_sets: KeySets,
    tokens: TokenVerifier,
    chains: ChainVerifier,
    clock: StepTolerantClock,
}

impl Authority {
    /// Creates an authority without a policy, which identifies no caller. `seed` spreads the times at which gateways
    /// fetch key sets.
    pub fn new(seed: u64) -> Authority {
        let policy = Policy::empty();
        let capacity = cache_capacity(&policy.settings);
        Authority {
            policy,
            version: 0,
            key_sets: KeySets::new(seed),
            tokens: TokenVerifier::new(capacity),
            chains: ChainVerifier::new(capacity),
            clock: StepTolerantClock::default(),
        }
    }

    /// Creates an authority with these settings. No token is accepted before its issuer's key set is installed, and no
    /// certificate before a [`Trust`] is set.
    ///
    /// # Errors
    ///
    /// The settings are invalid.
    pub fn with_settings(settings: Settings, seed: u64, now: Now) -> Result<Authority, PolicyError> {
        let mut authority = Authority::new(seed);
        authority.apply_settings(settings, now)?;
        Ok(authority)
    }

    /// Compiles and applies settings.
    ///
    /// # Errors
    ///
    /// The settings are invalid; the current ones stay in force.
    pub fn apply_settings(&mut self, settings: Settings, now: Now) -> Result<(), PolicyError> {
        self.set_policy(Policy::new(settings)?, now);
        Ok(())
    }

    /// Applies a policy. The keys of issuers that remain in the settings are kept, and so is the record of ended keys
    /// of all issuers. Returns the previous policy, which the caller drops outside its lock: with thousands of tenants
    /// the drop takes a while.
    pub fn set_policy(&mut self, policy: Policy, now: Now) -> Policy {
        let now = self.tolerate_steps(now);
        self.key_sets.apply_policy(&policy, now);
        let capacity = cache_capacity(&policy.settings);
        self.tokens.resize(capacity);
        self.chains.resize(capacity);
        self.version += 1;
        std::mem::replace(&mut self.policy, policy)
    }

    /// Returns `now` with the step-tolerant time in place of the Unix clock's.
    fn tolerate_steps(&mut self, now: Now) -> Now {
        Now { unix: self.clock.time(now), ..now }
    }

    /// Checks whether a key set could be installed in addition to the keys that the issuer's keyring holds.
    ///
    /// # Errors
    ///
    /// The set has no usable key, or the keyring would exceed its capacity.
    pub fn check_key_set(&self, issuer: &str, set: &KeySet) -> Result<(), InstallError> {
        self.key_sets.check(issuer, set)
    }

    /// Replaces the roots and revocation lists that certificates are verified with.
    pub fn set_trust(&mut self, trust: Option<Trust>) {
        self.chains.set_trust(trust);
    }

    /// Returns the key set requests that are due and marks them as started. The result of each must be passed to
    /// [`Authority::install_key_set`] or [`Authority::record_failed_fetch`].
    pub fn start_due_requests(&mut self, now: Now) -> Vec<KeySetRequest> {
        self.key_sets.start_due_requests(&self.policy.settings.issuers, now.monotonic)
    }

    /// Installs the key set that an issuer publishes.
    ///
    /// # Errors
    ///
    /// The issuer is not in the settings, the set has no usable key, or the keyring would exceed its capacity. The keys
    /// of the last installed set are accepted until they are stale.
    pub fn install_key_set(&mut self, issuer: &str, set: &KeySet, now: Now) -> Result<(), InstallError> {
        let now = self.tolerate_steps(now);
        self.key_sets.install(&self.policy, issuer, set, now)
    }

    /// Records that an issuer's key set could not be fetched. The keys of the last installed set are accepted until
    /// they are stale.
    pub fn record_failed_fetch(&mut self, issuer: &str, now: Now) {
        let now = self.tolerate_steps(now);
        self.key_sets.record_failed_fetch(issuer, now.monotonic);
    }

    /// Identifies the caller of a request. [`Caller::may`] decides what the caller may request.
    ///
    /// # Errors
    ///
    /// The credentials are missing or not accepted, or map to no tenant.
    pub fn identify(&mut self, credentials: Credentials, now: Now) -> Result<Arc<Caller>, Reason> {
        let now = self.tolerate_steps(now);
        match credentials {
            Credentials { bearer: Some(token), .. } => {
                let policy = VersionedPolicy { policy: &self.policy, version: self.version };
                self.tokens.identify(token, policy, &mut self.key_sets, now)
            }
            Credentials { certificate: Some(presented), .. } => {
                self.check_chain(presented, now.unix)?;
                self.policy.certificate_caller(presented)
            }
            _ => self.policy.anonymous_caller().ok_or(Reason::Missing),
        }
    }

    /// Checks that a certificate chain is valid and not revoked.
    fn check_chain(&mut self, presented: &Presented, now: Millis) -> Result<(), Reason> {
        self.chains.check(presented, &self.policy.settings.revoked.serials, now)
    }

    /// Whether a connection's certificate is valid, not revoked and still maps to a tenant.
    pub fn is_certificate_valid(&mut self, presented: &Presented, now: Now) -> bool {
        let now = self.tolerate_steps(now);
        self.check_chain(presented, now.unix).is_ok() && self.policy.certificate_caller(presented).is_ok()
    }

    /// Identifies the operator of a request to the operators' address.
    ///
    /// # Errors
    ///
    /// The credentials are missing or not accepted, or map to no operator.
    pub fn identify_operator(
        &mut self,
        credentials: Credentials,
        now: Now,
    ) -> Result<OperatorCaller, Reason> {
        let now = self.tolerate_steps(now);
        let operator = match credentials {
            Credentials { bearer: Some(token), .. } => {
                let verified = verify_signature(token, &self.policy, &mut self.key_sets, now)?;
                let VerifiedSignature { signed, claims, .. } = verified;
                self.policy.token_operator(&claims, signed.algorithm, now.unix)?
            }
            Credentials { certificate: Some(presented), .. } => {
                self.check_chain(presented, now.unix)?;
                self.policy.certificate_operator(presented)?
            }
            _ => return Err(Reason::Missing),
        };
        Ok(OperatorCaller::new(operator))
    }

    /// Whether the settings name operators. Without any, the operators' address requires no credentials.
    pub fn has_operators(&self) -> bool {
        !self.policy.settings.operators.is_empty()
    }

    /// Identifies the caller of DNS queries from an address.
    ///
    /// # Errors
    ///
    /// The address is in no tenant's network, or is revoked as a principal.
    pub fn identify_network(&self, from: IpAddr) -> Result<Arc<Caller>, Reason> {
        self.policy.network_caller(from)
    }

    /// Reports the state of caller identification, after recording the keys that have ended by time alone.
    pub fn report(&mut self, now: Now) -> Report {
        let now = self.tolerate_steps(now);
        let issuers = &self.policy.settings.issuers;
        Report {
            version: self.version,
            tenants: self.policy.tenant_count(),
            tokens_cached: self.tokens.cached(),
            chains_cached: self.chains.cached(),
            clock_steps: self.clock.steps,
            issuers: issuers.iter().map(|issuer| self.key_sets.report(issuer, now.unix)).collect(),
        }
    }

    /// The step-tolerant time in milliseconds since the Unix epoch, for checks of validity in TLS handshakes.
    pub fn time(&mut self, now: Now) -> Millis {
        self.clock.time(now)
    }

    /// Collects the state for the process that takes over from this one.
    pub fn hand_over(&mut self, now: Now) -> Handover {
        let now = self.tolerate_steps(now);
        self.key_sets.hand_over(now.unix)
    }

    /// Takes over from another process of this gateway, so that nothing is accepted that it has refused.
    pub fn take_over(&mut self, handover: Handover, now: Now) {
        self.clock = StepTolerantClock::starting_at(handover.floor, now);
        self.key_sets.take_over(&self.policy, handover);
    }
}

/// The capacity of the token cache and of the certificate chain cache: at least one entry each.
fn cache_capacity(settings: &Settings) -> NonZeroUsize {
    NonZeroUsize::new(settings.cached).unwrap_or(NonZeroUsize::MIN)
}
