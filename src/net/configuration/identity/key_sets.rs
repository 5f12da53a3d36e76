//! Keeps key sets up to date on background threads: reloads changed files, fetches key sets from issuers, and removes
//! expired keys and tokens. Requests are blocked only by short locks.

use super::error::{KeySetError, VersionError};
use super::seals::SealCause;
use super::version::ActiveVersion;
use super::version_config::{KeyFile, VersionConfig, read_key_set};
use crate::metrics::Metrics;
use crate::net::frontend::tls::{Endpoints, bytes_of};
use crate::net::snapshot::Snapshot;
use sagearch_identity::authority::KeySetRequest;
use sagearch_identity::certificate::Trust;
use sagearch_identity::jwks::{KeySet, MAX_KEY_SET_BYTES};
use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How often files are checked for changes and due key sets are fetched.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often expired keys and tokens are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// How often a version that could not be put in force is staged again.
const STAGE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for an issuer's complete response.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Stack size of the thread that watches files.
const STACK_BYTES: usize = 512 * 1024;
/// Stack size of a thread that fetches a key set over TLS.
const ISSUER_STACK_BYTES: usize = 1024 * 1024;

/// Keeps the key sets, certificates and revocation lists of the version in force up to date.
pub(super) struct KeySetUpkeep {
    version: Arc<ActiveVersion>,
    metrics: Arc<Metrics>,
    started: AtomicBool,
    /// Set to make the upkeep thread end.
    stopping: AtomicBool,
}

impl KeySetUpkeep {
    pub(super) fn new(version: Arc<ActiveVersion>, metrics: Arc<Metrics>) -> Arc<KeySetUpkeep> {
        let (started, stopping) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(KeySetUpkeep { version, metrics, started, stopping })
    }

    /// Makes the upkeep thread end: files are no longer watched and issuers no longer queried.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Starts the upkeep thread, which watches files and queries issuers, unless it has been started already.
    pub(super) fn start(self: &Arc<KeySetUpkeep>) {
        if self.started.swap(true, Ordering::SeqCst) {
            return;
        }
        let upkeep = self.clone();
        let thread = std::thread::Builder::new().name("identity".into()).stack_size(STACK_BYTES);
        if let Err(e) = thread.spawn(move || upkeep.run()) {
            tracing::error!(cause = %e, "identity: upkeep thread failed to start; files and issuers are not polled");
            self.started.store(false, Ordering::SeqCst);
        }
    }

    fn run(self: &Arc<KeySetUpkeep>) {
        let mut files = WatchedFiles::default();
        let (mut last_expiry, mut last_retry) = (Instant::now(), Instant::now());
        while !self.stopping.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
            let is_invalid = self.version.is_sealed_by(SealCause::InvalidConfiguration);
            if is_invalid && last_retry.elapsed() >= STAGE_RETRY_INTERVAL {
                last_retry = Instant::now();
                self.retry_stage();
            }
            files.poll(self);
            self.fetch_due_key_sets();
            if last_expiry.elapsed() >= EXPIRY_INTERVAL {
                last_expiry = Instant::now();
                // Creating a report removes expired keys and tokens, even if no requests arrive.
                let _ = self.version.report();
            }
        }
    }

    /// Stages the newest configuration again after it could not be put in force.
    fn retry_stage(self: &Arc<KeySetUpkeep>) {
        if let Ok(staged) = self.version.stage_again() {
            self.version.commit(staged);
            match self.version.seal() {
                None => tracing::info!("identity: the operators' file is valid now; clients are served"),
                Some(cause) => {
                    tracing::info!(%cause, "identity: the operators' file is valid now; nobody is served yet");
                }
            }
        }
    }

    /// Fetches the key sets of issuers that are due, each on a thread of its own.
    fn fetch_due_key_sets(self: &Arc<KeySetUpkeep>) {
        let now = self.version.now();
        let due = self.version.state().authority.as_mut().map(|authority| authority.start_due_requests(now));
        for request in due.into_iter().flatten() {
            let (upkeep, issuer) = (self.clone(), request.issuer.clone());
            let thread = std::thread::Builder::new().name("issuer".into()).stack_size(ISSUER_STACK_BYTES);
            // The authority allows at most one outstanding request per issuer, which limits the number of threads.
            let spawned = thread.spawn(move || upkeep.install_keys(&request.issuer, fetch_key_set(&request)));
            if let Err(e) = spawned {
                self.install_keys(&issuer, Err(KeySetError::Thread(e)));
            }
        }
    }

    /// Installs a loaded key set in the authority, or records that loading it failed.
    fn install_keys(&self, issuer: &str, set: Result<KeySet, KeySetError>) {
        let now = self.version.now();
        let installed = self.version.state().authority.as_mut().map(|authority| match set {
            Ok(set) => {
                authority.install_key_set(issuer, &set, now).map_err(|e| KeySetError::Invalid(e.into()))
            }
            Err(error) => {
                authority.record_failed_fetch(issuer, now);
                Err(error)
            }
        });
        let Some(installed) = installed else { return };
        self.metrics.reloaded(installed.is_ok());
        match installed {
            Ok(()) => tracing::debug!(issuer, "key set installed"),
            Err(error) => {
                let cause = error.to_string();
                tracing::warn!(issuer, cause, "keys turned down; the last good ones hold for now");
            }
        }
    }

    /// Reloads certificates, keys, roots and revocation lists after one of their files has changed.
    fn reload_tls(self: &Arc<KeySetUpkeep>) {
        let _applying = self.version.lock_applying();
        let loaded = self.read_tls();
        self.metrics.reloaded(loaded.is_ok());
        match loaded {
            Ok((trust, endpoints)) => {
                let state = &mut *self.version.state();
                state.authority.iter_mut().for_each(|authority| authority.set_trust(trust.clone()));
                let endpoints = Arc::new(endpoints);
                state.snapshot = Arc::new(Snapshot { endpoints, ..(*state.snapshot).clone() });
                tracing::info!("certificates, roots and revocation lists reloaded");
            }
            // Often only one file of a pair has been replaced so far. The change of the other triggers another reload.
            Err(error) => {
                let cause = error.to_string();
                tracing::warn!(cause, "certificates turned down; the last good ones hold");
            }
        }
    }

    /// Reads the files of certificates, keys, roots and revocation lists.
    fn read_tls(&self) -> Result<(Option<Trust>, Endpoints), VersionError> {
        let config = self.version.config();
        let parts = config.read_trust_parts()?;
        let trust = parts.trust(true).map_err(VersionError::Trust)?;
        Ok((trust, config.read_endpoints(&parts, &self.version.tls_time_provider())?))
    }
}

