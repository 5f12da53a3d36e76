//! The layered configuration: the operators' file of this gateway, overlaid by the version that a control service
//! streams.
//!
//! A streamed version overrides the file's identity, routes, limits and key sets. Addresses, TLS and the roots of
//! client certificates always come from the file. Changes are atomic and replace one layer at a time.

use crate::net::configuration::identity::{Guard, SealCause, StagedSnapshot, VersionConfig, VersionError};
use crate::net::lock;
use crate::settings::Deployment;
use sagearch_operators::{Diagnostics, Operators, compiled, streamed};
use sagearch_stream::Version;
use std::fmt::Display;
use std::sync::{Arc, Mutex, MutexGuard};
use thiserror::Error;

/// Name of the document that holds a version's configuration in the language of the operators' file.
pub const DOCUMENT: &str = "operators.kdl";
/// Name of the document that holds the same configuration as JSON, as parsed and checked by the control service.
pub const COMPILED: &str = "operators.json";

/// A streamed version and its parsed configuration.
struct StreamedLayer {
    version: Arc<Version>,
    operators: Operators,
}

/// Both layers, under one lock.
#[derive(Default)]
struct State {
    file: Operators,
    streamed: Option<StreamedLayer>,
}

/// The layers of the configuration, and the guard in which their merged form is put in force.
pub struct LayeredConfig {
    guard: Arc<Guard>,
    state: Mutex<State>,
}

/// Why a streamed version can't be staged on this gateway.
#[derive(Debug, Error)]
pub enum StageError {
    /// The version has no document named [`DOCUMENT`].
    #[error("it has no {DOCUMENT}")]
    MissingDocument,
    /// The version's document has faults, reported with line and column.
    #[error(transparent)]
    Document(#[from] Diagnostics),
    /// The configuration merged from the version and the operators' file is not valid.
    #[error(transparent)]
    Snapshot(#[from] VersionError),
}

/// A streamed version that has been read and checked, ready to be committed.
pub struct StagedVersion<'a> {
    state: MutexGuard<'a, State>,
    snapshot: StagedSnapshot<'a>,
    layer: StreamedLayer,
}

/// Merges the two layers into one configuration.
fn merge(file: &Operators, streamed: Option<&StreamedLayer>) -> VersionConfig {
    let mut config = VersionConfig::from_operators(file);
    if let Some(layer) = streamed {
        overlay(&mut config, layer);
    }
    config
}

/// Overrides the file's configuration with that of a streamed version.
fn overlay(config: &mut VersionConfig, StreamedLayer { version, operators }: &StreamedLayer) {
    let streamed = VersionConfig::from_operators(operators);
    config.version = version.id.to_string().into();
    config.awaits_version = false;
    if let Some(mut identity) = streamed.identity {
        // The roots of client certificates are files on this machine, so the operators' file names them.
        identity.trust = config.identity.take().map(|file_identity| file_identity.trust).unwrap_or_default();
        config.identity = Some(identity);
    }
    config.routes = streamed.routes.or(config.routes.take());
    config.limits = streamed.limits.or(config.limits);
    config.key_sets.extend(streamed.key_sets);
}

impl LayeredConfig {
    /// Creates empty layers.
    pub fn new(guard: Arc<Guard>) -> LayeredConfig {
        LayeredConfig { guard, state: Mutex::default() }
    }

    /// Applies the operators' file at startup. An invalid file does not prevent startup, but all requests are rejected
    /// until it is valid.
    pub fn start(&self, operators: &Result<Operators, impl Display>) {
        let mut state = lock(&self.state);
        state.file = operators.as_ref().ok().cloned().unwrap_or_default();
        self.guard.start(operators);
    }

    /// Logs if nobody is served until a first version is in force.
    pub fn log_seal(&self) {
        if self.guard.version.is_sealed_by(SealCause::NoVersion) {
            tracing::error!(cause = %SealCause::NoVersion, "nobody is served");
        }
    }

    /// Reads a version and checks it together with the operators' file, without putting it in force.
    ///
    /// # Errors
    ///
    /// If its document is missing or has faults, or the configuration merged with the file is not valid.
    pub fn stage(&self, version: &Arc<Version>) -> Result<StagedVersion<'_>, StageError> {
        let state = lock(&self.state);
        let text = version.documents.get(DOCUMENT).ok_or(StageError::MissingDocument)?;
        let deployment_names = &self.guard.version.snapshot().deployment.names;
        let operators = match version.documents.get(COMPILED) {
            Some(compiled_form) => compiled(DOCUMENT, text, compiled_form, deployment_names)?,
            None => streamed(DOCUMENT, text, deployment_names)?,
        };
        let layer = StreamedLayer { version: version.clone(), operators };
        let config = merge(&state.file, Some(&layer));
        let snapshot = self.guard.version.stage(config, None)?;
        Ok(StagedVersion { state, snapshot, layer })
    }

    /// Puts a staged version in force.
    pub fn commit(&self, staged: StagedVersion<'_>) {
        let StagedVersion { mut state, snapshot, layer } = staged;
        self.guard.commit(snapshot);
        let previous = state.streamed.replace(layer);
        drop(state);
        // Dropped after the lock is released, because dropping thousands of tenants is slow.
        drop(previous);
    }

    /// Puts a changed operators' file and the settings of the deployment in force. `before_commit` is called once no
    /// step can fail any more.
    ///
    /// # Errors
    ///
    /// If the file is not valid; the configuration in force is kept.
    pub fn replace_file(
        &self,
        file: Operators,
        deployment: Deployment,
        before_commit: impl FnOnce(&Deployment),
    ) -> Result<(), VersionError> {
        let mut state = lock(&self.state);
        let config = merge(&file, state.streamed.as_ref());
        let staged = self.guard.version.stage(config, Some(deployment))?;
        before_commit(&staged.snapshot.deployment);
        self.guard.commit(staged);
        state.file = file;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
