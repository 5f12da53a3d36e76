//! The version in force: holds its snapshot and replaces it atomically.
//!
//! A version is applied in two steps. [`ActiveVersion::stage`] performs every read and check that can fail.
//! [`ActiveVersion::commit`] can't fail: it replaces the snapshot and the identity policy under one lock. Requests read
//! both under the same lock.

use super::error::{KeySetError, VersionError};
use super::seals::{SealCause, Seals};
use super::version_config::{KeyFile, VersionConfig, read_key_set};
use crate::net::clock::Clock;
use crate::net::lock;
use crate::net::snapshot::{Identification, Snapshot};
use crate::settings::Deployment;
use rustls::pki_types::UnixTime;
use rustls::time_provider::TimeProvider;
use sagearch_identity::authority::{Policy, Report};
use sagearch_identity::certificate::Trust;
use sagearch_identity::jwks::KeySet;
use sagearch_identity::settings::Source;
use sagearch_identity::{Authority, Handover, Now, Reason};
use sagearch_operators::Operators;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// Name of the version in force before the first one is committed.
const NO_VERSION: &str = "none";

/// The snapshot and the authority, which are replaced under one lock.
pub(super) struct VersionState {
    pub(super) snapshot: Arc<Snapshot>,
    /// Identifies callers; present if the snapshot's identification is on.
    pub(super) authority: Option<Box<Authority>>,
    /// Why all requests are rejected, if they are.
    seals: Seals,
}

impl VersionState {
    /// Returns the authority that identifies callers, or `None` if callers are not identified.
    ///
    /// # Errors
    ///
    /// If all requests are rejected.
    pub(super) fn authority(&mut self) -> Result<Option<&mut Authority>, Reason> {
        if self.seals.first().is_some() {
            return Err(Reason::Sealed);
        }
        match (self.snapshot.identification, &mut self.authority) {
            (Identification::Off, _) => Ok(None),
            (Identification::On, Some(authority)) => Ok(Some(authority)),
            (Identification::On, None) => Err(Reason::Sealed),
        }
    }

    /// Whether requests need admission: callers are identified, or all requests are rejected.
    fn requires_admission(&self) -> bool {
        self.snapshot.identification == Identification::On || self.seals.first().is_some()
    }
}

/// The key set of an issuer, read from a file or streamed with the version.
struct IssuerKeys {
    issuer: String,
    set: KeySet,
}

/// The identity policy of a staged version, with the roots and keys that it needs.
struct StagedIdentity {
    policy: Policy,
    trust: Option<Trust>,
    keys: Vec<IssuerKeys>,
}

/// The snapshot of a version that has been read and checked but is not in force yet. Dropping it discards the version.
pub struct StagedSnapshot<'a> {
    /// The snapshot that requests see once the version is committed.
    pub snapshot: Snapshot,
    identity: Option<StagedIdentity>,
    pub(super) config: VersionConfig,
    _applying: MutexGuard<'a, ()>,
}

/// The version in force, with its authority and configuration.
pub(in crate::net) struct ActiveVersion {
    state: Mutex<VersionState>,
    /// Whether requests need admission: callers are identified, or all requests are rejected. Read without the lock.
    admission_required: AtomicBool,
    clock: Clock,
    seed: u64,
    /// The newest configuration, whether or not it could be put in force.
    config: Mutex<VersionConfig>,
    /// Held while a version is applied, so that versions are applied one at a time.
    applying: Mutex<()>,
    /// The handover of the previous process, until an authority exists to apply it to.
    pending_handover: Mutex<Option<Handover>>,
}

/// The time against which TLS handshakes check certificates: that of the authority, which is unaffected by steps of the
/// wall clock.
struct AuthorityTime(Weak<ActiveVersion>);

impl fmt::Debug for AuthorityTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AuthorityTime")
    }
}

impl TimeProvider for AuthorityTime {
    fn current_time(&self) -> Option<UnixTime> {
        let version = self.0.upgrade()?;
        let now = version.now();
        let unix_millis = match &mut lock(&version.state).authority {
            Some(authority) => authority.time(now),
            None => now.unix,
        };
        Some(UnixTime::since_unix_epoch(Duration::from_millis(unix_millis)))
    }
}