/// File metadata by which a modified or replaced file is detected.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    modified_seconds: i64,
    modified_nanoseconds: i64,
    size: u64,
    inode: u64,
}

impl FileStamp {
    /// Returns the current stamp of a file, or `None` if its metadata can't be read.
    fn read(path: &Path) -> Option<FileStamp> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileStamp {
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            size: metadata.size(),
            inode: metadata.ino(),
        })
    }
}

/// The files that a version refers to, with their stamps when they were last read.
#[derive(Default)]
struct WatchedFiles {
    config: Option<VersionConfig>,
    keys: BTreeMap<KeyFile, Option<FileStamp>>,
    tls: BTreeMap<PathBuf, Option<FileStamp>>,
}

impl WatchedFiles {
    /// Reloads files that have changed.
    fn poll(&mut self, upkeep: &Arc<KeySetUpkeep>) {
        if upkeep.version.is_sealed_by(SealCause::InvalidConfiguration) {
            return;
        }
        let config = upkeep.version.config();
        if Some(&config) != self.config.as_ref() {
            // Staging has read all files, but some may have changed since, so each is read once more.
            self.keys = config.key_files().into_iter().map(|key| (key, None)).collect();
            self.tls = config.tls_files().into_iter().map(|path| (path, None)).collect();
            self.config = Some(config);
        }
        for (KeyFile { issuer, path }, last_stamp) in &mut self.keys {
            let stamp = FileStamp::read(path);
            if *last_stamp != stamp {
                *last_stamp = stamp;
                upkeep.install_keys(issuer, read_key_set(path));
            }
        }
        let mut changed = false;
        for (path, last_stamp) in &mut self.tls {
            let stamp = FileStamp::read(path);
            changed |= *last_stamp != stamp;
            *last_stamp = stamp;
        }
        if changed {
            upkeep.reload_tls();
        }
    }
}

/// Fetches the key set of an issuer, with limits on time and size.
///
/// # Errors
///
/// If the issuer's roots can't be read, or the response is not a valid key set.
pub fn fetch_key_set(request: &KeySetRequest) -> Result<KeySet, KeySetError> {
    let mut config = ureq::Agent::config_builder()
        .timeout_global(Some(FETCH_TIMEOUT))
        .max_redirects(0)
        // Ignores proxies that are set in the environment.
        .proxy(None);
    if let Some(roots) = &request.roots {
        let roots = read_roots(Path::new(roots))?;
        config = config.tls_config(ureq::tls::TlsConfig::builder().root_certs(roots).build());
    }
    let agent = config.build().new_agent();
    let fetch_error = |error| KeySetError::Fetch(Box::new(error));
    let mut response = agent.get(&request.url).call().map_err(fetch_error)?;
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_KEY_SET_BYTES as u64)
        .read_to_vec()
        .map_err(fetch_error)?;
    KeySet::parse(&body).map_err(|error| KeySetError::Invalid(error.into()))
}

/// Reads the roots against which an issuer's TLS certificate is verified.
fn read_roots(path: &Path) -> Result<ureq::tls::RootCerts, KeySetError> {
    let bytes = bytes_of(path)?;
    let mut roots = Vec::new();
    for item in ureq::tls::parse_pem(&bytes) {
        let item = item.map_err(|error| KeySetError::Roots(Box::new(error)))?;
        if let ureq::tls::PemItem::Certificate(root) = item {
            roots.push(root);
        }
    }
    Ok(ureq::tls::RootCerts::new_with_certs(&roots))
}
