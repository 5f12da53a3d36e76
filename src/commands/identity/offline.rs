//! What a gateway under an operators' file would decide, without a running gateway.

use super::error::{Cause, CommandError, FileProblem};
use super::files::read_bytes;
use crate::files::Disk;
use crate::net::configuration::identity::fetch_key_set;
use crate::net::frontend::tls::TrustParts;
use sagearch_identity::authority::KeySetRequest;
use sagearch_identity::jwks::KeySet;
use sagearch_identity::settings::{Issuer, Source};
use sagearch_identity::{Authority, Now};
use sagearch_operators::Anywhere;
use sagearch_operators::identity::Identity;
use std::collections::BTreeMap;
use std::path::Path;

/// What an operators' file states of identity, with the key sets that it holds by name.
pub(super) struct OfflineConfig {
    pub(super) identity: Identity,
    key_sets: BTreeMap<String, String>,
}

/// The time of a decision: `at`, or now.
pub(super) fn decision_time(at: Option<jiff::Timestamp>) -> Now {
    let unix =
        at.map_or_else(sagearch_clock::unix_millis, |at| u64::try_from(at.as_millisecond()).unwrap_or(0));
    Now { unix, monotonic: 0 }
}

impl OfflineConfig {
    /// Reads an operators' file.
    pub(super) fn read(operators: &Path) -> Result<OfflineConfig, CommandError> {
        let read = sagearch_operators::read(&operators.to_string_lossy(), &Disk, &Anywhere);
        let read = read.map_err(|faults| CommandError::Operators(faults.to_string().into()))?;
        let missing = || CommandError::wrong_file(operators, FileProblem::NoIdentity);
        Ok(OfflineConfig { identity: read.identity.ok_or_else(missing)?, key_sets: read.key_sets })
    }

    /// The authority that a gateway under this file would have at that time. `key_files` are `ISSUER=FILE`, in place of
    /// where the operators' file says that keys come from.
    pub(super) fn authority(&self, key_files: &[String], now: Now) -> Result<Authority, CommandError> {
        let mut authority = Authority::with_settings(self.identity.settings.clone(), 0, now)?;
        for issuer in &self.identity.settings.issuers {
            let set = self.key_set(issuer, key_files)?;
            let installed = authority.install_key_set(&issuer.name, &set, now);
            installed.map_err(|error| issuer_error(issuer, error))?;
        }
        let parts = TrustParts::read(&self.identity.trust);
        let trust = parts.and_then(|parts| parts.trust(true));
        authority.set_trust(trust.map_err(|error| CommandError::TlsFile(error.into()))?);
        Ok(authority)
    }

    /// Reads or fetches an issuer's key set.
    fn key_set(&self, issuer: &Issuer, key_files: &[String]) -> Result<KeySet, CommandError> {
        let file = key_files.iter().find_map(|key| key.strip_prefix(&issuer.name)?.strip_prefix('='));
        let bytes = match (file, &issuer.source) {
            (Some(file), _) => read_bytes(Path::new(file))?,
            (None, Source::File(file)) => read_bytes(Path::new(file))?,
            (None, Source::Set(name)) => self.key_sets.get(name).map_or("", String::as_str).into(),
            (None, Source::Url { url, roots, .. }) => {
                let request =
                    KeySetRequest { issuer: issuer.name.clone(), url: url.clone(), roots: roots.clone() };
                return fetch_key_set(&request).map_err(|error| issuer_error(issuer, error));
            }
        };
        KeySet::parse(&bytes).map_err(|error| issuer_error(issuer, error))
    }
}

fn issuer_error(issuer: &Issuer, source: impl Into<Cause>) -> CommandError {
    CommandError::Issuer { issuer: issuer.name.clone(), source: source.into() }
}