/// Reads the key sets of issuers whose source is a file or the version itself.
fn read_key_sets(config: &VersionConfig) -> Result<Vec<IssuerKeys>, VersionError> {
    let mut issuer_keys = Vec::new();
    for KeyFile { issuer, path } in config.key_files() {
        let set = read_key_set(&path)?;
        issuer_keys.push(IssuerKeys { issuer, set });
    }
    for issuer in config.identity.iter().flat_map(|identity| &identity.settings.issuers) {
        if let Source::Set(name) = &issuer.source {
            let text = config.key_sets.get(name).ok_or_else(|| VersionError::MissingKeySet(name.clone()))?;
            let set = KeySet::parse(text.as_bytes()).map_err(|error| KeySetError::Invalid(error.into()))?;
            issuer_keys.push(IssuerKeys { issuer: issuer.name.clone(), set });
        }
    }
    Ok(issuer_keys)
}

impl ActiveVersion {
    /// Creates a version with `deployment` in force, which does not identify callers yet.
    pub(super) fn new(clock: Clock, seed: u64, deployment: Deployment) -> Arc<ActiveVersion> {
        let version: Arc<str> = NO_VERSION.into();
        let snapshot = Arc::new(Snapshot {
            version: version.clone(),
            deployment: Arc::new(deployment),
            routes: Arc::default(),
            endpoints: Arc::default(),
            limits: None,
            shows_version: false,
            identification: Identification::Off,
        });
        Arc::new(ActiveVersion {
            state: Mutex::new(VersionState { snapshot, authority: None, seals: Seals::default() }),
            admission_required: AtomicBool::new(false),
            clock,
            seed,
            config: Mutex::new(VersionConfig {
                version,
                ..VersionConfig::from_operators(&Operators::default())
            }),
            applying: Mutex::default(),
            pending_handover: Mutex::default(),
        })
    }

    /// Returns the current time of the wall clock and the monotonic clock, in milliseconds.
    pub(super) fn now(&self) -> Now {
        Now { unix: self.clock.unix_ms(), monotonic: self.clock.now() / 1_000 }
    }

    /// Returns the time source for TLS handshakes.
    pub(super) fn tls_time_provider(self: &Arc<ActiveVersion>) -> Arc<dyn TimeProvider> {
        Arc::new(AuthorityTime(Arc::downgrade(self)))
    }

