//! The configuration of a version: identity, TLS, routes, limits and the paths of the files that it refers to.

use super::error::{KeySetError, VersionError};
use crate::net::frontend::tls::{Endpoints, TrustParts, bytes_of};
use rustls::time_provider::TimeProvider;
use sagearch_identity::jwks::KeySet;
use sagearch_identity::settings::{Issuer, Source};
use sagearch_operators::Operators;
use sagearch_operators::control::Limits;
use sagearch_operators::fronts::Routes;
use sagearch_operators::identity::Identity;
use sagearch_operators::tls::Tls;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Name of the version that consists of the operators' file only.
const FILE_VERSION: &str = "file";

/// The file that holds an issuer's key set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyFile {
    pub(super) issuer: String,
    pub(super) path: PathBuf,
}

/// The configuration of a version, which may be in force or not.
#[derive(Clone, PartialEq)]
pub struct VersionConfig {
    /// Name of the version.
    pub version: Arc<str>,
    /// How callers are identified, or `None` if they are not.
    pub identity: Option<Identity>,
    /// Certificates and keys of the addresses that accept TLS, or `None` if no address does.
    pub tls: Option<Tls>,
    /// Routes to upstreams, or `None` to keep the routes in force.
    pub routes: Option<Routes>,
    /// Limits on requests, or `None` for no limits.
    pub limits: Option<Limits>,
    /// Key sets (JWKS texts) contained in the version, by name.
    pub key_sets: BTreeMap<String, String>,
    /// Whether responses name the version.
    pub shows_version: bool,
    /// Whether nobody is served until a streamed version is in force, and none is.
    pub awaits_version: bool,
}

impl VersionConfig {
    /// Returns the configuration of an operators' file, without a streamed version.
    pub fn from_operators(operators: &Operators) -> VersionConfig {
        VersionConfig {
            version: FILE_VERSION.into(),
            identity: operators.identity.clone(),
            tls: operators.tls.clone(),
            routes: operators.routes.clone().or(operators.dns.as_ref().map(|dns| dns.routes.clone())),
            limits: operators.limits,
            key_sets: operators.key_sets.clone(),
            shows_version: operators.control.as_ref().is_some_and(|control| control.shows_version),
            awaits_version: operators.control.as_ref().is_some_and(|control| control.refuses_without),
        }
    }

    /// Reads the files of roots and revocation lists.
    pub(super) fn read_trust_parts(&self) -> Result<TrustParts, VersionError> {
        let files = self.identity.as_ref().map(|identity| &identity.trust);
        let parts = files.map(TrustParts::read).transpose();
        Ok(parts.map_err(VersionError::Trust)?.unwrap_or_default())
    }

    /// Reads the certificates and keys of the addresses that accept TLS.
    pub(super) fn read_endpoints(
        &self,
        parts: &TrustParts,
        time: &Arc<dyn TimeProvider>,
    ) -> Result<Endpoints, VersionError> {
        let endpoints = self.tls.as_ref().map(|tls| Endpoints::read(tls, parts, time)).transpose();
        Ok(endpoints.map_err(VersionError::Tls)?.unwrap_or_default())
    }

    /// Returns whether there are files to watch or issuers to query.
    pub(super) fn needs_upkeep(&self) -> bool {
        self.identity.is_some() || self.tls.is_some()
    }

    /// Returns the files of issuers' key sets.
    pub(super) fn key_files(&self) -> Vec<KeyFile> {
        let issuers = self.identity.iter().flat_map(|identity| &identity.settings.issuers);
        let key_file = |issuer: &Issuer| match &issuer.source {
            Source::File(path) => Some(KeyFile { issuer: issuer.name.clone(), path: path.into() }),
            Source::Url { .. } | Source::Set(_) => None,
        };
        issuers.filter_map(key_file).collect()
    }

    /// Returns the files of certificates, keys, roots and revocation lists, which are always read together.
    pub(super) fn tls_files(&self) -> Vec<PathBuf> {
        let mut files = Vec::new();
        if let Some(identity) = &self.identity {
            files.extend(identity.trust.roots.iter().chain(&identity.trust.lists).cloned());
        }
        for endpoint in self.tls.iter().flat_map(|tls| [&tls.clients, &tls.admin]).flatten() {
            files
                .extend(endpoint.certificates.iter().flat_map(|pair| [pair.chain.clone(), pair.key.clone()]));
        }
        files
    }
}

/// Reads a key set from a file.
pub(super) fn read_key_set(path: &Path) -> Result<KeySet, KeySetError> {
    let bytes = bytes_of(path)?;
    KeySet::parse(&bytes)
        .map_err(|error| KeySetError::InvalidFile { path: path.into(), source: error.into() })
}
