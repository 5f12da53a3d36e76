//! Versions stored on this machine, from which a gateway resumes when no control service is reachable.

use crate::net::configuration::layered_config::LayeredConfig;
use sagearch_folder::Folder;
use sagearch_operators::control::Control;
use sagearch_stream::Version;
use sagearch_stream::store::{self, load_versions};
use std::path::Path;
use std::sync::Arc;
use std::{fs, io};

/// Returns the folder in which versions are stored, with its read limit set to the largest version file.
fn version_folder(data: &Path) -> Folder {
    Folder::new(data).with_read_limit(store::MAX_FILE_BYTES as u64)
}

/// Commits the newest stored version that passes staging, and returns it.
pub fn resume(config: &LayeredConfig, control: &Control) -> Option<Arc<Version>> {
    let Some(data) = &control.data else {
        tracing::warn!("control: no data folder is configured; versions are kept in memory only");
        return None;
    };
    if let Err(e) = fs::create_dir_all(data) {
        tracing::error!(cause = %e, folder = %data.display(), "control: failed to create the data folder; versions are kept in memory only");
    }
    let stored = load_versions(&version_folder(data));
    for file in &stored.unusable {
        tracing::warn!(file = file.name, cause = %file.error, "control: a kept version is passed over");
    }
    for version in stored.versions.into_iter().map(Arc::new) {
        match config.stage(&version) {
            Ok(staged) => {
                config.commit(staged);
                tracing::info!(version = %version.id, "control: resumed from the last good version");
                return Some(version);
            }
            Err(error) => {
                let cause = error.to_string();
                tracing::warn!(version = %version.id, cause, "control: a stored version failed to stage");
            }
        }
    }
    None
}

/// Stores a version if a data folder is configured. `instance` identifies this process among those that store in the
/// same folder.
pub(super) fn store(control: &Control, version: &Version, instance: u64) -> io::Result<()> {
    match &control.data {
        Some(data) => store::store_version(&version_folder(data), version, control.keep, instance as u32),
        None => Ok(()),
    }
}
