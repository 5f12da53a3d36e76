//! Reads and writes the file of the operators' intents.

use super::model::{Intent, Intents, Moment, SinceBoot};
use crate::net::lifecycle::gateway_file::gateway_file_path;
use sagearch_folder::{Folder, Loaded, StorageError};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The size limit of the file. It names endpoints, of which a fleet has some thousands.
const READ_LIMIT_BYTES: u64 = 4 * 1024 * 1024;

/// An error that prevents an intent from being stored.
#[derive(Debug, Error)]
pub(super) enum StoreError {
    #[error("{}: lock: {source}", .file.display())]
    Lock { file: PathBuf, source: io::Error },
    #[error(transparent)]
    Storage(#[from] StorageError),
    #[error("intents can't be encoded: {0}")]
    Encode(#[from] serde_json::Error),
}

/// The file of the operators' intents, with the bytes that were last read from it.
pub(super) struct IntentsFile {
    /// The location of the file; `None`: intents are not stored and end with the process.
    location: Option<FileLocation>,
    /// The bytes that were last read, to detect a change. Modification times are not enough: the wall clock may be stepped
    /// back, and two writes may share one tick of it.
    last_read: Option<Vec<u8>>,
    boot: Option<String>,
    read_failed: bool,
}

struct FileLocation {
    folder: Folder,
    name: String,
    lock: PathBuf,
}

impl IntentsFile {
    pub(super) fn new(folder: Option<&Path>, gateway: &str) -> IntentsFile {
        let boot = sagearch_clock::boot_id().map(|boot| boot.as_str().to_string());
        IntentsFile {
            location: folder.map(|folder| FileLocation::new(folder, gateway)),
            last_read: None,
            boot,
            read_failed: false,
        }
    }

    #[cfg(test)]
    pub(super) fn on(folder: &Folder, gateway: &str) -> IntentsFile {
        let location = FileLocation { folder: folder.clone(), ..FileLocation::new(folder.path(), gateway) };
        IntentsFile { location: Some(location), last_read: None, boot: None, read_failed: false }
    }

    pub(super) fn now(&self) -> Moment {
        let since_boot =
            |boot: &String| SinceBoot { boot: boot.clone(), micros: sagearch_clock::boot_micros() };
        Moment { unix_ms: sagearch_clock::unix_millis(), since_boot: self.boot.as_ref().map(since_boot) }
    }

    /// Loads the stored intents at the start of the process, from the previous version if the file is broken.
    pub(super) fn load_at_start(&mut self) -> Result<Option<Intents>, StorageError> {
        let Some(location) = &self.location else { return Ok(None) };
        Ok(location.read()?.usable())
    }

    /// Reads the intents of the file if it has changed since the last call. `None`: it has not, or it is missing, broken or
    /// can't be read.
    pub(super) fn read_if_changed(&mut self) -> Option<Intents> {
        let location = self.location.as_ref()?;
        let bytes = match location.folder.load(&location.name) {
            Ok(bytes) => bytes?,
            Err(error) => {
                // Only the first failure in a row is logged, since the file is read many times a second.
                if !std::mem::replace(&mut self.read_failed, true) {
                    log::warn!("intents: reading failed and is retried: {error}");
                }
                return None;
            }
        };
        self.read_failed = false;
        if self.last_read.as_ref() == Some(&bytes) {
            return None;
        }
        let decoded = serde_json::from_slice(&bytes);
        self.last_read = Some(bytes);
        decoded
            .inspect_err(|cause| log::error!("intents: changed file is ignored: {}: {cause}", location.name))
            .ok()
    }

    /// Adds an intent to the stored ones, or to those in force in this process if the file is missing or broken. The returned
    /// intents are durable if the file has a location. The call can be repeated after an error.
    pub(super) fn amend(&mut self, in_force: &Intents, intent: &Intent) -> Result<Intents, StoreError> {
        let now = self.now();
        let Some(location) = &self.location else {
            let mut intents = in_force.clone();
            intents.amend(intent, &now);
            return Ok(intents);
        };
        let _guard = location.lock()?;
        let stored = location.read()?;
        let intact = matches!(stored, Loaded::Current(_));
        let mut intents = if let Loaded::Current(intents) = stored { intents } else { in_force.clone() };
        intents.amend(intent, &now);
        location.write(&intents, intact)?;
        Ok(intents)
    }
}

impl FileLocation {
    fn new(folder: &Path, gateway: &str) -> FileLocation {
        let name = gateway_file_path(Path::new(""), gateway, "json").to_string_lossy().into_owned();
        let lock = gateway_file_path(folder, gateway, "lock");
        FileLocation { folder: Folder::new(folder).with_read_limit(READ_LIMIT_BYTES), name, lock }
    }

    /// Locks the file against the other process of the gateway until the returned value is dropped.
    fn lock(&self) -> Result<File, StoreError> {
        let locked = File::create(&self.lock).and_then(|file| file.lock().map(|()| file));
        locked.map_err(|source| StoreError::Lock { file: self.lock.clone(), source })
    }

    fn read(&self) -> Result<Loaded<Intents>, StorageError> {
        let loaded =
            self.folder.load_decoded(&self.name, |bytes| serde_json::from_slice::<Intents>(bytes))?;
        match &loaded {
            Loaded::Previous { cause, .. } => {
                log::error!("intents: file is broken but has a previous version: {}: {cause}", self.name);
            }
            Loaded::Broken { cause } => {
                log::error!("intents: broken file is ignored: {}: {cause}", self.name);
            }
            Loaded::Missing | Loaded::Current(_) => {}
        }
        Ok(loaded)
    }

    fn write(&self, intents: &Intents, intact: bool) -> Result<(), StoreError> {
        let bytes = serde_json::to_vec(intents)?;
        let writer = std::process::id();
        // A broken file must not replace the previous version, which may still be intact.
        if intact {
            self.folder.replace_keeping_previous(&self.name, &bytes, writer)?;
        } else {
            self.folder.replace(&self.name, &bytes, writer)?;
        }
        Ok(())
    }
}
