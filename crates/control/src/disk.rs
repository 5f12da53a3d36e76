//! Storage of the service: the versions and the state file in its data folder.

use sagearch_folder::{Folder, Loaded, StorageError};
use sagearch_stream::Version;
use sagearch_stream::service::State;
use sagearch_stream::store::{self, load_versions};
use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Name of the state file.
const STATE_FILE_NAME: &str = "state";

/// Epoch of a service whose version numbers were never lost.
const FIRST_EPOCH: u64 = 1;

/// Error of loading the stored state and versions.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The data folder or the state file can't be read.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Neither the current nor the previous state can be decoded.
    #[error("{}: {cause}; with a greater epoch it begins anew", .file.display())]
    BrokenState {
        /// Path of the state file.
        file: PathBuf,
        /// Decoding error of the current state.
        cause: String,
    },
}

/// Store of the service's state and versions in a folder.
pub struct ServiceStore {
    folder: Folder,
    /// Whether the state file is known to be decodable, so that it may be kept as the previous one.
    state_intact: Cell<bool>,
}

impl ServiceStore {
    /// Creates a store in a folder of the local file system.
    pub fn new(data: impl Into<PathBuf>) -> ServiceStore {
        ServiceStore::with_folder(Folder::new(data))
    }

    /// Creates a store in a folder of any file system.
    pub fn with_folder(folder: Folder) -> ServiceStore {
        ServiceStore { folder, state_intact: Cell::new(false) }
    }

    /// Loads the stored state and versions. Returns an initial state in `epoch` if no state is stored, or if the stored
    /// one belongs to an earlier epoch.
    ///
    /// # Errors
    /// [`LoadError`] if the state is stored but can't be read. Versions alone don't tell which one is in force, and
    /// version numbers must not be reused, so the service doesn't start over unless it is given a greater epoch.
    pub fn load(&self, epoch: u64) -> Result<(State, Vec<Version>), LoadError> {
        self.folder.create()?;
        let stored = load_versions(&self.folder);
        for file in &stored.unusable {
            tracing::warn!(file = file.name, cause = %file.error, "skipping a stored version that can't be used");
        }
        let initial = State { epoch, ..State::default() };
        match self.load_state() {
            Ok(Some(state)) if state.epoch >= epoch => Ok((state, stored.versions)),
            // Versions and numbers of an earlier epoch are no longer valid.
            Ok(Some(_)) => Ok((initial, Vec::new())),
            Ok(None) => Ok((initial, stored.versions)),
            Err(_)
                if epoch > FIRST_EPOCH && stored.versions.iter().all(|version| version.id.epoch < epoch) =>
            {
                Ok((initial, Vec::new()))
            }
            Err(error) => Err(error),
        }
    }

    /// Loads the stored state, or the previous one if the current one can't be decoded; `None` if none is stored.
    fn load_state(&self) -> Result<Option<State>, LoadError> {
        let file = self.folder.path().join(STATE_FILE_NAME);
        match self.folder.load_decoded(STATE_FILE_NAME, store::decode::<State>)? {
            Loaded::Current(state) => {
                self.state_intact.set(true);
                Ok(Some(state))
            }
            Loaded::Previous { value, cause } => {
                tracing::error!(file = %file.display(), cause, "the state is broken: the previous one counts");
                Ok(Some(value))
            }
            Loaded::Broken { cause } => Err(LoadError::BrokenState { file, cause }),
            Loaded::Missing => Ok(None),
        }
    }

    /// Replaces the state file. The replaced state is kept as the previous one, unless it could not be decoded.
    ///
    /// # Errors
    /// The errors of [`Folder::replace`].
    pub fn store_state(&self, state: &State) -> io::Result<()> {
        let (bytes, writer) = (store::encode(state)?, std::process::id());
        if self.state_intact.get() {
            self.folder.replace_keeping_previous(STATE_FILE_NAME, &bytes, writer)?;
        } else {
            self.folder.replace(STATE_FILE_NAME, &bytes, writer)?;
        }
        self.state_intact.set(true);
        Ok(())
    }

    /// Stores a version, then removes the oldest ones beyond `max_versions`.
    ///
    /// # Errors
    /// The errors of [`Folder::replace`].
    pub fn store_version(&self, version: &Version, max_versions: usize) -> io::Result<()> {
        store::store_version(&self.folder, version, max_versions, std::process::id())
    }
}