    /// Locks the state. The lock must be held briefly and not during I/O, because requests wait for it.
    pub(super) fn state(&self) -> MutexGuard<'_, VersionState> {
        lock(&self.state)
    }

    /// Locks out other changes while a version, or a part of it, is applied.
    pub(super) fn lock_applying(&self) -> MutexGuard<'_, ()> {
        lock(&self.applying)
    }

    /// Returns the newest configuration, whether or not it could be put in force.
    pub(super) fn config(&self) -> VersionConfig {
        lock(&self.config).clone()
    }

    /// Records the newest configuration, whether or not it could be put in force.
    pub(super) fn set_config(&self, config: VersionConfig) {
        *lock(&self.config) = config;
    }

    /// Rejects all requests, as the configuration can't be put in force, until one is committed.
    pub fn seal_as_invalid(&self, cause: &str, awaits_version: bool) {
        tracing::error!(cause, "nobody is served");
        let state = &mut *lock(&self.state);
        state.seals = Seals::invalid(awaits_version);
        self.admission_required.store(state.requires_admission(), Ordering::SeqCst);
    }

    /// Reads and checks everything that a version needs, without putting it in force. Until the result is committed or
    /// dropped, no other version can be applied.
    ///
    /// # Errors
    ///
    /// If a file, a key set or the identity settings are not valid.
    pub fn stage(
        self: &Arc<ActiveVersion>,
        config: VersionConfig,
        deployment: Option<Deployment>,
    ) -> Result<StagedSnapshot<'_>, VersionError> {
        self.stage_while_applying(lock(&self.applying), config, deployment)
    }

    /// Stages the newest configuration again, after it could not be put in force.
    ///
    /// # Errors
    ///
    /// As for [`ActiveVersion::stage`].
    pub fn stage_again(self: &Arc<ActiveVersion>) -> Result<StagedSnapshot<'_>, VersionError> {
        // Read under the lock: a configuration that is being applied meanwhile must not be replaced by the one before it.
        let applying = lock(&self.applying);
        let config = self.config();
        self.stage_while_applying(applying, config, None)
    }

    fn stage_while_applying<'a>(
        self: &'a Arc<ActiveVersion>,
        applying: MutexGuard<'a, ()>,
        config: VersionConfig,
        deployment: Option<Deployment>,
    ) -> Result<StagedSnapshot<'a>, VersionError> {
        let parts = config.read_trust_parts()?;
        let trust = parts.trust(true).map_err(VersionError::Trust)?;
        let endpoints = Arc::new(config.read_endpoints(&parts, &self.tls_time_provider())?);
        let keys = read_key_sets(&config)?;
        let settings = config.identity.as_ref().map(|identity| identity.settings.clone());
        let policy =
            settings.map(Policy::new).transpose().map_err(|error| VersionError::Policy(error.into()))?;
        let current = self.check_keys(&keys)?;
        let snapshot = Snapshot {
            version: config.version.clone(),
            deployment: deployment.map_or_else(|| current.deployment.clone(), Arc::new),
            routes: config.routes.clone().map_or_else(|| current.routes.clone(), Arc::new),
            endpoints,
            limits: config.limits,
            shows_version: config.shows_version,
            identification: if policy.is_some() { Identification::On } else { Identification::Off },
        };
        let identity = policy.map(|policy| StagedIdentity { policy, trust, keys });
        Ok(StagedSnapshot { snapshot, identity, config, _applying: applying })
    }

    /// Checks that key sets are consistent with the keys in force, and returns the snapshot in force with those keys.
    fn check_keys(&self, keys: &[IssuerKeys]) -> Result<Arc<Snapshot>, VersionError> {
        let state = lock(&self.state);
        if let Some(authority) = &state.authority {
            for IssuerKeys { issuer, set } in keys {
                authority.check_key_set(issuer, set).map_err(|error| VersionError::KeysRejected {
                    issuer: issuer.clone(),
                    source: error.into(),
                })?;
            }
        }
        Ok(state.snapshot.clone())
    }

    /// Puts a staged version in force atomically.
    pub fn commit(&self, staged: StagedSnapshot<'_>) {
        let StagedSnapshot { snapshot, identity, config, _applying } = staged;
        let (now, mut previous_policy) = (self.now(), None);
        {
            let state = &mut *lock(&self.state);
            match identity {
                None => state.authority = None,
                Some(StagedIdentity { policy, trust, keys }) => {
                    let new_authority = || Box::new(Authority::new(self.seed));
                    let is_new = state.authority.is_none();
                    let authority = state.authority.get_or_insert_with(new_authority);
                    previous_policy = Some(authority.set_policy(policy, now));
                    if is_new && let Some(pending_handover) = lock(&self.pending_handover).take() {
                        authority.take_over(pending_handover, now);
                    }
                    authority.set_trust(trust);
                    for IssuerKeys { issuer, set } in keys {
                        if let Err(error) = authority.install_key_set(&issuer, &set, now) {
                            let cause = error.to_string();
                            tracing::error!(issuer, cause, "keys turned down; the last good ones hold");
                        }
                    }
                }
            }
            state.seals = Seals::in_force(config.awaits_version);
            state.snapshot = Arc::new(snapshot);
            self.admission_required.store(state.requires_admission(), Ordering::SeqCst);
        }
        // Dropped after the lock is released, because dropping thousands of tenants is slow.
        drop(previous_policy);
        self.set_config(config);
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        lock(&self.state).snapshot.clone()
    }

    /// Returns the snapshot in force, unless requests under it need admission.
    pub fn snapshot_without_admission(&self) -> Option<Arc<Snapshot>> {
        let state = lock(&self.state);
        (!state.requires_admission()).then(|| state.snapshot.clone())
    }

    /// Returns whether all requests are rejected for this cause.
    pub fn is_sealed_by(&self, cause: SealCause) -> bool {
        self.requires_admission() && lock(&self.state).seals.holds(cause)
    }

    /// Returns a cause for which all requests are rejected, or `None` if requests are admitted.
    pub fn seal(&self) -> Option<SealCause> {
        if self.requires_admission() { lock(&self.state).seals.first() } else { None }
    }

    /// Returns whether requests need admission: callers are identified, or all requests are rejected. Read without the lock, so
    /// that the snapshot in force may already be another one.
    pub fn requires_admission(&self) -> bool {
        self.admission_required.load(Ordering::Relaxed)
    }

    /// Returns the state of keys and counters for metrics, or `None` if callers are not identified.
    pub fn report(&self) -> Option<Report> {
        let now = self.now();
        lock(&self.state).authority.as_mut().map(|authority| authority.report(now))
    }

    /// Returns the state of tokens and keys for the process that takes over, or `None` if callers are not identified.
    pub fn hand_over(&self) -> Option<Handover> {
        let now = self.now();
        lock(&self.state).authority.as_mut().map(|authority| authority.hand_over(now))
    }

    /// Applies the handover of the previous process, or stores it until an authority exists.
    pub fn take_over(&self, handover: Handover) {
        let now = self.now();
        match &mut lock(&self.state).authority {
            Some(authority) => authority.take_over(handover, now),
            None => *lock(&self.pending_handover) = Some(handover),
        }
    }
}
