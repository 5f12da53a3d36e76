//! The version in force and the admission of callers.
//!
//! - `version`: holds the version in force and replaces it atomically;
//! - `version_config`: the configuration of a version;
//! - `seals`: why nobody is served;
//! - `key_sets`: keeps key sets and certificates up to date;
//! - `admission`: identifies callers and checks their rights;
//! - `error`: errors of staging a version or loading a key set.
//!
//! If the operators' file configures neither identity nor TLS, no thread is started and `Admission::admit` only reads a
//! flag.

mod admission;
mod error;
mod key_sets;
mod seals;
mod version;
mod version_config;

pub use error::{KeySetError, VersionError};
pub use key_sets::fetch_key_set;
pub use seals::SealCause;
pub use version::StagedSnapshot;
pub use version_config::VersionConfig;

pub(in crate::net) use admission::Admission;
pub(in crate::net) use version::ActiveVersion;

use crate::metrics::Metrics;
use crate::net::clock::Clock;
use crate::settings::Deployment;
use key_sets::KeySetUpkeep;
use sagearch_operators::Operators;
use std::fmt::Display;
use std::sync::Arc;

/// The version in force, the upkeep of its key sets and the admission of callers.
pub struct Guard {
    /// The version in force.
    pub(in crate::net) version: Arc<ActiveVersion>,
    /// Identifies callers and checks their rights.
    pub(in crate::net) admission: Arc<Admission>,
    upkeep: Arc<KeySetUpkeep>,
    /// Counters of this gateway.
    pub metrics: Arc<Metrics>,
}

impl Guard {
    /// Creates a guard with `deployment` in force, which does not identify callers yet.
    pub fn new(clock: Clock, seed: u64, deployment: Deployment) -> Arc<Guard> {
        let version = ActiveVersion::new(clock, seed, deployment);
        let metrics = Arc::new(Metrics::default());
        let upkeep = KeySetUpkeep::new(version.clone(), metrics.clone());
        let admission = Arc::new(Admission::new(version.clone(), metrics.clone()));
        Arc::new(Guard { version, admission, upkeep, metrics })
    }

    /// Applies the operators' file at startup. An invalid file does not prevent startup, but all requests are rejected
    /// until it is valid or another one is applied.
    pub fn start(&self, operators: &Result<Operators, impl Display>) {
        let config = match operators {
            Ok(operators) => VersionConfig::from_operators(operators),
            // Whether it asks for a version is not known; the file that replaces it says.
            Err(error) => return self.version.seal_as_invalid(&error.to_string(), false),
        };
        match self.version.stage(config.clone(), None) {
            Ok(staged) => self.commit(staged),
            Err(error) => {
                self.version.seal_as_invalid(&error.to_string(), config.awaits_version);
                // The files that it names may become valid later, so the upkeep stages it again.
                self.version.set_config(config);
                self.upkeep.start();
            }
        }
    }

    /// Puts a staged version in force atomically, and starts the upkeep of its files and issuers' key sets.
    pub fn commit(&self, staged: StagedSnapshot<'_>) {
        let needs_upkeep = staged.config.needs_upkeep();
        self.version.commit(staged);
        if needs_upkeep {
            self.upkeep.start();
        }
    }

    /// Stops the upkeep: files are no longer watched and issuers no longer queried.
    pub(in crate::net) fn stop(&self) {
        self.upkeep.stop();
    }
}
